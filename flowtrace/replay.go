package flowtrace

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/settings"
)

// Replay runs a trace against the placement of flows.
func Replay(t *Trace) *Result {
	return newSimulation(t, ownerHint{}).run()
}

// Baselines runs a trace against random choice, plain rendezvous hashing and a flow table in each
// balancer. The fabric keeps the flows of the first and the last on one balancer while it can.
func Baselines(t *Trace) []*Result {
	var results []*Result
	for _, p := range []policy{randomChoice{}, plainRendezvous{}, flowTable{}} {
		results = append(results, newSimulation(t, p).run())
	}
	return results
}

func (w *simulation) run() *Result {
	events := slices.Clone(w.trace.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for w.now = 0; w.now <= w.trace.End; w.now += tick {
		for len(events) > 0 && events[0].At <= w.now {
			w.handle(&events[0])
			events = events[1:]
		}
		w.arrive()
		if w.now%heartbeatInterval == 0 {
			w.heartbeats()
		}
		w.checkAgents()
		w.sendDue()
		if w.now%sampleInterval == 0 {
			w.sample()
		}
	}
	return w.result
}

func (w *simulation) handle(e *Event) {
	switch e.Kind {
	case Open:
		w.scheduleOpens(e)
	case AddUpstream:
		a := w.addAgent(e.Service, e.Upstream)
		w.inherit()
		w.publish(e, func(t *settings.Tree) {
			s := t.Service(e.Service)
			s.Upstreams = append(s.Upstreams, a.settings())
		})
	case Drain:
		w.drain(e)
	case RemoveUpstream:
		w.inherit()
		w.publish(e, func(t *settings.Tree) { remove(t, e.Server) })
		w.markRemoved(e.Server)
	case Kill:
		w.inherit()
		w.kill(w.numbered(e.Server))
	case Freeze:
		w.numbered(e.Server).frozen = w.now + e.For
	case ReplaceBalancer:
		w.balancers[e.Balancer] = w.newBalancer(w.balancers[e.Balancer].place)
	case RotateKeys:
		w.rotateKeys(e.Lag)
	case Partition:
		w.parted = e.Places
		w.heal = w.now + e.For
	}
}

func (w *simulation) markRemoved(server uint32) {
	for _, a := range w.agents {
		if a.upstream.Number == server {
			a.removed = true
		}
	}
}

func (w *simulation) kill(a *agent) {
	a.dead = true
	a.died = w.now
}

// rotateKeys reaches the agents and balancers in turn, an agent before each balancer.
func (w *simulation) rotateKeys(lag time.Duration) {
	w.generation++
	codec := newCodec(w.generation)
	w.codec = codec
	at := w.now
	later := func(change func()) {
		w.arrivals = append(w.arrivals, arrival{at: at, apply: func(time.Duration, *settings.Tree) { change() }})
		at += lag
	}
	for i := range max(len(w.agents), len(w.balancers)) {
		if i < len(w.agents) {
			later(func() { w.agents[i].codec = codec })
		}
		if i < len(w.balancers) {
			later(func() { w.balancers[i].router = routing.NewRouter(codec) })
		}
	}
}

func (w *simulation) drain(e *Event) {
	a := w.numbered(e.Server)
	a.drained = w.now
	w.inherit()
	w.publish(e, func(t *settings.Tree) {
		if u := t.Service(a.service).Upstream(e.Server); u != nil {
			u.Leaving = true
		}
	})
}

func remove(t *settings.Tree, server uint32) {
	for i := range t.Services {
		s := &t.Services[i]
		s.Upstreams = slices.DeleteFunc(s.Upstreams, func(u settings.Upstream) bool { return u.Number == server })
	}
}

// publish makes a revision that reaches one balancer after the other.
func (w *simulation) publish(e *Event, change func(*settings.Tree)) {
	next := &settings.Tree{Revision: w.tree.Revision + 1}
	for _, s := range w.tree.Services {
		s.Upstreams = slices.Clone(s.Upstreams)
		next.Services = append(next.Services, s)
	}
	change(next)
	w.tree = next
	for i := range w.balancers {
		w.arrivals = append(w.arrivals, arrival{
			at:   w.now + time.Duration(i)*e.Lag,
			tree: next,
			apply: func(now time.Duration, t *settings.Tree) {
				if b := w.balancers[i]; b.tree.Revision < t.Revision {
					b.apply(now, t)
				}
			},
		})
	}
}

func (w *simulation) arrive() {
	var later []arrival
	for _, a := range w.arrivals {
		if a.at > w.now {
			later = append(later, a)
			continue
		}
		a.apply(w.now, a.tree)
	}
	w.arrivals = later
}

// inherit marks the open flows as ones that no placement can move any more.
func (w *simulation) inherit() {
	for _, a := range w.agents {
		a.inherited = len(a.flows)
	}
	for _, f := range w.flows {
		f.inherited = true
	}
}

// sample measures the imbalance among the upstreams that take flows.
func (w *simulation) sample() {
	for _, s := range w.tree.Services {
		w.sampleService(s.Number)
	}
}

// minSampled is the mean number of flows below which imbalance means nothing.
const minSampled = 200

func (w *simulation) sampleService(service uint32) {
	var flows, weights, most, mostInherited float64
	for _, a := range w.agents {
		if a.service != service || a.dead || a.drained > 0 || a.removed {
			continue
		}
		flows += float64(len(a.flows))
		weights += a.upstream.Weight
		most = max(most, float64(len(a.flows))/a.upstream.Weight)
		mostInherited = max(mostInherited, float64(a.inherited)/a.upstream.Weight)
	}
	mean := flows / weights
	if weights == 0 || mean < minSampled {
		return
	}
	imbalance, forced := most/mean, max(mostInherited/mean, 1)
	w.result.Imbalance = max(w.result.Imbalance, imbalance)
	w.result.ImbalanceFloor = max(w.result.ImbalanceFloor, forced)
	w.result.ImbalanceExcess = max(w.result.ImbalanceExcess, imbalance/forced)
}
