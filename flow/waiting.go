package flow

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// copyAges are the times at which a client sends the copies of an opening packet, from the first one on. Later copies do
// not wait.
var copyAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// waitingOpening is an opening packet that waits at the agent for a slot of its server.
type waitingOpening struct {
	packet  Packet
	raw     []byte
	request Request
	// priority is that of the route when the packet began to wait.
	priority int
	// since is when the client sent the first copy of the packet, and until is when the packet is refused.
	since, until time.Duration
}

// waitingOpenings is the queue of opening packets that wait for a slot, the more urgent ones first and those of the same
// priority in the order of their arrival.
type waitingOpenings struct {
	queue []waitingOpening
	// blockedUntil is when the next packet may be released after the server has returned one although the agent counted
	// a free slot. Without it, the agent and the server would send the packet to and fro.
	blockedUntil time.Duration
	// recheck is set if any of the packets may have to be refused.
	recheck bool
	// closed is set once the agent stops.
	closed bool
	counts WaitingCounts
}

// WaitingCounts counts the opening packets that wait or have waited for a slot.
type WaitingCounts struct {
	// Now is how many wait, Total how many flows have waited since the start, and TooLong how many of these were refused
	// because no slot became free in time.
	Now            int
	Total, TooLong uint64
}

// WaitingPlace describes the wait of an opening packet.
type WaitingPlace struct {
	// Position is the place in the queue, from 1.
	Position int
	// Expected is the expected wait for a slot, and Limit the time after which the flow is refused.
	Expected, Limit time.Duration
}

// Waiting returns the counts of the opening packets that wait or have waited for a slot.
func (t *Tracker) Waiting() WaitingCounts {
	counts := t.waiting.counts
	counts.Now = len(t.waiting.queue)
	return counts
}

// index returns the index of the waiting packet of a flow, or -1.
func (w *waitingOpenings) index(key Key) int {
	return slices.IndexFunc(w.queue, func(o waitingOpening) bool { return o.packet.Key == key })
}

// ahead returns how many packets precede a new one of the given priority.
func (w *waitingOpenings) ahead(priority int) int {
	if i := slices.IndexFunc(w.queue, func(o waitingOpening) bool { return o.priority > priority }); i >= 0 {
		return i
	}
	return len(w.queue)
}

// remove removes and returns the packet with the given index.
func (w *waitingOpenings) remove(i int) waitingOpening {
	o := w.queue[i]
	w.queue = slices.Delete(w.queue, i, i+1)
	return o
}

// overtakes reports whether a flow that finds no free slot would overtake waiting flows that are as urgent, if it were
// queued at the server. Without this rule, new flows would keep the server's queue filled and no slot would become free
// for those that wait.
func (t *Tracker) overtakes(route *registry.Route) bool {
	return t.patience(route) > 0 && t.waiting.ahead(route.Priority) > 0
}

// waitInstead lets an opening packet that no server can take wait for a slot of the agent's server, if one is expected
// in time. v is the refusal. The packet arrived at the given time; the server may have returned it since then.
func (t *Tracker) waitInstead(now, arrived time.Duration, p *Packet, request Request, v Verdict) Verdict {
	route := t.routes[p.Key.Service]
	limit := min(t.patience(route), t.config.MaxWait)
	switch {
	case v.Action != Reset || v.Refusal != RefusedBusy && v.Refusal != RefusedShare || limit <= 0 || int(p.Copy) >= len(copyAges):
		return v
	case !t.mayWait(now) || len(t.waiting.queue) >= t.config.MaxWaiting || !p.Returned && !t.load.full():
		return v
	}
	busy := t.load.busy()
	if p.Returned {
		// The server has just shown that its queue is full.
		busy = max(busy, t.load.slots+t.config.ServerQueue)
	}
	since := arrived - copyAges[p.Copy]
	ahead := t.waiting.ahead(route.Priority)
	expected := t.load.waitForSlot(latencyBudget(route), busy+ahead)
	if now-since+expected > limit {
		return v
	}
	o := waitingOpening{packet: *p, request: request, priority: route.Priority, since: since, until: since + limit}
	o.packet.Returned = false
	// The agent is the last one. A final request is not counted as offered work again.
	o.request.Remaining, o.request.Best, o.request.Final = nil, Offer{}, true
	t.waiting.queue = slices.Insert(t.waiting.queue, ahead, o)
	return Verdict{
		Decision: Decision{Action: Wait, Reason: "waits for a free slot"}, Note: NoteWaiting, Balancer: request.Balancer,
		Place: WaitingPlace{Position: ahead + 1, Expected: expected, Limit: o.until - now},
	}
}

