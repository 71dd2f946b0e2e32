package flowtrace

import (
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// policy selects the upstream for each packet of a flow.
type policy interface {
	name() string
	// pinned reports whether the fabric sends all packets of a flow to one balancer, as long as the set of balancers
	// stays the same. Otherwise it sends each packet to a random one.
	pinned() bool
	send(sim *simulation, b *balancer, f *flow) verdict
}

// ownerRouting is the policy of the product: established flows follow the owner that their connection ID encodes.
type ownerRouting struct{}

func (ownerRouting) name() string { return "bramleyrack" }

func (ownerRouting) pinned() bool { return false }

func (ownerRouting) send(sim *simulation, b *balancer, f *flow) verdict { return sim.forward(b, f) }

// plainRendezvous sends every packet to the upstream that currently ranks first. No packet is passed on.
type plainRendezvous struct{}

func (plainRendezvous) name() string { return "rendezvous" }

func (plainRendezvous) pinned() bool { return false }

func (plainRendezvous) send(sim *simulation, b *balancer, f *flow) verdict {
	return sim.sendDirect(b, f, sim.highestRanked(b.tree, f))
}

// flowTable stores in each balancer the upstream that ranked first when the first packet of a flow arrived.
type flowTable struct{}

func (flowTable) name() string { return "flow table" }

func (flowTable) pinned() bool { return true }

func (flowTable) send(sim *simulation, b *balancer, f *flow) verdict {
	server, ok := b.flows[f.id]
	if !ok || f.owner == nil && sim.knownDead(server) {
		server = sim.highestRanked(b.tree, f)
	}
	b.flows[f.id] = server
	return sim.sendDirect(b, f, server)
}

// randomChoice stores in each balancer a randomly chosen upstream for each flow.
type randomChoice struct{}

func (randomChoice) name() string { return "random" }

func (randomChoice) pinned() bool { return true }

func (randomChoice) send(sim *simulation, b *balancer, f *flow) verdict {
	server, ok := b.flows[f.id]
	if !ok || f.owner == nil && sim.knownDead(server) {
		choices := sim.eligible(b.tree, f.service)
		if len(choices) == 0 {
			return verdict{}
		}
		server = choices[sim.rnd.Intn(len(choices))].Number
	}
	b.flows[f.id] = server
	return sim.sendDirect(b, f, server)
}

// sendDirect sends a packet to a server, which resets an established flow that it does not own.
func (sim *simulation) sendDirect(b *balancer, f *flow, server uint32) verdict {
	a := sim.agentOf(server)
	if a == nil || !a.running(sim.now) || !sim.reachable(b.place, a.upstream.Place) {
		return verdict{}
	}
	if f.owner != nil && f.owner != a {
		return verdict{outcome: outcomeReset, agent: a}
	}
	return verdict{outcome: outcomeAccepted, agent: a}
}

// healthCheckDelay is the time that the health check of the baselines takes to detect a dead upstream.
const healthCheckDelay = 2 * time.Second

func (sim *simulation) knownDead(server uint32) bool {
	return sim.agentOf(server) == nil && !sim.diedRecently(server)
}

func (sim *simulation) diedRecently(server uint32) bool {
	for _, a := range sim.agents {
		if a.upstream.Number == server && a.dead && sim.now-a.diedAt < healthCheckDelay {
			return true
		}
	}
	return false
}

func (sim *simulation) eligible(tree *settings.Tree, service uint32) []placement.Candidate {
	var candidates []placement.Candidate
	for _, u := range tree.Service(service).Upstreams {
		if !u.Leaving && !sim.knownDead(u.Number) {
			candidates = append(candidates, placement.Candidate{Number: u.Number, Weight: u.Policy.Weight})
		}
	}
	return candidates
}

func (sim *simulation) highestRanked(tree *settings.Tree, f *flow) uint32 {
	var buffer [64]uint32
	ranks := placement.Rank(buffer[:0], f.id, "", sim.eligible(tree, f.service))
	if len(ranks) == 0 {
		return 0
	}
	return ranks[0]
}
