// Package settings holds the typed form of the tree of settings that operators publish.
//
// A tree has the levels root, firm, place, service and upstream. Each level inherits the policy of
// the level above and overrides only the fields that differ. Parse checks a tree as a whole: a tree
// with findings is never used.
package settings

import (
	"net/netip"
	"time"
)

// Policy holds the values that every level of the tree may override.
type Policy struct {
	// Slots is how many requests an upstream runs at once.
	Slots int
	// Weight is the share of flows of an upstream relative to its peers.
	Weight float64
	// QueueLength is how many requests may wait for a slot at an agent.
	QueueLength int
	// FlowSlack is ε of the bounded load: an agent passes a new flow on above (1+ε) times the mean.
	FlowSlack float64
	// SlowStart is the time over which the weight of a new upstream grows to its full value.
	SlowStart time.Duration
	// DeadAfter is the silence after which a process gets no new work.
	DeadAfter time.Duration
	// ResetAfter is the silence after which the flows of an agent are reset.
	ResetAfter time.Duration
	// FeedHeartbeat is the longest silence of a feed that has nothing to say.
	FeedHeartbeat time.Duration
	// FeedTimeout is the silence after which a feed is replaced.
	FeedTimeout time.Duration
	// TicketLifetime is how long an unused ticket stays valid.
	TicketLifetime time.Duration
	// RecordLifetime is how long an answer is kept for repeats.
	RecordLifetime time.Duration
	// RecordBytes bounds the memory for kept answers of one agent, in bytes.
	RecordBytes int
	// RetryBudget is the share of successful requests that may be added as retries.
	RetryBudget float64
	// RetryAfter is the mean time after which a refused caller is told to come back.
	RetryAfter time.Duration
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration
}

// DefaultPolicy returns the policy at the root of a tree that overrides nothing.
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
	// Number is unique among all upstreams of the tree and names the owner of a flow.
	Number uint32
	// AgentAddress is where the agent beside the upstream receives datagrams from balancers.
	AgentAddress netip.AddrPort
	// PeerAddress is where the agent serves PeerService.
	PeerAddress netip.AddrPort
	// URL is where the agent reaches the upstream.
	URL string
	// Leaving excludes the upstream from new work.
	Leaving bool
	Policy  Policy
}

// Service is one address that callers reach, and the upstreams behind it.
type Service struct {
	Name    string
	Number  uint32
	Address netip.AddrPort
	// Upstreams are sorted by number.
	Upstreams []Upstream
	// Removed are upstreams that an earlier revision named, kept for the look-up of established flows.
	Removed []Upstream
	Policy  Policy
}

// Tree is a checked tree of settings in force at one revision.
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
