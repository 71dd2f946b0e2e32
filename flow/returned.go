package flow

import "time"

// returned decides on a packet that the server sent back. Its key is that of the client's packet.
func (t *Tracker) returned(now time.Duration, p *Packet) Verdict {
	t.cold.answered(now)
	t.server.received(now)
	f, ok := t.flows.Peek(p.Key)
	if !ok {
		return Verdict{Decision: Decision{Reason: "server returned a packet of an unknown flow"}}
	}
	if f.state == ended || f.state == open && p.Kind == Opening {
		return Verdict{Decision: Decision{Reason: "server returned a packet of a flow that it has answered"}}
	}
	request, arrived, waited, asked := f.request, f.arrived, f.waited, f.state == searchDelivered
	t.flows.Remove(p.Key)
	if asked {
		// The server has not been given an opening packet of the flow, so it does not hold the flow later either. Further
		// packets must not go to a server that does not hold their flow, while the owner is still searched for.
		t.disclaimed.Add(p.Key, struct{}{})
	}
	switch {
	case f.passedOn && p.Kind != Opening:
		return Verdict{Decision: Decision{Reason: "server returned a packet after it was passed on"}}
	case p.Kind == Opening:
		if request.Best.Agent == t.config.Address.IP {
			// The agent can't keep its offer and would send the packet to itself.
			request.Best = Offer{}
		}
		// A free slot that the agent counts is not one. The server's next slot becomes free after about a service time.
		t.held.blockedUntil = now + t.load.roundTime(latencyBudget(t.routes[p.Key.Service]))
		v := t.waitInstead(now, arrived, p, request, t.pass(request, t.routes[p.Key.Service], "server refused the flow"))
		if v.Action == Wait && !waited {
			t.held.counts.TotalOpenings++
		}
		return v
	case request.Purpose == PurposeOpen:
		return Verdict{Decision: Decision{Reason: "server does not hold the flow; no balancer to return the packet to"}}
	}
	return t.deny(request, "server does not hold the flow")
}
