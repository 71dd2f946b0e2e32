package flowtrace

import (
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// policy is a way to send the packets of a flow to an upstream.
type policy interface {
	name() string
	// pinned says that the fabric sends all packets of a flow to one balancer, as long as the
	// balancers stay the same. Otherwise it sends each packet to a random one.
	pinned() bool
	send(w *simulation, b *balancer, f *flow) verdict
}

// ownerHint is the policy of the product.
type ownerHint struct{}

func (ownerHint) name() string { return "bramleyrack" }

func (ownerHint) pinned() bool { return false }

func (ownerHint) send(w *simulation, b *balancer, f *flow) verdict { return w.forward(b, f) }

// plainRendezvous ranks the upstreams for every packet and passes none on.
type plainRendezvous struct{}

func (plainRendezvous) name() string { return "rendezvous" }

func (plainRendezvous) pinned() bool { return false }

func (plainRendezvous) send(w *simulation, b *balancer, f *flow) verdict {
	return w.direct(b, f, w.firstRank(b.tree, f))
}

// flowTable remembers, in each balancer, the first rank at the time of the first packet.
type flowTable struct{}

func (flowTable) name() string { return "flow table" }

func (flowTable) pinned() bool { return true }

func (flowTable) send(w *simulation, b *balancer, f *flow) verdict {
	server, ok := b.flows[f.id]
	if !ok || f.owner == nil && w.knownDead(server) {
		server = w.firstRank(b.tree, f)
	}
	b.flows[f.id] = server
	return w.direct(b, f, server)
}

// randomChoice remembers, in each balancer, a random upstream.
type randomChoice struct{}

func (randomChoice) name() string { return "random" }

func (randomChoice) pinned() bool { return true }

func (randomChoice) send(w *simulation, b *balancer, f *flow) verdict {
	server, ok := b.flows[f.id]
	if !ok || f.owner == nil && w.knownDead(server) {
		choices := w.staying(b.tree, f.service)
		if len(choices) == 0 {
			return verdict{}
		}
		server = choices[w.rnd.Intn(len(choices))].Number
	}
	b.flows[f.id] = server
	return w.direct(b, f, server)
}

// direct sends a packet to a server, which resets a flow that it does not know.
func (w *simulation) direct(b *balancer, f *flow, server uint32) verdict {
	a := w.numbered(server)
	if a == nil || !a.running(w.now) || !w.reachable(b.place, a.upstream.Place) {
		return verdict{}
	}
	if f.owner != nil && f.owner != a {
		return verdict{outcome: outcomeReset, agent: a}
	}
	return verdict{outcome: outcomeAccepted, agent: a}
}

// healthCheck is the time after which the baselines know that an upstream is dead.
const healthCheck = 2 * time.Second

func (w *simulation) knownDead(server uint32) bool {
	return w.numbered(server) == nil && !w.diedLately(server)
}

func (w *simulation) diedLately(server uint32) bool {
	for _, a := range w.agents {
		if a.upstream.Number == server && a.dead && w.now-a.died < healthCheck {
			return true
		}
	}
	return false
}

func (w *simulation) staying(tree *settings.Tree, service uint32) []placement.Candidate {
	var candidates []placement.Candidate
	for _, u := range tree.Service(service).Upstreams {
		if !u.Leaving && !w.knownDead(u.Number) {
			candidates = append(candidates, placement.Candidate{Number: u.Number, Weight: u.Policy.Weight})
		}
	}
	return candidates
}

func (w *simulation) firstRank(tree *settings.Tree, f *flow) uint32 {
	var buffer [64]uint32
	ranks := placement.Rank(buffer[:0], f.id, "", w.staying(tree, f.service))
	if len(ranks) == 0 {
		return 0
	}
	return ranks[0]
}