// mayWait reports whether the server may get new flows as soon as it has a free slot.
func (t *Tracker) mayWait(now time.Duration) bool {
	return t.Accepting(now) && !t.evacuated && !t.cold.limited && !t.load.outcomes.suspect && !t.waiting.closed && !t.justResumed(now)
}

// KeepRaw stores the raw form of an opening packet that begins to wait. Call it after a verdict with the action Wait.
func (t *Tracker) KeepRaw(key Key, raw []byte) {
	if i := t.waiting.index(key); i >= 0 {
		t.waiting.queue[i].raw = slices.Clone(raw)
	}
}

// CloseWaiting lets no further opening packet wait and has those that wait refused. Call it when the agent stops.
func (t *Tracker) CloseWaiting() {
	t.waiting.closed, t.waiting.recheck = true, true
}

// NextWaiting returns the next opening packet that has waited and is released or refused now, in raw form as well, with
// the decision on it. The packet is nil if there is none. Call it until then after each packet from the server, after a
// change of the view and at regular intervals.
func (t *Tracker) NextWaiting(now time.Duration) (Verdict, *Packet, []byte) {
	if len(t.waiting.queue) == 0 {
		return Verdict{}, nil, nil
	}
	t.load.advance(now)
	t.load.releaseExpired(now)
	if t.waiting.recheck {
		for i := range t.waiting.queue {
			if v, refused := t.refuseWaiting(now, &t.waiting.queue[i]); refused {
				o := t.waiting.remove(i)
				return v, &o.packet, o.raw
			}
		}
		t.waiting.recheck = false
	}
	if t.load.full() || now < t.waiting.blockedUntil || !t.cold.allows(now) {
		return Verdict{}, nil, nil
	}
	o := t.waiting.remove(0)
	v, refused := t.refuseWaiting(now, &o)
	if refused {
		return v, &o.packet, o.raw
	}
	v = t.openFlow(now, &o.packet, o.request)
	switch v.Action {
	case ToServer:
		f, _ := t.flows.Peek(o.packet.Key)
		f.arrived, f.waited = o.since+copyAges[o.packet.Copy], true
		v.Reason = strings.TrimSuffix(fmt.Sprintf("waited for %v for a free slot; %s", (now-f.arrived).Round(time.Millisecond), v.Reason), "; ")
	case Drop:
		// A dropped packet would leave its client in doubt, and no balancer hedges it any more.
		v = refuse(o.request, v.Reason)
	}
	return v, &o.packet, o.raw
}

// refuseWaiting returns the refusal of a waiting packet that has waited for too long or can't be served any more.
func (t *Tracker) refuseWaiting(now time.Duration, o *waitingOpening) (v Verdict, refused bool) {
	switch key := o.packet.Key; {
	case t.waiting.closed:
		return refuse(o.request, "agent stops"), true
	case t.routes[key.Service] == nil:
		return refuse(o.request, "no route in the configuration in force"), true
	case t.evacuated && evacuated(now, t.evacuation, key.Hash()):
		t.turnedAway.Evacuated++
		return refuse(o.request, "availability zone is evacuated"), true
	case !t.Accepting(now):
		return refuseBusy(o.request, "server accepts no new flows"), true
	case now >= o.until:
		t.waiting.counts.TooLong++
		return refuseBusy(o.request, "waited for too long for a free slot"), true
	}
	return Verdict{}, false
}

// waitForSlot returns the expected wait of a new request for a slot, if the given number of others are running or
// precede it.
func (l *load) waitForSlot(budget time.Duration, others int) time.Duration {
	rounds := float64(max(0, others+1-l.slots)) / float64(l.slots)
	return time.Duration(rounds * float64(l.roundTime(budget)))
}
