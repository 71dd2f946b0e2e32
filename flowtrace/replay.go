package flowtrace

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/settings"
)

// Replay replays a trace under the flow placement of the product.
func Replay(t *Trace) *Result {
	return newSimulation(t, ownerRouting{}).run()
}

// Baselines replays a trace under random choice, plain rendezvous hashing and a flow table in each balancer. For random
// choice and flow tables, the fabric sends all packets of a flow to one balancer as long as the set of balancers stays
// the same.
func Baselines(t *Trace) []*Result {
	var results []*Result
	for _, p := range []policy{randomChoice{}, plainRendezvous{}, flowTable{}} {
		results = append(results, newSimulation(t, p).run())
	}
	return results
}

func (sim *simulation) run() *Result {
	events := slices.Clone(sim.trace.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for sim.now = 0; sim.now <= sim.trace.End; sim.now += tick {
		for len(events) > 0 && events[0].At <= sim.now {
			sim.handle(&events[0])
			events = events[1:]
		}
		sim.applyDueUpdates()
		if sim.now%heartbeatInterval == 0 {
			sim.exchangeHeartbeats()
		}
		sim.checkAgents()
		sim.sendDue()
		if sim.now%sampleInterval == 0 {
			sim.sample()
		}
	}
	return sim.result
}

func (sim *simulation) handle(e *Event) {
	switch e.Kind {
	case Open:
		sim.scheduleOpens(e)
	case AddUpstream:
		a := sim.addAgent(e.Service, e.Upstream)
		sim.markPreexisting()
		sim.publish(e, func(t *settings.Tree) {
			s := t.Service(e.Service)
			s.Upstreams = append(s.Upstreams, a.settings())
		})
	case Drain:
		sim.drain(e)
	case RemoveUpstream:
		sim.markPreexisting()
		sim.publish(e, func(t *settings.Tree) { removeUpstream(t, e.Server) })
		sim.markRemoved(e.Server)
	case Kill:
		sim.markPreexisting()
		sim.kill(sim.agentOf(e.Server))
	case Freeze:
		sim.agentOf(e.Server).frozenUntil = sim.now + e.For
	case ReplaceBalancer:
		sim.balancers[e.Balancer] = sim.newBalancer(sim.balancers[e.Balancer].place)
	case RotateKeys:
		sim.rotateKeys(e.Lag)
	case Partition:
		sim.isolated = e.Places
		sim.partitionEnd = sim.now + e.For
	}
}

func (sim *simulation) markRemoved(server uint32) {
	for _, a := range sim.agents {
		if a.upstream.Number == server {
			a.removed = true
		}
	}
}

func (sim *simulation) kill(a *agent) {
	a.dead = true
	a.diedAt = sim.now
}

// rotateKeys distributes a new key to the agents and balancers alternately, starting with an agent.
func (sim *simulation) rotateKeys(lag time.Duration) {
	sim.keyGeneration++
	codec := newCodec(sim.keyGeneration)
	sim.codec = codec
	at := sim.now
	schedule := func(change func()) {
		sim.pendingUpdates = append(sim.pendingUpdates, pendingUpdate{at: at, apply: func(time.Duration, *settings.Tree) { change() }})
		at += lag
	}
	for i := range max(len(sim.agents), len(sim.balancers)) {
		if i < len(sim.agents) {
			schedule(func() { sim.agents[i].codec = codec })
		}
		if i < len(sim.balancers) {
			schedule(func() { sim.balancers[i].router = routing.NewRouter(codec) })
		}
	}
}

func (sim *simulation) drain(e *Event) {
	a := sim.agentOf(e.Server)
	a.drainedAt = sim.now
	sim.markPreexisting()
	sim.publish(e, func(t *settings.Tree) {
		if u := t.Service(a.service).Upstream(e.Server); u != nil {
			u.Leaving = true
		}
	})
}

func removeUpstream(t *settings.Tree, server uint32) {
	for i := range t.Services {
		s := &t.Services[i]
		s.Upstreams = slices.DeleteFunc(s.Upstreams, func(u settings.Upstream) bool { return u.Number == server })
	}
}

// publish creates a settings revision, which reaches the balancers one after the other.
func (sim *simulation) publish(e *Event, change func(*settings.Tree)) {
	next := &settings.Tree{Revision: sim.tree.Revision + 1}
	for _, s := range sim.tree.Services {
		s.Upstreams = slices.Clone(s.Upstreams)
		next.Services = append(next.Services, s)
	}
	change(next)
	sim.tree = next
	for i := range sim.balancers {
		sim.pendingUpdates = append(sim.pendingUpdates, pendingUpdate{
			at:   sim.now + time.Duration(i)*e.Lag,
			tree: next,
			apply: func(now time.Duration, t *settings.Tree) {
				if b := sim.balancers[i]; b.tree.Revision < t.Revision {
					b.apply(now, t)
				}
			},
		})
	}
}

func (sim *simulation) applyDueUpdates() {
	var remaining []pendingUpdate
	for _, u := range sim.pendingUpdates {
		if u.at > sim.now {
			remaining = append(remaining, u)
			continue
		}
		u.apply(sim.now, u.tree)
	}
	sim.pendingUpdates = remaining
}

// markPreexisting marks all open flows as older than the current set of upstreams. No placement of new flows can move
// them, so sample does not count the imbalance that they impose as an excess.
func (sim *simulation) markPreexisting() {
	for _, a := range sim.agents {
		a.preexisting = len(a.flows)
	}
	for _, f := range sim.flows {
		f.preexisting = true
	}
}

// sample measures the imbalance among the upstreams that accept new flows.
func (sim *simulation) sample() {
	for _, s := range sim.tree.Services {
		sim.sampleService(s.Number)
	}
}

// minSampledFlows is the mean number of flows per unit of weight below which the imbalance is not measured, since
// random variation dominates it.
const minSampledFlows = 200

func (sim *simulation) sampleService(service uint32) {
	var flows, weights, maxLoad, maxPreexisting float64
	for _, a := range sim.agents {
		if a.service != service || a.dead || a.drainedAt > 0 || a.removed {
			continue
		}
		flows += float64(len(a.flows))
		weights += a.upstream.Weight
		maxLoad = max(maxLoad, float64(len(a.flows))/a.upstream.Weight)
		maxPreexisting = max(maxPreexisting, float64(a.preexisting)/a.upstream.Weight)
	}
	mean := flows / weights
	if weights == 0 || mean < minSampledFlows {
		return
	}
	imbalance, floor := maxLoad/mean, max(maxPreexisting/mean, 1)
	sim.result.Imbalance = max(sim.result.Imbalance, imbalance)
	sim.result.ImbalanceFloor = max(sim.result.ImbalanceFloor, floor)
	sim.result.ImbalanceExcess = max(sim.result.ImbalanceExcess, imbalance/floor)
}
