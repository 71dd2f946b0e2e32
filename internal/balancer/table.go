package balancer

import (
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// progress counts the packets between the balancer and one agent.
type progress struct {
	forwarded atomic.Uint64
	returned  atomic.Uint64
}

// agent is where the packets for one upstream go.
type agent struct {
	server  uint32
	service uint32
	address netip.AddrPort
	udp     *net.UDPAddr
	peer    string
	// progress is shared by all tables that hold the agent at the same address.
	progress *progress
	gone     bool
	// removed is when the settings stopped naming the upstream; zero while they do.
	removed time.Duration
}

// serviceTable holds the upstreams of one service.
type serviceTable struct {
	number uint32
	// candidates are the upstreams that the settings name, for the ranks of new flows.
	candidates []placement.Candidate
	// known are the candidates and the upstreams removed lately, for flows without an owner hint.
	known []placement.Candidate
	// agents holds the candidates and the upstreams removed lately by number.
	agents map[uint32]*agent
}

// table is an immutable set of routes for one revision and one state of the agents.
type table struct {
	revision uint64
	services map[uint32]*serviceTable
	// sources finds the agent that a returned datagram comes from.
	sources map[netip.AddrPort]*agent
	agents  []*agent
}

// emptyTable routes nothing.
func emptyTable() *table {
	return &table{services: map[uint32]*serviceTable{}, sources: map[netip.AddrPort]*agent{}}
}

// tableBuilder makes a table from a tree, the table before it and the health of the agents.
type tableBuilder struct {
	now       time.Duration
	previous  *table
	health    func(server uint32) placement.Health
	retention time.Duration
	table     *table
}

func buildTable(now time.Duration, tree *settings.Tree, previous *table, health func(uint32) placement.Health, retention time.Duration) *table {
	b := &tableBuilder{now: now, previous: previous, health: health, retention: retention, table: emptyTable()}
	b.table.revision = tree.Revision
	for i := range tree.Services {
		b.addService(&tree.Services[i])
	}
	for i := range tree.Services {
		for j := range tree.Services[i].Removed {
			upstream := &tree.Services[i].Removed[j]
			b.addRemoved(&tree.Services[i], upstream)
		}
	}
	b.keepRemoved()
	return b.table
}

func (b *tableBuilder) addService(service *settings.Service) {
	s := &serviceTable{number: service.Number, agents: map[uint32]*agent{}}
	b.table.services[service.Number] = s
	for i := range service.Upstreams {
		upstream := &service.Upstreams[i]
		health := b.health(upstream.Number)
		s.candidates = append(s.candidates, placement.Candidate{
			Number:  upstream.Number,
			Place:   upstream.Place,
			Weight:  upstream.Policy.Weight,
			Leaving: upstream.Leaving || health != placement.HealthLive,
		})
		b.add(s, upstream, health)
	}
	s.known = slices.Clone(s.candidates)
}

func (b *tableBuilder) add(s *serviceTable, upstream *settings.Upstream, health placement.Health) *agent {
	a := &agent{
		server:   upstream.Number,
		service:  s.number,
		address:  upstream.Agent,
		udp:      net.UDPAddrFromAddrPort(upstream.Agent),
		peer:     upstream.Peer.String(),
		progress: b.progress(upstream.Number, upstream.Agent),
		gone:     health == placement.HealthGone,
	}
	s.agents[a.server] = a
	b.table.sources[a.address] = a
	b.table.agents = append(b.table.agents, a)
	return a
}

// progress keeps the counts of an agent that stays at its address.
func (b *tableBuilder) progress(server uint32, address netip.AddrPort) *progress {
	if before := b.previous.sources[address]; before != nil && before.server == server {
		return before.progress
	}
	return &progress{}
}

func (b *tableBuilder) addRemoved(service *settings.Service, upstream *settings.Upstream) {
	s := b.table.services[service.Number]
	if b.taken(s, upstream.Number, upstream.Agent) {
		return
	}
	b.retain(s, upstream, b.now)
}

// keepRemoved carries over the agents that the settings no longer name, for a bounded time and while
// they live.
func (b *tableBuilder) keepRemoved() {
	for _, before := range b.previous.agents {
		s := b.table.services[before.service]
		if s == nil || b.taken(s, before.server, before.address) {
			continue
		}
		if b.health(before.server) == placement.HealthGone {
			continue
		}
		since := before.removed
		if since == 0 {
			since = b.now
		}
		if b.now-since > b.retention {
			continue
		}
		b.retain(s, &settings.Upstream{Number: before.server, Agent: before.address}, since)
	}
}

// taken reports whether the number is in use or the address now belongs to another upstream.
func (b *tableBuilder) taken(s *serviceTable, server uint32, address netip.AddrPort) bool {
	return s.agents[server] != nil || b.table.sources[address] != nil
}

func (b *tableBuilder) retain(s *serviceTable, upstream *settings.Upstream, since time.Duration) {
	a := b.add(s, upstream, b.health(upstream.Number))
	a.removed = max(since, 1)
	s.known = append(s.known, placement.Candidate{Number: upstream.Number, Weight: 1, Leaving: true})
}
