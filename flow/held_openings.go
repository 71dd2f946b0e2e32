package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
	"github.com/bramleyrack/bramleyrack/registry"
)

// copyAges are the times at which a client sends the copies of an opening packet, from the first one on. Later copies do
// not wait.
var copyAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// openingLimit returns the time, from its client's first packet on, for which a new flow may wait for a slot. It is zero if
// the client has no time for another attempt after that.
func (t *Tracker) openingLimit(route *registry.Route) time.Duration {
	if route == nil || route.Timeout < t.config.MinPatience {
		return 0
	}
	return min(time.Duration(t.config.PatientPart*float64(route.Timeout)), t.config.MaxWait)
}

// waitInstead lets an opening packet that no server can answer in time wait for a slot of the agent's server, if one is
// expected within the limit. v is the refusal. The packet arrived at the given time; the server may have returned it since
// then.
func (t *Tracker) waitInstead(now, arrived time.Duration, p *Packet, request Request, v Verdict) Verdict {
	route := t.routes[p.Key.Service]
	limit := t.openingLimit(route)
	switch {
	case v.Action != Reset || v.Refusal != RefusedBusy && v.Refusal != RefusedShare || limit <= 0 || int(p.Copy) >= len(copyAges) || t.held.work[p.Key] != nil:
		return v
	case !t.mayWait(now) || t.held.backlog.Len()-t.load.held >= t.config.MaxWaiting || !p.Returned && t.ahead(now, route) < t.load.slots:
		return v
	}
	others := t.load.atServer() + t.held.backlog.Before(route.Priority)
	since := arrived - attemptAge(p)
	expected := t.load.waitForSlot(latencyBudget(route), others)
	if now-since+expected > limit {
		return v
	}
	w := &heldWork{key: p.Key, opening: true, packets: []heldPacket{{packet: *p}}, request: request, since: since, until: since + limit}
	w.packets[0].packet.Returned = false
	// The agent is the last one. A final request is not counted as offered work again.
	w.request.Remaining, w.request.Best, w.request.Final = nil, Offer{}, true
	t.held.packets++
	t.held.add(now, w, admission.Waiter[Key]{Key: p.Key, Priority: route.Priority, InTime: t.inTime(since, route), Limit: w.until})
	return Verdict{
		Decision: Decision{Action: Wait, Reason: "waits for a free slot"}, Note: NoteWaiting, Balancer: request.Balancer,
		Place: HeldPlace{Position: others + 1, Expected: expected, Limit: w.until - now},
	}
}

// holdsOpening reports whether the opening packet of a flow waits for a slot.
func (t *Tracker) holdsOpening(key Key) bool {
	w := t.held.work[key]
	return w != nil && w.opening
}

// mayWait reports whether the server may get new flows as soon as it has a free slot.
func (t *Tracker) mayWait(now time.Duration) bool {
	return t.Accepting(now) && !t.evacuated && !t.cold.limited && !t.load.outcomes.suspect && !t.held.closed && !t.justResumed(now)
}

// releaseOpening decides on the opening packet that is the first in the queue, if the server has a free slot.
func (t *Tracker) releaseOpening(now time.Duration, w *heldWork) (Verdict, *Packet, []byte) {
	if t.load.atServer() >= t.load.slots || now < t.held.blockedUntil || !t.cold.allows(now) {
		return Verdict{}, nil, nil
	}
	t.held.remove(w.key)
	p, raw := &w.packets[0].packet, w.packets[0].raw
	v, refused := t.refuseHeld(now, w)
	if refused {
		return v, p, raw
	}
	if v, may := t.mayOpen(now, p, w.request); !may {
		if v.Action == Drop {
			// A dropped packet would leave its client in doubt, and no balancer hedges it any more.
			v = refuse(w.request, v.Reason)
		}
		return v, p, raw
	}
	t.accept(now, p, w.request)
	f, _ := t.flows.Peek(w.key)
	f.arrived, f.began, f.waited = w.since+copyAges[p.Copy], w.since, true
	return Verdict{Decision: Decision{Action: ToServer}, Waited: now - f.arrived}, p, raw
}

// refuseHeld returns the refusal of an opening packet that has waited for too long or can't be served any more.
func (t *Tracker) refuseHeld(now time.Duration, w *heldWork) (v Verdict, refused bool) {
	switch {
	case t.held.closed:
		return refuse(w.request, "agent stops"), true
	case t.routes[w.key.Service] == nil:
		return refuse(w.request, "no route in the configuration in force"), true
	case t.evacuated && evacuated(now, t.evacuation, w.key.Hash()):
		t.turnedAway.Evacuated++
		return refuse(w.request, "availability zone is evacuated"), true
	case !t.Accepting(now):
		return refuseBusy(w.request, "server accepts no new flows"), true
	case now >= w.until:
		t.held.counts.TooLong++
		return refuseBusy(w.request, "waited for too long for a free slot"), true
	}
	return Verdict{}, false
}

func (t *Tracker) refuseRemoved(v Verdict, key Key) (Verdict, *Packet, []byte) {
	w := t.held.remove(key)
	return v, &w.packets[0].packet, w.packets[0].raw
}
