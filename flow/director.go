package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// DirectorConfig holds the limits of a Director.
type DirectorConfig struct {
	// Place is the availability zone of the balancer. Its upstreams come first as long as they have room.
	Place string
	// MaxFlows bounds the hints of owners. One takes about 150 bytes; a lost one costs a search.
	MaxFlows int
	// IdleTimeout is how long the hint of a silent flow is kept.
	IdleTimeout time.Duration
	// HedgeAfter is how long an agent may leave an opening packet without an answer before the next agent
	// gets it as well. It must exceed a round trip; a long one shows in the latency of clients.
	HedgeAfter time.Duration
	// MaxHedges bounds how often one opening packet is sent again.
	MaxHedges int
	// MaxAlternatives bounds the agents that a new flow may be passed on to. Many find a free slot also when few
	// servers have one; each costs a pass. MinElsewhere of them are in other places, if there are any, for the case
	// that the own place is full.
	MaxAlternatives, MinRemote int
	// HeartbeatInterval is the time between two heartbeats to an agent, FarInterval that to one in another place,
	// and RetryInterval that to one that does not answer. Short ones find dead agents sooner; traffic between places is
	// dear.
	HeartbeatInterval, RemoteInterval, RetryInterval time.Duration
	// MaxHeartbeats bounds the heartbeats in one second to all agents together.
	MaxHeartbeats int
	// UnresponsiveAfter is how long an agent may leave a heartbeat without an answer until new flows avoid it.
	UnresponsiveAfter time.Duration
	// StatusTTL is how long the word of an agent counts for more than the entries of the store.
	StatusTTL time.Duration
	// Registry says when a missing entry proves that its server is gone.
	Registry registry.Config
	// MaxLag bounds how late the view learns of a new run of a server.
	MaxLag time.Duration
	// MaxViewAge is the age up to which the view may refuse a client.
	MaxViewAge time.Duration
	// ChainLength is how many agents a packet of a search visits one after the other. Short chains end sooner;
	// long ones spare the agents behind the owner.
	ChainLength int
	// SearchTimeout is how long the packets of a flow wait for the search for its owner.
	SearchTimeout time.Duration
	// ResumeTimeout is how long a search that proved nothing waits for what it lacked.
	ResumeTimeout time.Duration
	// MaxSearches bounds the searches under way.
	MaxSearches int
}

// DefaultDirectorConfig returns the limits of a balancer in a place.
func DefaultDirectorConfig(place string) DirectorConfig {
	return DirectorConfig{
		Place:             place,
		MaxFlows:          1 << 16,
		IdleTimeout:       15 * time.Second,
		HedgeAfter:        40 * time.Millisecond,
		MaxHedges:         3,
		MaxAlternatives:   7,
		MinRemote:         3,
		HeartbeatInterval: 300 * time.Millisecond,
		RemoteInterval:    time.Second,
		RetryInterval:     100 * time.Millisecond,
		MaxHeartbeats:     100,
		UnresponsiveAfter: 100 * time.Millisecond,
		StatusTTL:         500 * time.Millisecond,
		Registry:          registry.DefaultConfig(0),
		MaxLag:            2200 * time.Millisecond,
		MaxViewAge:        3 * time.Second,
		ChainLength:       8,
		SearchTimeout:     150 * time.Millisecond,
		ResumeTimeout:     500 * time.Millisecond,
		MaxSearches:       4096,
	}
}

// Purpose is what an agent is asked to do with a packet.
type Purpose uint8

// The purposes of a forwarded packet.
const (
	// Open asks to take a new flow or to pass it on.
	Open Purpose = iota + 1
	// Deliver asks to hand over a packet of a flow that the server is known to hold.
	Deliver
	// Search asks to hand over a packet if the server holds the flow, or to pass it on.
	Search
)

// Action is what a process does with a packet.
type Action uint8

// The actions of balancers and agents.
const (
	// Drop does nothing.
	Drop Action = iota
	// Forward sends the packet to an agent.
	Forward
	// ToServer hands the packet to the server.
	ToServer
	// ToClient sends the packet to the client.
	ToClient
	// Return hands the packet back to the balancer.
	Return
	// Reset tells the client that the flow does not exist.
	Reset
)

