package routing

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
)

// Progress counts the packets between the balancer and one agent.
type Progress struct {
	Forwarded atomic.Uint64
	Returned  atomic.Uint64
	// ReportedSilent is when a peer last said that it misses the agent, as time since the start.
	ReportedSilent atomic.Int64
}

// Agent is where the packets for one upstream go.
type Agent struct {
	Server  uint32
	Service uint32
	// Place is the availability zone of the agent.
	Place   string
	Address netip.AddrPort
	// UDP is Address in the form that a socket takes.
	UDP *net.UDPAddr
	// Peer is where the agent serves its peers; it may not be valid.
	Peer netip.AddrPort
	// Progress is shared by all tables that hold the agent at the same address.
	Progress *Progress
	gone     bool
	refused  bool
	// removed is when the settings stopped naming the upstream; zero while they do.
	removed time.Duration
}

// Service holds the upstreams of one service.
type Service struct {
	// Number identifies the service.
	Number uint32
	// candidates are the upstreams that the settings name, for the ranks of new flows.
	candidates []placement.Candidate
	// known are the candidates and the upstreams removed lately, for flows without an owner hint.
	known []placement.Candidate
	// agents holds the candidates and the upstreams removed lately by number.
	agents map[uint32]*Agent
}

// Table is an immutable set of routes for one revision and one state of the agents.
type Table struct {
	Revision uint64
	services map[uint32]*Service
	sources  map[netip.AddrPort]*Agent
	agents   []*Agent
}

// Empty returns a table that routes nothing.
func Empty() *Table {
	return &Table{services: map[uint32]*Service{}, sources: map[netip.AddrPort]*Agent{}}
}

// Service returns the service with the given number, or nil.
func (t *Table) Service(number uint32) *Service {
	return t.services[number]
}

// AgentByAddress returns the agent that sends from an address, or nil.
func (t *Table) AgentByAddress(address netip.AddrPort) *Agent {
	return t.sources[address]
}

// Peer returns another agent of the service of an agent by its number, or nil.
func (t *Table) Peer(agent *Agent, server uint32) *Agent {
	service := t.services[agent.Service]
	if service == nil || server == agent.Server {
		return nil
	}
	return service.agents[server]
}

// Agents returns all agents, those of upstreams removed lately included.
func (t *Table) Agents() []*Agent {
	return t.agents
}
