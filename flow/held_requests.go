package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
	"github.com/bramleyrack/bramleyrack/registry"
)

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

// holdRequest decides on a packet with data of a flow that the server holds. It holds the request if the server has no
// room for it. Of a request of several packets it holds the last one, so that the transfer is not delayed. It returns
// false if the packet is to go to the server.
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
	case !t.completesRequest(p), f.work == requested, f.work == expected && f.waited, limit <= 0, t.load.hasRoom(now):
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

// abandon drops the held request of a flow that its client has reset.
func (t *Tracker) abandon(key Key) {
	if t.held.remove(key) != nil {
		t.held.counts.Abandoned++
	}
}

// mustPassOn reports whether a request that is held must not wait any longer, since its flow has ended or the server does
// not answer.
func (t *Tracker) mustPassOn(key Key) bool {
	f, known := t.flows.Peek(key)
	return t.held.closed || !t.server.responsive() || !known || f.state == ended
}

// passReleased returns the next packet of the request that was released.
func (t *Tracker) passReleased(now time.Duration) (Verdict, *Packet, []byte) {
	w := t.held.released
	h := &w.packets[0]
	w.packets = w.packets[1:]
	if len(w.packets) == 0 {
		t.held.released = nil
	}
	if route := t.routes[w.key.Service]; route != nil && route.Timeout > 0 && now-w.since >= route.Timeout {
		// The agent has been suspended since.
		if f, known := t.flows.Peek(w.key); known {
			t.load.end(f)
		}
		return t.dropStale(), &h.packet, h.raw
	}
	v := t.passOn(now, &h.packet, h.raw, w.request)
	v.Waited = now - w.since
	return v, &h.packet, h.raw
}

// before reports whether sequence number a precedes b. They wrap around.
func before(a, b uint32) bool {
	return int32(a-b) < 0
}
