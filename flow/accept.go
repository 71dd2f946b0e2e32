package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// openFlow decides on the opening packet of a flow. The newer one of the configurations of balancer and agent
// applies.
func (t *Tracker) openFlow(now time.Duration, p *Packet, request Request) Verdict {
	if v, may := t.mayOpen(now, p, request); !may {
		return v
	}
	route := t.routes[p.Key.Service]
	t.load.releaseExpired(now)
	a := t.assess(now, p.Key, &request, route)
	if !t.admits(now, &request, route, &a) {
		return a.explain(t.pass(request, route, "no free slot"))
	}
	t.accept(now, p, request)
	return Verdict{Decision: Decision{Action: ToServer}}
}

// mayOpen reports whether the server may be given the opening packet of a flow, apart from its load. Otherwise it returns
// the decision on the packet.
func (t *Tracker) mayOpen(now time.Duration, p *Packet, request Request) (v Verdict, may bool) {
	route := t.routes[p.Key.Service]
	switch {
	case t.versions.forbids(now, max(request.Version, t.version), t.config.MaxVersionSkew):
		return Verdict{Decision: Decision{Reason: "a newer configuration was applied and has not been received yet"}}, false
	case request.Version > t.version:
		t.versions.record(now, request.Version)
	case route == nil:
		return refuse(request, "no route in the configuration in force"), false
	}
	switch {
	case attemptOver(p):
		t.stale++
		return refuse(request, attemptOverReason), false
	case t.justResumed(now):
		return t.pass(request, route, "agent has just continued after a pause"), false
	case t.evacuated && evacuated(now, t.evacuation, p.Key.Hash()):
		return t.passEvacuated(request, p), false
	case !t.cold.allows(now):
		return t.passCold(request, p), false
	case !t.Accepting(now) && (t.leaving() || !t.server.allowTrial(now)):
		return t.pass(request, route, "server accepts no new flows"), false
	}
	return Verdict{}, true
}

// admits reports whether the server takes a new flow. A server with a free slot takes it immediately. If no server
// has one, the server with the best offer takes it, so a request that is passed on carries the best offer. A
// suspect server is occasionally given a flow whose requests are repeatable as a trial; otherwise it makes an
// offer, in case all other servers are full.
func (t *Tracker) admits(now time.Duration, request *Request, route *registry.Route, a *assessment) bool {
	budget := a.budget
	offer := a.offer(t.config.Address.IP, t.load.outcomes.suspect, route)
	switch {
	case request.Final:
		return offer.Wait <= budget
	case a.full:
	case offer.Suspect:
		if route != nil && route.Repeatable && t.load.outcomes.allowTrial(now) {
			return true
		}
	case offer.Wait <= budget || t.load.allowTrial(now):
		return true
	}
	if offer.better(&request.Best, budget) {
		request.Best = offer
	}
	return len(request.Remaining) == 0 && request.Best == offer && offer.Wait <= budget
}

// accept records that the server is given an opening packet.
func (t *Tracker) accept(now time.Duration, p *Packet, request Request) {
	if f, ok := t.flows.Peek(p.Key); ok && f.state == ended {
		t.flows.Remove(p.Key)
	}
	f := t.track(now, p, openingSent)
	// A client that uses its port again begins with another sequence number.
	f.receivedKnown = false
	f.request = cloneRequest(request)
	f.counted = true
	if f.arrived == 0 {
		f.arrived = now
	}
	if began := now - attemptAge(p); f.began == 0 || began < f.began {
		f.began = began
	}
	t.cold.sent(now)
	t.load.reserve(now, f)
	t.server.sentOpening(now)
}

// cloneRequest returns a copy of a request whose list remains valid after the packet was handled.
func cloneRequest(request Request) Request {
	request.Remaining = append([]IP(nil), request.Remaining...)
	return request
}

// pass forwards an opening packet to the next agent. After the last agent the flow goes to the one with the best
// offer. It is refused if the expected wait of that offer is too long, unless its client is patient.
func (t *Tracker) pass(request Request, route *registry.Route, reason string) Verdict {
	best := request.Best.Agent
	switch {
	case len(request.Remaining) > 0:
		v := Verdict{Decision: forward(request, reason)}
		if best == (IP{}) || best == t.config.Address.IP {
			v.Note, v.Balancer = NoteStatus, request.Balancer
		}
		return v
	case request.Final || best == (IP{}):
		return refuseBusy(request, reason+"; no agent is left to try")
	case !request.Best.within(latencyBudget(route)) && (best == t.config.Address.IP || t.openingLimit(route) <= 0):
		return refuseBusy(request, "no server can answer in time")
	case !request.Best.within(latencyBudget(route)):
		// The flow may wait where the queue is shortest.
		reason = "no server can answer in time"
	}
	request.Final = true
	request.Remaining = []IP{best}
	return Verdict{Decision: forward(request, reason)}
}

// forward sends a packet to the first of the remaining agents.
func forward(request Request, reason string) Decision {
	to := request.Remaining[0]
	request.Remaining = request.Remaining[1:]
	return Decision{Action: Forward, To: to, Request: request, Reason: reason}
}

// refuseBusy refuses a flow because all servers are busy.
func refuseBusy(request Request, reason string) Verdict {
	v := refuse(request, reason)
	v.Refusal, v.Part = RefusedBusy, 1
	return v
}

// refuse tells the client that its flow was not opened. The sequence number of the reset is zero, which the client
// ignores if the flow has opened elsewhere.
func refuse(request Request, reason string) Verdict {
	return Verdict{Decision: Decision{Action: Reset, Reason: reason}, Note: NoteRefused, Balancer: request.Balancer}
}
