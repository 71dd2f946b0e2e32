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
	// ReportedSilent is when a peer of the agent last reported it silent, as the time since the start of
	// the balancer.
	ReportedSilent atomic.Int64
}

// Agent is the destination of packets for one upstream.
type Agent struct {
	Server  uint32
	Service uint32
	// Place is the availability zone of the agent.
	Place   string
	Address netip.AddrPort
	// UDP is Address in the form that the UDP socket needs, converted once.
	UDP *net.UDPAddr
	// Peer is the address where the agent serves its peers. It may be invalid.
	Peer netip.AddrPort
	// Progress is shared by all tables that hold the same agent at the same address.
	Progress *Progress
	// gone and refused are set if the balancer found the agent so when the table was built.
	gone    bool
	refused bool
	// removedAt is when the upstream was removed from the settings tree. It is zero while the tree
	// contains it.
	removedAt time.Duration
}

// Service holds the upstreams of one service.
type Service struct {
	Number uint32
	// candidates are the upstreams in the settings tree. New flows are ranked over them.
	candidates []placement.Candidate
	// withRemoved are the candidates and the recently removed upstreams. A packet that names no owner
	// is passed along them in a search.
	withRemoved []placement.Candidate
	// agents holds the agents of withRemoved by upstream number.
	agents map[uint32]*Agent
}

// Table is an immutable routing table for one revision of the settings tree and one state of the
// agents' health.
type Table struct {
	Revision  uint64
	services  map[uint32]*Service
	byAddress map[netip.AddrPort]*Agent
	agents    []*Agent
}

// Empty returns a table without routes.
func Empty() *Table {
	return &Table{services: map[uint32]*Service{}, byAddress: map[netip.AddrPort]*Agent{}}
}

// Service returns the service with the given number, or nil.
func (t *Table) Service(number uint32) *Service {
	return t.services[number]
}

// AgentByAddress returns the agent with the given source address, or nil.
func (t *Table) AgentByAddress(address netip.AddrPort) *Agent {
	return t.byAddress[address]
}

// Peer returns another agent of the same service by its number, or nil.
func (t *Table) Peer(agent *Agent, server uint32) *Agent {
	service := t.services[agent.Service]
	if service == nil || server == agent.Server {
		return nil
	}
	return service.agents[server]
}

// Agents returns all agents, including those of recently removed upstreams.
func (t *Table) Agents() []*Agent {
	return t.agents
}
