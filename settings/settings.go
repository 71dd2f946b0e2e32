// Package settings parses and validates the settings tree that operators publish.
//
// A policy can be set at the root, for a service, for a place, for a service at a place, and for an
// upstream. Each level inherits from the one before it in this order and overrides only the fields
// that it sets. Parse checks the whole tree; a tree with any finding is rejected.
package settings

import (
	"net/netip"
	"time"
)

// Policy holds the values that any level of the tree can override.
type Policy struct {
	// Slots is the maximum number of requests that an upstream runs concurrently.
	Slots int
	// Weight is the share of new flows that an upstream gets, relative to the other upstreams of its service.
	Weight float64
	// QueueLength is the maximum number of requests that wait for a slot at an agent.
	QueueLength int
	// FlowSlack is ε in hashing with bounded loads: an agent passes a new flow to another
	// agent if its own load exceeds (1+ε) times the mean.
	FlowSlack float64
	// SlowStart is the time over which the weight and slots of a new upstream grow to their full values.
	SlowStart time.Duration
	// DeadAfter is how long a process may go without being heard from before it gets no new work.
	DeadAfter time.Duration
	// ResetAfter is how long an agent may go without being heard from before its flows are reset.
	ResetAfter time.Duration
	// FeedHeartbeat is the interval between heartbeats on a feed, and thus the longest time that a
	// healthy feed is silent. Agents also use it as the keep-alive period of QUIC connections.
	FeedHeartbeat time.Duration
	// FeedTimeout is how long a feed may go without an event or heartbeat before it is reopened. Agents
	// derive the idle timeout of QUIC connections from it.
	FeedTimeout time.Duration
	// TicketLifetime is how long an unused ticket stays valid.
	TicketLifetime time.Duration
	// RecordLifetime is how long an answer is kept, so that it can be replayed to a repeated request.
	RecordLifetime time.Duration
	// RecordBytes limits the memory that an agent uses for kept answers, in bytes.
	RecordBytes int
	// RetryBudget is the number of retries that each successful request allows, as a fraction.
	RetryBudget float64
	// RetryAfter is the mean of the delays that refused callers are told to wait before a retry.
	RetryAfter time.Duration
	// DrainTimeout is the maximum duration of a drain before a planned stop.
	DrainTimeout time.Duration
}

// DefaultPolicy returns the policy that applies where no level of the tree overrides it.
func DefaultPolicy() Policy {
	return Policy{
		Slots:          5,
		Weight:         1,
		QueueLength:    64,
		FlowSlack:      0.02,
		SlowStart:      5 * time.Second,
		DeadAfter:      2 * time.Second,
		ResetAfter:     15 * time.Second,
		FeedHeartbeat:  time.Second,
		FeedTimeout:    4 * time.Second,
		TicketLifetime: 10 * time.Minute,
		RecordLifetime: 10 * time.Minute,
		RecordBytes:    8 << 20,
		RetryBudget:    0.1,
		RetryAfter:     200 * time.Millisecond,
		DrainTimeout:   30 * time.Second,
	}
}

// Upstream is one server of a service.
type Upstream struct {
	Name  string
	Place string
	// Number is unique among all upstreams of the tree and identifies the owner of a flow.
	Number uint32
	// AgentAddress is the address at which the upstream's agent receives datagrams from balancers.
	AgentAddress netip.AddrPort
	// PeerAddress is the address at which the agent serves PeerService.
	PeerAddress netip.AddrPort
	// URL is the base URL at which the agent reaches the upstream.
	URL string
	// Leaving is set if the upstream gets no new work.
	Leaving bool
	Policy  Policy
}

// Service is a virtual address that callers connect to, and the upstreams behind it.
type Service struct {
	Name    string
	Number  uint32
	Address netip.AddrPort
	// Upstreams are sorted by number.
	Upstreams []Upstream
	// Removed are upstreams of earlier revisions, kept so that packets of their established flows can
	// still be routed.
	Removed []Upstream
	Policy  Policy
}

// Tree is a valid settings tree of one revision.
type Tree struct {
	Revision uint64
	Firm     string
	// Places are sorted by name.
	Places []string
	// Services are sorted by number.
	Services []Service
	Policy   Policy
}

// Service returns the service with the given number, or nil.
func (t *Tree) Service(number uint32) *Service {
	for i := range t.Services {
		if t.Services[i].Number == number {
			return &t.Services[i]
		}
	}
	return nil
}

// ServiceByName returns the service with the given name, or nil.
func (t *Tree) ServiceByName(name string) *Service {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}

// Upstream returns the upstream with the given number, or nil.
func (s *Service) Upstream(number uint32) *Upstream {
	for i := range s.Upstreams {
		if s.Upstreams[i].Number == number {
			return &s.Upstreams[i]
		}
	}
	return nil
}
