package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
	"github.com/bramleyrack/bramleyrack/registry"
)

// heldPacket is a packet in parsed and in raw form.
type heldPacket struct {
	packet Packet
	raw    []byte
}

// heldWork is an opening packet, or a request on an open flow, that the agent holds until its server has room.
type heldWork struct {
	key     Key
	opening bool
	// packets are those of the work, in the order of their sequence numbers. They go to the server in this order.
	packets []heldPacket
	request Request
	// since is when the client sent the first copy of the opening packet, or when the request arrived. until is when an
	// opening packet is refused.
	since, until time.Duration
}

// heldQueue is what an agent holds for its server. Without it, urgent requests would meet a queue at the server that is
// full of less urgent ones: the server runs requests in the order in which they arrive.
type heldQueue struct {
	backlog admission.Backlog[Key]
	work    map[Key]*heldWork
	// released is work whose packets are being passed to the server, one with each call of NextHeld.
	released *heldWork
	packets  int
	// blockedUntil is when the next opening packet may be released after the server has returned one although the agent
	// counted a free slot. Without it, the agent and the server would send the packet to and fro.
	blockedUntil time.Duration
	// recheck is set if any of the work may have to leave the queue although the server has no room.
	recheck bool
	// closed is set once the agent stops.
	closed bool
	counts HeldCounts
}

// HeldCounts counts what the agent holds, or has held, for its server.
type HeldCounts struct {
	// Openings is how many opening packets wait, TotalOpenings how many flows have waited since the start, and TooLong how
	// many of these were refused because no slot became free in time.
	Openings               int
	TotalOpenings, TooLong uint64
	// Requests is how many requests on open flows are held, TotalRequests how many have been, Overdue how many of these
	// were passed on at their limit although the server had no room, and Abandoned how many were dropped because their
	// clients reset the flow.
	Requests                          int
	TotalRequests, Overdue, Abandoned uint64
}

// HeldPlace describes the wait of an opening packet or of a request on an open flow.
type HeldPlace struct {
	// Position is the number of running, waiting and held requests that precede it, and one.
	Position int
	// Expected is the expected wait for a slot, and Limit the time after which the flow is refused, or the request passed
	// to the server.
	Expected, Limit time.Duration
}

// Held returns the counts of what the agent holds, or has held, for its server.
func (t *Tracker) Held() HeldCounts {
	counts := t.held.counts
	counts.Requests = t.load.held
	counts.Openings = t.held.backlog.Len() - counts.Requests
	return counts
}

func (q *heldQueue) add(now time.Duration, w *heldWork, waiter admission.Waiter[Key]) {
	if q.work == nil {
		q.work = map[Key]*heldWork{}
	}
	q.work[w.key] = w
	q.backlog.Add(now, waiter)
}

// remove removes and returns the work of a flow, or nil if there is none.
func (q *heldQueue) remove(key Key) *heldWork {
	w := q.work[key]
	if w == nil {
		return nil
	}
	delete(q.work, key)
	q.backlog.Remove(key)
	q.packets -= len(w.packets)
	return w
}

// requestPriority returns the priority of the requests of a route, which is nil if it is not known.
func requestPriority(route *registry.Route) int {
	if route == nil {
		return admission.Priorities - 1
	}
	return route.Priority
}

// ahead returns how many requests precede a new one of a route that can still be answered in time: those at the server,
// the first ones of flows that were opened, and what is held and goes before it.
func (t *Tracker) ahead(now time.Duration, route *registry.Route) int {
	return t.load.atServer() + t.held.backlog.Ahead(now, requestPriority(route))
}

// inTime returns the latest start with which the answer to a request that its client sent at a given time is expected
// within the latency budget.
func (t *Tracker) inTime(since time.Duration, route *registry.Route) time.Duration {
	budget := latencyBudget(route)
	return since + budget - t.load.roundTime(budget)
}

// KeepRaw stores the raw form of a packet that begins to wait. Call it after a verdict with the action Wait.
func (t *Tracker) KeepRaw(p *Packet, raw []byte) {
	w := t.held.work[p.Key]
	if w == nil {
		return
	}
	for i := range w.packets {
		if h := &w.packets[i]; h.raw == nil && h.packet.Seq == p.Seq {
			h.raw = append([]byte(nil), raw...)
			return
		}
	}
}

// StopHolding lets nothing more wait, has the opening packets that wait refused and the requests passed to the server.
// Call it when the agent stops.
func (t *Tracker) StopHolding() {
	t.held.closed, t.held.recheck = true, true
}

// NextHeld returns the next packet that was held and leaves the queue now, in raw form as well, with the decision on it.
// The packet is nil if there is none. Call it until then after each packet from the server, after a change of the view and
// at regular intervals.
func (t *Tracker) NextHeld(now time.Duration) (Verdict, *Packet, []byte) {
	if t.held.released == nil {
		if t.held.backlog.Len() == 0 {
			return Verdict{}, nil, nil
		}
		t.load.advance(now)
		t.load.releaseExpired(now)
		if v, p, raw := t.removeDue(now); p != nil {
			return v, p, raw
		}
		if t.held.released == nil {
			return t.releaseNext(now)
		}
	}
	return t.passReleased(now)
}

// removeDue removes the first piece of work that must leave the queue whether the server has room or not. It returns the
// refusal of an opening packet, and releases a request.
func (t *Tracker) removeDue(now time.Duration) (Verdict, *Packet, []byte) {
	if t.held.recheck {
		for waiter := range t.held.backlog.All(now) {
			w := t.held.work[waiter.Key]
			if !w.opening && t.mustPassOn(waiter.Key) {
				t.held.released = t.held.remove(waiter.Key)
				return Verdict{}, nil, nil
			}
			if !w.opening {
				continue
			}
			if v, refused := t.refuseHeld(now, w); refused {
				return t.refuseRemoved(v, waiter.Key)
			}
		}
		t.held.recheck = false
	}
	overdue, ok := t.held.backlog.Overdue(now)
	if !ok {
		return Verdict{}, nil, nil
	}
	w := t.held.work[overdue.Key]
	if !w.opening {
		t.held.counts.Overdue++
		t.held.released = t.held.remove(overdue.Key)
		return Verdict{}, nil, nil
	}
	v, _ := t.refuseHeld(now, w)
	return t.refuseRemoved(v, overdue.Key)
}

// releaseNext removes the first piece of work in order, if the server has room for it.
func (t *Tracker) releaseNext(now time.Duration) (Verdict, *Packet, []byte) {
	first, ok := t.held.backlog.Next(now)
	if !ok || !t.load.hasRoom(now) {
		return Verdict{}, nil, nil
	}
	w := t.held.work[first.Key]
	if !w.opening {
		t.held.released = t.held.remove(first.Key)
		return t.passReleased(now)
	}
	return t.releaseOpening(now, w)
}
