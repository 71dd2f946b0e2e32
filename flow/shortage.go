package flow

import (
	"time"

	"github.com/cespare/xxhash/v2"

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
	// RefusedGroup means that the client's group has more than its fair share.
	RefusedGroup
)

var refusalNames = [...]string{"none", "busy", "share", "group"}

// String returns the name of the reason in logs and counters.
func (r Refusal) String() string {
	return refusalNames[r]
}

// shortage decides which part of the waiting budget a new flow may use while no slot is free.
type shortage struct {
	config TrackerConfig
	shares *admission.Shares
	// groups holds the groups of callers of each priority for which a flow was offered.
	groups [admission.Priorities]*admission.Groups
}

func newShortage(config TrackerConfig) shortage {
	return shortage{config: config, shares: admission.NewShares(config.ShareWindow, config.MinWaitingPart)}
}

// clone returns a copy that shares no state with the original.
func (s *shortage) clone() shortage {
	c := *s
	c.shares = s.shares.Clone()
	for class, groups := range s.groups {
		if groups != nil {
			c.groups[class] = groups.Clone()
		}
	}
	return c
}

// group returns the group of a flow's client. The client's address is all that an agent knows about its caller.
func group(key Key) uint64 {
	return xxhash.Sum64(key.Client.IP[:])
}

// offer records that the server is offered a flow. once is set if no other server counts the flow once. assumed is the
// service time as long as none of the priority was measured. The groups of a priority share what more urgent work leaves.
func (s *shortage) offer(now time.Duration, key Key, priority int, assumed time.Duration, once bool, slots int) {
	class := admission.Class(priority)
	if s.groups[class] == nil {
		s.groups[class] = admission.NewGroups(s.config.ShareWindow)
	}
	s.groups[class].Offer(now, group(key), s.shares.Work(priority, assumed), once, float64(slots)*s.shares.Part(priority))
}

// part returns the part of its waiting budget that a flow may use, and the reason if it is refused for that part.
func (s *shortage) part(now time.Duration, key Key, priority int) (float64, Refusal) {
	part := s.shares.Part(priority)
	groups := s.groups[admission.Class(priority)]
	if s.config.MinWaitingPart < part && groups != nil && groups.Exceeds(now, group(key)) {
		return s.config.MinWaitingPart, RefusedGroup
	}
	return part, RefusedShare
}

// taken records that the server has accepted a flow.
func (t *Tracker) taken(now time.Duration, key Key) {
	route := t.routes[key.Service]
	if route == nil {
		return
	}
	if groups := t.shortage.groups[admission.Class(route.Priority)]; groups != nil {
		assumed := t.load.serviceTime(latencyBudget(route))
		groups.Take(now, group(key), t.shortage.shares.Work(route.Priority, assumed))
	}
}

// assessment is what applies to one opening packet at one server.
type assessment struct {
	// wait is the expected time until the answer, and budget the time that it may take.
	wait, budget time.Duration
	// late is the expected time until the answer if everything that is held goes first.
	late time.Duration
	// full is set if the request would have to wait for a slot.
	full bool
	// part is the part of the waiting budget that the flow may use. excluded is set if the flow would exceed that.
	part     float64
	excluded bool
	// refusal is the reason if the flow is refused because of this assessment.
	refusal Refusal
}

// assess records an opening packet as offered work and returns what applies to it. A final offer was recorded when the
// agent made it.
func (t *Tracker) assess(now time.Duration, key Key, request *Request, route *registry.Route) assessment {
	budget, ahead := latencyBudget(route), t.ahead(now, route)
	a := assessment{wait: t.load.expectedTime(budget, ahead), budget: budget, full: ahead >= t.load.slots, part: 1, refusal: RefusedBusy}
	if route == nil {
		return a
	}
	if !request.Final {
		// A flow counts once where it finds a free slot, or at the last server that is asked. The first one is no measure,
		// since balancers choose it by load.
		t.shortage.offer(now, key, route.Priority, t.load.serviceTime(budget), len(request.Remaining) == 0 || !a.full, t.load.slots)
	}
	if !a.full {
		return a
	}
	a.late = t.load.expectedTime(budget, t.load.atServer()+t.held.backlog.Before(route.Priority))
	part, refusal := t.shortage.part(now, key, route.Priority)
	a.part = part
	if wait := t.load.waitForSlot(budget, ahead); float64(wait) > a.part*queuePart*float64(budget-t.load.roundTime(budget)) {
		a.excluded = true
		if a.part < 1 {
			a.refusal = refusal
		}
	}
	return a
}

// queuePart is the part of its latency budget, less the service time, for which a new flow may have to wait for a slot. In
// a shortage the queue is always as long as it may be; the rest is left for service times that vary.
const queuePart = 0.6

// offer returns the offer that the agent makes for the flow. An offer that the agent would not keep states a wait beyond
// any budget of the route, so every agent that compares it sees that it is not to be used.
func (a *assessment) offer(agent IP, suspect bool, route *registry.Route) Offer {
	offer := Offer{Agent: agent, Wait: a.wait, Suspect: suspect}
	if a.excluded {
		offer.Wait = a.late + max(a.budget, route.Timeout)
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
