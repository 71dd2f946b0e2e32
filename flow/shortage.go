package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
	"github.com/bramleyrack/bramleyrack/registry"
)

// Refusal is the reason why an agent refuses a new flow that its server could take at another time.
type Refusal uint8

// The reasons of refusals.
const (
	// NotRefused means that the flow was not refused, or that no server may take it.
	NotRefused Refusal = iota
	// RefusedBusy means that no server can answer in time.
	RefusedBusy
	// RefusedShare means that the rest of the queue is left to more urgent routes.
	RefusedShare
)

var refusalNames = [...]string{"none", "busy", "share"}

// String returns the name of the reason in logs and counters.
func (r Refusal) String() string {
	return refusalNames[r]
}

// shortage decides which part of the waiting budget a new flow may use while no slot is free.
type shortage struct {
	shares *admission.Shares
}

func newShortage(config TrackerConfig) shortage {
	return shortage{shares: admission.NewShares(config.ShareWindow, config.MinWaitingPart)}
}

// assessment is what applies to one opening packet at one server.
type assessment struct {
	// wait is the expected time until the answer, and budget the time that it may take. regular is the latency budget of
	// the route, which budget exceeds if the client is patient.
	wait, budget, regular time.Duration
	// part is the part of the waiting budget that the flow may use. excluded is set if the flow would exceed that
	// or the server's queue.
	part     float64
	excluded bool
	// refusal is the reason if the flow is refused because of this assessment.
	refusal Refusal
}

// assess records an opening packet as offered work and returns what applies to it. A final offer was recorded when the
// agent made it.
func (t *Tracker) assess(now time.Duration, request *Request, route *registry.Route) assessment {
	regular := latencyBudget(route)
	a := assessment{wait: t.load.expectedTime(regular), budget: t.budget(route), regular: regular, part: 1, refusal: RefusedBusy}
	if route == nil {
		return a
	}
	if !request.Final {
		t.shortage.shares.Offer(now, route.Priority, t.load.serviceTime(regular))
	}
	if !t.load.full() {
		return a
	}
	a.limitPatience(t.load.position(), t.config.ServerQueue)
	a.part = t.shortage.shares.Part(route.Priority)
	if a.part < 1 && float64(t.load.position()) > a.part*t.load.room(a.wait, a.budget, t.config.ServerQueue) {
		a.excluded, a.refusal = true, RefusedShare
	}
	return a
}

// offer returns the offer that the agent makes for the flow. An offer that the agent would not keep states a wait beyond
// any budget of the route, so every agent that compares it sees that it is not to be used.
func (a *assessment) offer(agent IP, suspect bool, route *registry.Route) Offer {
	offer := Offer{Agent: agent, Wait: a.wait, Suspect: suspect}
	if a.excluded {
		offer.Wait += max(a.budget, route.Timeout)
	}
	return offer
}

// explain adds the assessment to the refusal of a flow.
func (a *assessment) explain(v Verdict) Verdict {
	if v.Refusal != NotRefused {
		v.Refusal, v.Part = a.refusal, a.part
	}
	return v
}

// observe records the service time of a request that the server has begun to answer.
func (t *Tracker) observe(now time.Duration, key Key, f *trackedFlow) {
	if route := t.routes[key.Service]; route != nil && t.load.isRunning(f) && !f.late {
		t.shortage.shares.Observe(now, route.Priority, now-f.processingSince)
	}
}

// position returns the place in the server's queue that a new request would get, from 1.
func (l *load) position() int {
	return max(1, l.busy()+1-l.slots)
}

// room returns how many requests may wait at the server: as many as the server queues, or fewer if a later one could not
// be answered within the budget. wait is the expected time until a new request is answered.
func (l *load) room(wait, budget time.Duration, queue int) float64 {
	slots := float64(l.slots)
	service := float64(wait) / (1 + float64(l.position())/slots)
	if service <= 0 {
		return float64(queue)
	}
	return min(float64(queue), slots*(float64(budget)/service-1))
}
