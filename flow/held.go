package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
	"github.com/bramleyrack/bramleyrack/registry"
)

// copyAges are the times at which a client sends the copies of an opening packet, from the first one on. Later copies do
// not wait.
var copyAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

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

// openingLimit returns the time, from its client's first packet on, for which a new flow may wait for a slot. It is zero if
// the client has no time for another attempt after that.
func (t *Tracker) openingLimit(route *registry.Route) time.Duration {
	if route == nil || route.Timeout < t.config.MinPatience {
		return 0
	}
	return min(time.Duration(t.config.PatientPart*float64(route.Timeout)), t.config.MaxWait)
}

// requestLimit returns the time for which a request on an open flow may be held.
func (t *Tracker) requestLimit(route *registry.Route) time.Duration {
	if route == nil {
		return 0
	}
	timeout := route.Timeout
	if timeout == 0 {
		timeout = defaultBudget
	}
	return min(time.Duration(t.config.HoldPart*float64(timeout)), t.config.MaxHold)
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
	since := arrived - copyAges[p.Copy]
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

// holdRequest decides on a packet with data of a flow that the server holds. It holds the request if the server has no
// room for it. It returns false if the packet is to go to the server.
func (t *Tracker) holdRequest(now time.Duration, p *Packet, f *trackedFlow, request Request) (Verdict, bool) {
	w := t.held.work[p.Key]
	switch {
	case w != nil && w.opening:
		return Verdict{}, false
	case w != nil:
		return t.holdFurther(w, p, request), true
	}
	route := t.routes[p.Key.Service]
	limit := t.requestLimit(route)
	switch {
	case p.Length == 0, f.work == requested, f.work == expected && f.waited, limit <= 0, t.load.hasRoom(now):
		return Verdict{}, false
	case t.held.closed || t.leaving() || !t.server.responsive() || t.justResumed(now) || t.held.packets >= t.config.MaxHeldPackets:
		return Verdict{}, false
	}
	since := now
	if f.work == expected {
		since = f.arrived
	}
	others := t.ahead(now, route)
	t.load.hold(now, f)
	w = &heldWork{key: p.Key, packets: []heldPacket{{packet: *p}}, request: f.request, since: now}
	t.held.packets++
	t.held.counts.TotalRequests++
	t.held.add(now, w, admission.Waiter[Key]{Key: p.Key, Priority: requestPriority(route), InTime: t.inTime(since, route), Limit: max(now, since+limit), Admitted: true})
	v := Verdict{
		Decision: Decision{Action: Wait, Reason: "request waits for the server"},
		Place:    HeldPlace{Position: others + 1, Expected: t.load.waitForSlot(latencyBudget(route), others), Limit: max(0, since+limit-now)},
	}
	return t.noteHeld(v, request), true
}

// holdFurther handles another packet of a request that is held. A client repeats a packet that was not acknowledged.
func (t *Tracker) holdFurther(w *heldWork, p *Packet, request Request) Verdict {
	i := 0
	for i < len(w.packets) && before(w.packets[i].packet.Seq, p.Seq) {
		i++
	}
	switch {
	case i < len(w.packets) && w.packets[i].packet.Seq == p.Seq && w.packets[i].packet.Kind == p.Kind:
		return t.noteHeld(Verdict{Decision: Decision{Action: Wait, Reason: "copy of a packet that is held"}}, request)
	case len(w.packets) >= maxHeldPacketsPerFlow:
		return t.noteHeld(Verdict{Decision: Decision{Reason: "too many packets of the flow are held"}}, request)
	}
	w.packets = append(w.packets, heldPacket{})
	copy(w.packets[i+1:], w.packets[i:])
	w.packets[i] = heldPacket{packet: *p}
	t.held.packets++
	return t.noteHeld(Verdict{Decision: Decision{Action: Wait, Reason: "request waits for the server"}}, request)
}

// maxHeldPacketsPerFlow bounds the packets of one request that are held. A client has at most 16 in flight.
const maxHeldPacketsPerFlow = 32

// noteHeld lets a balancer that searches for the flow know that the server holds it.
func (t *Tracker) noteHeld(v Verdict, request Request) Verdict {
	if request.Purpose == PurposeSearch {
		v.Note, v.Balancer = NoteHeld, request.Balancer
	}
	return v
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

// abandon drops the held request of a flow that its client has reset.
func (t *Tracker) abandon(key Key) {
	if t.held.remove(key) != nil {
		t.held.counts.Abandoned++
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

// passReleased returns the next packet of the request that was released.
func (t *Tracker) passReleased(now time.Duration) (Verdict, *Packet, []byte) {
	w := t.held.released
	h := &w.packets[0]
	w.packets = w.packets[1:]
	if len(w.packets) == 0 {
		t.held.released = nil
	}
	v := t.passOn(now, &h.packet, h.raw, w.request)
	v.Waited = now - w.since
	return v, &h.packet, h.raw
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

// mustPassOn reports whether a request that is held must not wait any longer, since its flow has ended or the server does
// not answer.
func (t *Tracker) mustPassOn(key Key) bool {
	f, known := t.flows.Peek(key)
	return t.held.closed || !t.server.responsive() || !known || f.state == ended
}

func (t *Tracker) refuseRemoved(v Verdict, key Key) (Verdict, *Packet, []byte) {
	w := t.held.remove(key)
	return v, &w.packets[0].packet, w.packets[0].raw
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
	if t.load.atServer() >= t.load.slots || now < t.held.blockedUntil || !t.cold.allows(now) {
		return Verdict{}, nil, nil
	}
	t.held.remove(first.Key)
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
	f, _ := t.flows.Peek(first.Key)
	f.arrived, f.waited = w.since+copyAges[p.Copy], true
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

// before reports whether sequence number a precedes b. They wrap around.
func before(a, b uint32) bool {
	return int32(a-b) < 0
}
