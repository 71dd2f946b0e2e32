package routing

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// Builder builds each table from the settings tree and the previous table.
type Builder struct {
	// Health returns the health of an agent as this balancer observed it.
	Health func(server uint32) placement.Health
	// Refused reports whether an agent is gone because its address refuses connections.
	Refused func(server uint32) bool
	// Retention is how long an upstream that was removed from the settings tree is kept for its open
	// flows. Long values cost memory for each upstream.
	Retention time.Duration
}

// tableBuild is the state of one Build call.
type tableBuild struct {
	*Builder
	now      time.Duration
	previous *Table
	table    *Table
}

// Build returns the table for a settings tree. Agents that keep their address keep their counters.
func (b *Builder) Build(now time.Duration, tree *settings.Tree, previous *Table) *Table {
	build := &tableBuild{Builder: b, now: now, previous: previous, table: Empty()}
	build.table.Revision = tree.Revision
	build.table.byAddress = make(map[netip.AddrPort]*Agent, len(previous.agents))
	build.table.agents = make([]*Agent, 0, len(previous.agents))
	for i := range tree.Services {
		build.addService(&tree.Services[i])
	}
	for i := range tree.Services {
		build.addRemoved(&tree.Services[i])
	}
	build.retainRemoved()
	return build.table
}

func (b *tableBuild) addService(service *settings.Service) {
	s := &Service{
		Number:     service.Number,
		agents:     make(map[uint32]*Agent, len(service.Upstreams)),
		candidates: make([]placement.Candidate, 0, len(service.Upstreams)),
	}
	b.table.services[service.Number] = s
	for i := range service.Upstreams {
		upstream := &service.Upstreams[i]
		health := b.Health(upstream.Number)
		s.candidates = append(s.candidates, placement.Candidate{
			Number:  upstream.Number,
			Place:   upstream.Place,
			Weight:  upstream.Policy.Weight,
			Leaving: upstream.Leaving || health != placement.HealthLive,
		})
		b.add(s, upstream, health)
	}
	s.withRemoved = slices.Clip(s.candidates)
}

func (b *tableBuild) add(s *Service, upstream *settings.Upstream, health placement.Health) *Agent {
	a := &Agent{
		Server:  upstream.Number,
		Service: s.Number,
		Place:   upstream.Place,
		Address: upstream.AgentAddress,
		Peer:    upstream.PeerAddress,
		gone:    health == placement.HealthGone,
		refused: health == placement.HealthGone && b.Refused(upstream.Number),
	}
	b.carryOver(a)
	s.agents[a.Server] = a
	b.table.byAddress[a.Address] = a
	b.table.agents = append(b.table.agents, a)
	return a
}

// carryOver takes the socket address and the counters from the previous table if the agent has the
// same number at the same address.
func (b *tableBuild) carryOver(a *Agent) {
	if before := b.previous.byAddress[a.Address]; before != nil && before.Server == a.Server {
		a.UDP, a.Progress = before.UDP, before.Progress
		return
	}
	a.UDP, a.Progress = net.UDPAddrFromAddrPort(a.Address), &Progress{}
}

// addRemoved adds the upstreams that the settings tree lists as removed since an earlier revision.
func (b *tableBuild) addRemoved(service *settings.Service) {
	s := b.table.services[service.Number]
	for i := range service.Removed {
		upstream := &service.Removed[i]
		if !b.inUse(s, upstream.Number, upstream.AgentAddress) {
			b.addRetained(s, upstream, b.now)
		}
	}
}

// retainRemoved retains agents of the previous table that the settings tree no longer contains,
// for at most Retention and until they are gone.
func (b *tableBuild) retainRemoved() {
	for _, before := range b.previous.agents {
		s := b.table.services[before.Service]
		if s == nil || b.inUse(s, before.Server, before.Address) {
			continue
		}
		since := before.removedAt
		if since == 0 {
			since = b.now
		}
		if b.now-since > b.Retention || b.Health(before.Server) == placement.HealthGone {
			continue
		}
		b.addRetained(s, before.upstream(), since)
	}
}

// upstream returns what a table needs of an upstream that the settings tree no longer contains.
func (a *Agent) upstream() *settings.Upstream {
	return &settings.Upstream{Number: a.Server, Place: a.Place, AgentAddress: a.Address, PeerAddress: a.Peer}
}

// inUse reports whether the number is in use in the service, or the address is in use by any agent.
func (b *tableBuild) inUse(s *Service, server uint32, address netip.AddrPort) bool {
	return s.agents[server] != nil || b.table.byAddress[address] != nil
}

func (b *tableBuild) addRetained(s *Service, upstream *settings.Upstream, since time.Duration) {
	a := b.add(s, upstream, b.Health(upstream.Number))
	a.removedAt = max(since, 1) // Zero means that the upstream is not removed.
	s.withRemoved = append(s.withRemoved, placement.Candidate{Number: upstream.Number, Weight: 1, Leaving: true})
}
