package flowtrace

import (
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
)

func (sim *simulation) scheduleOpens(e *Event) {
	for i := range e.Count {
		at := sim.now + time.Duration(int64(e.Over)*int64(i)/int64(e.Count))
		sim.flowCount++
		f := &flow{id: flowID(sim.flowCount), service: e.Service, closeAt: sim.trace.End + 1}
		switch {
		case e.Lifetime > 0:
			f.closeAt = at + time.Duration(sim.rnd.ExpFloat64()*float64(e.Lifetime))
		case e.For > 0:
			f.closeAt = at + e.For
		}
		sim.schedule(f, at)
	}
}

// flowID returns the ID of the n-th flow. The hash spreads consecutive flows over all connection IDs.
func flowID(n uint64) uint64 {
	return placement.FlowHash([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
}

func (sim *simulation) schedule(f *flow, at time.Duration) {
	tickNumber := int64((at + tick - 1) / tick)
	sim.due[tickNumber] = append(sim.due[tickNumber], f)
}

func (sim *simulation) sendDue() {
	tickNumber := int64(sim.now / tick)
	due := sim.due[tickNumber]
	delete(sim.due, tickNumber)
	for _, f := range due {
		if f.owner == nil {
			sim.openFlow(f)
		} else {
			sim.sendEstablished(f)
		}
	}
}

// balancerFor returns the balancer that the fabric delivers the next packet of a flow to.
func (sim *simulation) balancerFor(f *flow) *balancer {
	if sim.policy.pinned() {
		return sim.balancers[f.id%uint64(len(sim.balancers))]
	}
	return sim.balancers[sim.rnd.Intn(len(sim.balancers))]
}

func (sim *simulation) send(f *flow) verdict {
	sim.result.Packets++
	v := sim.policy.send(sim, sim.balancerFor(f), f)
	if v.outcome == outcomeAccepted && v.agent.service != f.service {
		sim.result.OtherService++
	}
	return v
}

// openFlow sends the two packets of a flow's first flight, which may be routed differently. The flow is established if
// the same agent accepts both; otherwise it is opened again, up to maxAttempts times in total.
func (sim *simulation) openFlow(f *flow) {
	f.attempts++
	first, second := sim.send(f), sim.send(f)
	accepted := first.outcome == outcomeAccepted && second.outcome == outcomeAccepted
	if accepted && first.agent == second.agent {
		sim.establish(f, first.agent)
		return
	}
	if accepted {
		sim.result.SplitHandshakes++
	}
	if f.attempts >= maxAttempts {
		sim.result.FailedOpens++
		return
	}
	sim.schedule(f, sim.now+retryInterval)
}

func (sim *simulation) establish(f *flow, a *agent) {
	f.owner = a
	f.connectionID = a.codec.Encode(a.self, f.id)
	f.lastAccepted = sim.now
	a.flows[f.id] = f
	sim.flows[f.id] = f
	sim.result.Opened++
	if a.drainedAt > 0 {
		sim.result.LastAcceptAfterDrain = max(sim.result.LastAcceptAfterDrain, sim.now-a.drainedAt)
	}
	sim.schedule(f, sim.now+time.Duration(sim.rnd.Int63n(int64(sim.trace.PacketInterval))))
}

func (sim *simulation) sendEstablished(f *flow) {
	if sim.now >= f.closeAt {
		sim.endFlow(f)
		return
	}
	v := sim.send(f)
	reset := v.outcome == outcomeReset || v.outcome == outcomeAccepted && v.agent != f.owner
	switch {
	case reset:
		sim.breakFlow(f, &sim.result.Broken)
	case sim.now-f.lastAccepted > idleTimeout:
		sim.breakFlow(f, &sim.result.TimedOut)
	case v.outcome == outcomeAccepted:
		f.lastAccepted = sim.now
		sim.schedule(f, sim.now+sim.trace.PacketInterval)
	default:
		sim.schedule(f, sim.now+retryInterval)
	}
}

// breakFlow ends a flow and increments count, or BrokenByOwner if the upstream of the flow was killed.
func (sim *simulation) breakFlow(f *flow, count *int) {
	if f.owner.dead {
		count = &sim.result.BrokenByOwner
	}
	*count++
	sim.endFlow(f)
}

func (sim *simulation) endFlow(f *flow) {
	delete(f.owner.flows, f.id)
	delete(sim.flows, f.id)
	if f.preexisting {
		f.owner.preexisting--
	}
}