var actionNames = [...]string{"drop", "forward", "to_server", "to_client", "return", "reset"}

// String returns the name of the action in logs and counters.
func (a Action) String() string {
	return actionNames[a]
}

// Decision is an action with what it needs, and the reason for the log.
type Decision struct {
	Action Action
	// To is the agent of a forwarded packet, or the balancer of a returned one.
	To IP
	// Request is what the agent is told, for a forwarded packet.
	Request Request
	// Branches holds further agents that get the same packet.
	Branches []Branch
	// Seq is the number that a reset carries.
	Seq    uint32
	Reason string
}

// Branch is one more agent that a packet is sent to.
type Branch struct {
	To      IP
	Request Request
}

// Request is what an agent is told of a packet. Its lists are valid until the next call.
type Request struct {
	Purpose Purpose
	// Service is the hash of the name of the service.
	Service uint64
	// Version is that of the configuration that the sender went by.
	Version uint64
	// Remaining are the agents to try next, in order.
	Remaining []IP
	// Best is the best offer of the agents before this one. Final says that nobody has a free slot, so that this
	// agent, which made it, takes the flow nevertheless.
	Best  Offer
	Final bool
	// Search is the number of the search that the packet belongs to. The last agent of its list reports a denial
	// under that number. Changed is the revision of the last change that the searching view knows.
	Search  uint64
	Changed uint64
	// Balancer took the packet from the client.
	Balancer IP
}

// Offer is what an agent without a free slot says of a new flow. The zero value is none.
type Offer struct {
	Agent IP
	// Wait is how long the answer is expected to take.
	Wait time.Duration
	// Suspect says that the server fails more of its requests than its peers.
	Suspect bool
}

// within reports whether an answer is offered within a limit.
func (o *Offer) within(limit time.Duration) bool {
	return o.Agent != IP{} && o.Wait <= limit
}

// better reports whether an offer is to be preferred to another one.
func (o *Offer) better(other *Offer, limit time.Duration) bool {
	switch {
	case o.within(limit) != other.within(limit):
		return o.within(limit)
	case other.Agent == IP{} || o.Suspect != other.Suspect:
		return other.Agent == IP{} || other.Suspect
	}
	return o.Wait < other.Wait
}

// Director decides for one balancer. It is not safe for concurrent use.
type Director struct {
	config   DirectorConfig
	view     *registry.View
	services map[string]*service
	byHash   map[uint64]*service
	routes   map[Endpoint]*route
	agents   map[IP]*agent
	order    []*agent
	hints    hints
	openings openings
	searches searches
	ranks    []uint32
	list     []IP
	// heartbeat is the position in order of the next agent to look at.
	heartbeat int
	budget    float64
	ticked    time.Duration
	started   time.Duration
}

// NewDirector returns a Director without a view, which drops every packet.
func NewDirector(config DirectorConfig, now time.Duration) *Director {
	return &Director{
		config:   config,
		services: map[string]*service{},
		routes:   map[Endpoint]*route{},
		agents:   map[IP]*agent{},
		hints:    newHints(config.MaxFlows, config.IdleTimeout),
		openings: newOpenings(config),
		searches: newSearches(config),
		budget:   heartbeatBurst,
		started:  now,
		ticked:   now,
	}
}

// FromClient decides on the packet of a client. The raw packet is kept, for a while, if it opens a flow.
func (d *Director) FromClient(now time.Duration, p *Packet, raw []byte) Decision {
	switch {
	case d.view == nil:
		return Decision{Reason: "no view yet"}
	case p.Kind == Opening:
		return d.open(now, p, raw)
	}
	if h := d.hints.get(now, p.Key); h != nil {
		return d.known(now, p, raw, h)
	}
	return d.search(now, p, raw, IP{})
}

