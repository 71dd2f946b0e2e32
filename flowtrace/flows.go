package flowtrace

import (
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
)

func (w *simulation) scheduleOpens(e *Event) {
	for i := range e.Count {
		at := w.now + time.Duration(int64(e.Over)*int64(i)/int64(e.Count))
		w.lastID++
		f := &flow{id: hashed(w.lastID), service: e.Service, closes: w.trace.End + 1}
		switch {
		case e.Lifetime > 0:
			f.closes = at + time.Duration(w.rnd.ExpFloat64()*float64(e.Lifetime))
		case e.For > 0:
			f.closes = at + e.For
		}
		w.schedule(f, at)
	}
}

// hashed spreads the sequence of flows over all connection IDs.
func hashed(n uint64) uint64 {
	return placement.FlowHash([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
}

func (w *simulation) schedule(f *flow, at time.Duration) {
	slot := int64((at + tick - 1) / tick)
	w.due[slot] = append(w.due[slot], f)
}

func (w *simulation) sendDue() {
	slot := int64(w.now / tick)
	due := w.due[slot]
	delete(w.due, slot)
	for _, f := range due {
		if f.owner == nil {
			w.open(f)
		} else {
			w.sendEstablished(f)
		}
	}
}

// balancerFor returns the balancer that the fabric hands a packet to.
func (w *simulation) balancerFor(f *flow) *balancer {
	if w.policy.pinned() {
		return w.balancers[f.id%uint64(len(w.balancers))]
	}
	return w.balancers[w.rnd.Intn(len(w.balancers))]
}

func (w *simulation) send(f *flow) verdict {
	w.result.Packets++
	v := w.policy.send(w, w.balancerFor(f), f)
	if v.outcome == outcomeAccepted && v.agent.service != f.service {
		w.result.OtherService++
	}
	return v
}

// open sends the two packets of a first flight, which may take different ways.
func (w *simulation) open(f *flow) {
	f.attempts++
	first, second := w.send(f), w.send(f)
	accepted := first.outcome == outcomeAccepted && second.outcome == outcomeAccepted
	if accepted && first.agent == second.agent {
		w.establish(f, first.agent)
		return
	}
	if accepted {
		w.result.SplitHandshakes++
	}
	if f.attempts >= maxAttempts {
		w.result.FailedOpens++
		return
	}
	w.schedule(f, w.now+retryInterval)
}

func (w *simulation) establish(f *flow, a *agent) {
	f.owner = a
	f.connectionID = a.codec.Encode(a.self, f.id)
	f.heard = w.now
	a.flows[f.id] = f
	w.flows[f.id] = f
	w.result.Opened++
	if a.drained > 0 {
		w.result.LastAcceptAfterDrain = max(w.result.LastAcceptAfterDrain, w.now-a.drained)
	}
	w.schedule(f, w.now+time.Duration(w.rnd.Int63n(int64(w.trace.PacketInterval))))
}

func (w *simulation) sendEstablished(f *flow) {
	if w.now >= f.closes {
		w.end(f)
		return
	}
	v := w.send(f)
	reset := v.outcome == outcomeReset || v.outcome == outcomeAccepted && v.agent != f.owner
	switch {
	case reset:
		w.breakFlow(f, &w.result.Broken)
	case w.now-f.heard > idleTimeout:
		w.breakFlow(f, &w.result.TimedOut)
	case v.outcome == outcomeAccepted:
		f.heard = w.now
		w.schedule(f, w.now+w.trace.PacketInterval)
	default:
		w.schedule(f, w.now+retryInterval)
	}
}

// breakFlow ends a flow and counts it, by its upstream if that is dead.
func (w *simulation) breakFlow(f *flow, count *int) {
	if f.owner.dead {
		count = &w.result.BrokenByOwner
	}
	*count++
	w.end(f)
}

func (w *simulation) end(f *flow) {
	delete(f.owner.flows, f.id)
	delete(w.flows, f.id)
	if f.inherited {
		f.owner.inherited--
	}
}
