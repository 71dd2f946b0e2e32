package routing

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// Builder makes each table from the one before it.
type Builder struct {
	// Health is what is known of an agent first hand.
	Health func(server uint32) placement.Health
	// Refused reports whether an agent is gone because its address refuses connections.
	Refused func(server uint32) bool
	// Retention is how long an upstream that the settings no longer name stays known for its open
	// flows. Long values cost memory for each upstream.
	Retention time.Duration
}

// build is the making of one table.
type build struct {
	*Builder
	now      time.Duration
	previous *Table
	table    *Table
}

// Build returns the table of a tree.
func (b *Builder) Build(now time.Duration, tree *settings.Tree, previous *Table) *Table {
	c := &build{Builder: b, now: now, previous: previous, table: Empty()}
	c.table.Revision = tree.Revision
	c.table.sources = make(map[netip.AddrPort]*Agent, len(previous.agents))
	c.table.agents = make([]*Agent, 0, len(previous.agents))
	for i := range tree.Services {
		c.addService(&tree.Services[i])
	}
	for i := range tree.Services {
		c.addRemoved(&tree.Services[i])
	}
	c.keepRemoved()
	return c.table
}

func (b *build) addService(service *settings.Service) {
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
	s.known = slices.Clip(s.candidates)
}

func (b *build) add(s *Service, upstream *settings.Upstream, health placement.Health) *Agent {
	a := &Agent{
		Server:  upstream.Number,
		Service: s.Number,
		Place:   upstream.Place,
		Address: upstream.AgentAddress,
		Peer:    upstream.PeerAddress,
		gone:    health == placement.HealthGone,
		refused: health == placement.HealthGone && b.Refused(upstream.Number),
	}
	b.keep(a)
	s.agents[a.Server] = a
	b.table.sources[a.Address] = a
	b.table.agents = append(b.table.agents, a)
	return a
}

// keep takes over the address and the counts of an agent that stays where it was.
func (b *build) keep(a *Agent) {
	if before := b.previous.sources[a.Address]; before != nil && before.Server == a.Server {
		a.UDP, a.Progress = before.UDP, before.Progress
		return
	}
	a.UDP, a.Progress = net.UDPAddrFromAddrPort(a.Address), &Progress{}
}

// addRemoved adds the upstreams that an earlier revision named.
func (b *build) addRemoved(service *settings.Service) {
	s := b.table.services[service.Number]
	for i := range service.Removed {
		upstream := &service.Removed[i]
		if !b.taken(s, upstream.Number, upstream.AgentAddress) {
			b.retain(s, upstream, b.now)
		}
	}
}

// keepRemoved carries over the agents that the settings no longer name, for a bounded time and while
// they live.
func (b *build) keepRemoved() {
	for _, before := range b.previous.agents {
		s := b.table.services[before.Service]
		if s == nil || b.taken(s, before.Server, before.Address) {
			continue
		}
		since := before.removed
		if since == 0 {
			since = b.now
		}
		if b.now-since > b.Retention || b.Health(before.Server) == placement.HealthGone {
			continue
		}
		b.retain(s, before.upstream(), since)
	}
}

// upstream returns what a table needs to know of an upstream that the settings no longer name.
func (a *Agent) upstream() *settings.Upstream {
	return &settings.Upstream{Number: a.Server, Place: a.Place, AgentAddress: a.Address, PeerAddress: a.Peer}
}

// taken reports whether the number is in use or the address now belongs to another upstream.
func (b *build) taken(s *Service, server uint32, address netip.AddrPort) bool {
	return s.agents[server] != nil || b.table.sources[address] != nil
}

func (b *build) retain(s *Service, upstream *settings.Upstream, since time.Duration) {
	a := b.add(s, upstream, b.Health(upstream.Number))
	a.removed = max(since, 1)
	s.known = append(s.known, placement.Candidate{Number: upstream.Number, Weight: 1, Leaving: true})
}