// open places a new flow.
func (d *Director) open(now time.Duration, p *Packet, raw []byte) Decision {
	r := d.routes[p.Key.Service]
	if r == nil {
		return d.refuse(now, p, "no route")
	}
	s := r.pick(p.Key)
	list := d.choose(now, s, p)
	if len(list) == 0 {
		return d.refuse(now, p, "no upstream takes new flows")
	}
	d.openings.add(now, p, raw, s, list)
	return d.forwardOpening(now, s, list)
}

// forwardOpening sends an opening packet to the first agent of a list.
func (d *Director) forwardOpening(now time.Duration, s *service, list []IP) Decision {
	d.agents[list[0]].asked(now)
	d.agents[list[0]].sent++
	return Decision{Action: Forward, To: list[0], Request: Request{
		Purpose:   Open,
		Service:   s.hash,
		Version:   d.view.Version(),
		Remaining: list[1:],
	}}
}

// refuse resets a flow that is not open. Its sequence number is zero, which a client ignores if the flow
// opened meanwhile. An old view refuses nobody.
func (d *Director) refuse(now time.Duration, p *Packet, reason string) Decision {
	if now-d.view.Confirmed > d.config.MaxViewAge {
		return Decision{Reason: reason + ", and the view is old"}
	}
	return Decision{Action: Reset, Reason: reason}
}

// known forwards a packet of a flow whose owner is remembered.
func (d *Director) known(now time.Duration, p *Packet, raw []byte, h *hint) Decision {
	a := d.agents[h.owner]
	if a == nil || d.lost(now, a, h) {
		// The hint is no proof: another server may have taken a copy of the opening packet.
		d.hints.remove(p.Key)
		return d.search(now, p, raw, h.owner)
	}
	if h.used == 0 {
		h.used = now
	}
	h.proved = h.proved || a.heard > h.used+d.config.HedgeAfter
	if !h.proved && a.doubtful(now, d.config.UnresponsiveAfter) {
		return d.search(now, p, raw, IP{})
	}
	return Decision{Action: Forward, To: h.owner, Request: Request{
		Purpose: Deliver,
		Service: h.service,
		Version: d.view.Version(),
	}}
}

// lost reports whether the server of a flow is known to be gone: its address belongs to another service, or
// its agent is silent and the store names it no more or has long named a later run of it.
func (d *Director) lost(now time.Duration, a *agent, h *hint) bool {
	replaced := h.created+d.config.MaxLag < a.since
	switch {
	case a.service != h.service:
		return replaced
	case now-a.heard <= d.config.StatusTTL:
		return false
	case !a.present:
		return d.settled(now)
	}
	return replaced
}

// settled reports whether a missing entry proves that its server is gone. A view that was just read first does so
// when every agent has spoken and none knows of an interruption of the store before that.
func (d *Director) settled(now time.Duration) bool {
	switch {
	case now-d.view.Confirmed > d.config.MaxViewAge:
		return false
	case d.view.Settled(d.config.Registry):
		return true
	}
	return !d.view.Interrupted && d.everyAgentTrusts(d.view.Continuous)
}

// everyAgentTrusts reports whether every agent has spoken and none doubts what the store held at a time.
func (d *Director) everyAgentTrusts(read time.Duration) bool {
	for _, a := range d.order {
		if a.present && (a.word.Process == 0 || a.word.View.RemovalUncertain(d.config.Registry, read)) {
			return false
		}
	}
	return true
}

// resetFlow ends a flow that may be open at its client. A reset is never answered by another one.
func resetFlow(p *Packet, reason string) Decision {
	if p.Kind == Resetting {
		return Decision{Reason: reason}
	}
	return Decision{Action: Reset, Seq: p.Ack, Reason: reason}
}

// HandleReturned decides on a packet that an agent handed back, since its server does not hold the flow.
func (d *Director) HandleReturned(now time.Duration, p *Packet, raw []byte, from IP) Decision {
	if h := d.hints.get(now, p.Key); h != nil && h.owner != from {
		return d.known(now, p, raw, h)
	}
	d.hints.remove(p.Key)
	return d.search(now, p, raw, from)
}
