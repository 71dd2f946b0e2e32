package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// DirectorConfig holds the limits and time-outs of a Director.
type DirectorConfig struct {
	// Place is the availability zone of the balancer. Upstreams in this place are preferred while they have
	// capacity.
	Place string
	// MaxFlows bounds the hints. A hint takes about 150 bytes; losing one costs a search.
	MaxFlows int
	// IdleTimeout is how long the hint of an idle flow is kept at least. A configuration may state a longer time, of which
	// at most MaxFlowAge counts.
	IdleTimeout time.Duration
	// HedgeAfter is how long an agent may leave an opening packet unanswered before it is sent to the next agent as
	// well. It must exceed a round trip; a long time adds to the latency of clients.
	HedgeAfter time.Duration
	// MaxHedges bounds how often one opening packet is sent again.
	MaxHedges int
	// MaxAlternatives bounds the agents to which a new flow may be passed on. A long list finds a free slot even
	// when few servers have one, but each pass costs a hop. MinRemote of them are in other places, if there are
	// any, in case the balancer's own place is full.
	MaxAlternatives, MinRemote int
	// HeartbeatInterval is the time between two heartbeats to an agent in the same place, RemoteInterval to an agent
	// in another place, and RetryInterval to an agent that does not answer. Short intervals detect dead agents
	// sooner; traffic between places is expensive.
	HeartbeatInterval, RemoteInterval, RetryInterval time.Duration
	// MaxHeartbeats bounds the heartbeats per second to all agents together.
	MaxHeartbeats int
	// HeartbeatStart is where in the list of agents the heartbeats start. It must differ between balancers, so that a
	// change reaches every agent soon from one of them although each sends heartbeats at a limited rate.
	HeartbeatStart int
	// UnresponsiveAfter is how long an agent may leave a message unanswered before new flows avoid it.
	UnresponsiveAfter time.Duration
	// IsolatedAfter is how long no agent at all may answer before the balancer counts as isolated. A short time moves clients
	// to other balancers sooner; a longer one tolerates losses on the link.
	IsolatedAfter time.Duration
	// StatusTTL is how long an agent's latest status takes precedence over the entries of the store.
	StatusTTL time.Duration
	// Registry determines when a missing entry proves that its server is gone.
	Registry registry.Config
	// MaxViewLag bounds the delay until the view shows a new run of a server while the store answers. Since the store may
	// be silent for longer, it decides only whom to ask first, never that a flow is lost.
	MaxViewLag time.Duration
	// MaxViewAge is the maximum age of a view on which a client may be refused.
	MaxViewAge time.Duration
	// ChainLength is how many agents a packet of a search visits one after the other. Short chains finish sooner;
	// long ones send fewer messages, because the agents behind the owner are not asked.
	ChainLength int
	// LongChainLength is that number after searches have found no owner several times in a row, and while the link has little
	// capacity left for searches. The list of so many agents must fit into the header of a datagram.
	LongChainLength int
	// SearchTimeout is how long the packets of a flow wait for the first search for its owner.
	SearchTimeout time.Duration
	// ResumeTimeout is how long an inconclusive search may wait for a complete view.
	ResumeTimeout time.Duration
	// MaxSearches bounds the concurrent searches.
	MaxSearches int
	// SilenceTolerance is how long after its last status an agent may be merely suspended or cut off although the
	// store does not list its server any more. For that time the flows of routes that are not repeatable are kept,
	// since their clients could not repeat a running request. A long time lets clients of a server that is gone wait.
	SilenceTolerance time.Duration
	// MaxFlowAge is the age above which a flow need not be found again. While the routes of that period are not all
	// known, any server may hold a flow.
	MaxFlowAge time.Duration
	// MaxSearchBytes bounds the bytes per second that searches send from this balancer, as a fraction of its link. A
	// high bound finds more owners at once after a mass restart; above the capacity of the link, searches would
	// delay each other and everything else.
	MaxSearchBytes int
	// MaxWideMessages bounds the messages per second of searches that ask the agents of all services. A high bound
	// resets lost flows sooner after the loss of every process; a low one protects a large fleet from its searches.
	MaxWideMessages int
}

// DefaultDirectorConfig returns the default configuration of a balancer in a place.
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
		IsolatedAfter:     700 * time.Millisecond,
		StatusTTL:         500 * time.Millisecond,
		Registry:          registry.DefaultConfig(0),
		MaxViewLag:        2200 * time.Millisecond,
		MaxViewAge:        3 * time.Second,
		ChainLength:       8,
		LongChainLength:   48,
		SearchTimeout:     150 * time.Millisecond,
		ResumeTimeout:     500 * time.Millisecond,
		MaxSearches:       4096,
		SilenceTolerance:  10 * time.Second,
		MaxFlowAge:        time.Minute,
		MaxSearchBytes:    SearchBytes(100e6),
		MaxWideMessages:   4000,
	}
}

// searchShare is the fraction of a link that searches may fill.
const searchShare = 0.25

// SearchBytes returns the bytes per second that searches may send on a link with the given rate in bits per second.
func SearchBytes(bitsPerSecond float64) int {
	return int(searchShare * bitsPerSecond / 8)
}

// Purpose is what an agent must do with a forwarded packet.
type Purpose uint8

// The purposes of a forwarded packet.
const (
	// PurposeOpen asks the agent to take a new flow or to pass it on.
	PurposeOpen Purpose = iota + 1
	// PurposeDeliver asks the agent to forward a packet to its server, which is known to hold the flow.
	PurposeDeliver
	// PurposeSearch asks the agent to forward the packet to its server if that holds the flow, or to pass it on.
	PurposeSearch
)

// Action is what a balancer or agent does with a packet.
type Action uint8

// The actions of balancers and agents.
const (
	// Drop discards the packet.
	Drop Action = iota
	// Forward sends the packet to an agent.
	Forward
	// ToServer forwards the packet to the server.
	ToServer
	// ToClient sends the packet to the client.
	ToClient
	// Return sends the packet back to the balancer.
	Return
	// Reset sends the client a reset for the flow.
	Reset
	// Wait keeps an opening packet or a packet of a request at the agent until its server has room.
	Wait
)

var actionNames = [...]string{"drop", "forward", "to_server", "to_client", "return", "reset", "wait"}

// String returns the name of the action in logs and counters.
func (a Action) String() string {
	return actionNames[a]
}

// Decision is an action with its parameters, and the reason for the log.
type Decision struct {
	Action Action
	// To is the agent for a forwarded packet, or the balancer for a returned one.
	To IP
	// Request is sent to the agent along with a forwarded packet.
	Request Request
	// Branches holds further agents to which the same packet is sent.
	Branches []Branch
	// Seq is the sequence number of a reset.
	Seq uint32
	// Excluded is the agent that a search does not ask, if any.
	Excluded IP
	Reason   string
}

// Branch is an additional agent to which a packet is sent, and the request for it.
type Branch struct {
	To      IP
	Request Request
}

// Request is the header that accompanies a packet to an agent. Remaining is valid until the next call.
type Request struct {
	Purpose Purpose
	// Service is the hash of the service name.
	Service uint64
	// Version is the version of the configuration that the sender used.
	Version uint64
	// Remaining holds the agents to try next, in order.
	Remaining []IP
	// Best is the best offer of the agents visited before. Final is set if no agent has a free slot: the receiving
	// agent, which made the best offer, takes the flow nevertheless if it still expects to answer in time.
	Best  Offer
	Final bool
	// SearchID is the number of the search that the packet belongs to; the last agent in its list reports a denial
	// under that number. Changed is the revision of the last change in the view of the searching balancer.
	SearchID uint64
	Changed  registry.Revision
	// Wide is set in a search of all services. The agent's service is then not known to get flows of the address, so
	// the packet must not reach a server unless the agent knows that it holds the flow.
	Wide bool
	// Balancer is the balancer that received the packet from the client.
	Balancer IP
}

// Offer is the estimate of an agent without a free slot for a new flow. The zero value means no offer.
type Offer struct {
	Agent IP
	// Wait is the expected time until the answer.
	Wait time.Duration
	// Suspect is set if the server fails more of its requests than its peers.
	Suspect bool
}

// within reports whether there is an offer whose answer is expected within limit.
func (o *Offer) within(limit time.Duration) bool {
	return o.Agent != IP{} && o.Wait <= limit
}

// better reports whether the offer is preferable to another one.
func (o *Offer) better(other *Offer, limit time.Duration) bool {
	switch {
	case o.within(limit) != other.within(limit):
		return o.within(limit)
	case other.Agent == IP{} || o.Suspect != other.Suspect:
		return other.Agent == IP{} || other.Suspect
	}
	return o.Wait < other.Wait
}

// Director makes the decisions of one balancer. It is not safe for concurrent use.
type Director struct {
	config   DirectorConfig
	view     *registry.View
	services map[string]*service
	byHash   map[uint64]*service
	routes   map[Endpoint]*route
	// noticed holds the former services of addresses that reports on flows have shown.
	noticed      map[Endpoint][]noticedFormer
	agents       map[IP]*agent
	sortedAgents []*agent
	// unlisted holds the agents whose servers the view does not name.
	unlisted []*agent
	// unused holds the entries of the view that name no server to use. reassignAt is when the entries are assigned to the
	// agents again because an agent has stated another server than its entry, or zero.
	unused     []UnusedEntry
	reassignAt time.Duration
	// awaitingSince is when the first heartbeat was sent since an agent last sent its status, or zero.
	awaitingSince time.Duration
	hints         hints
	openings      openings
	searches      searches
	rankBuf       []uint32
	listBuf       []IP
	// heartbeatCursor is the index in sortedAgents of the agent examined last for a due heartbeat.
	heartbeatCursor int
	// heartbeats limits the heartbeats to all agents together.
	heartbeats tokenBucket
	// searchBytes limits the bytes that searches send, and wideMessages the messages of searches of all services.
	searchBytes, wideMessages tokenBucket
	started                   time.Duration
	// resumed is when the balancer last continued after a pause of its own, or zero.
	resumed    time.Duration
	turnedAway TurnedAway
	// stale counts the opening packets that were refused because their clients may have given up.
	stale uint64
}

// NewDirector returns a Director without a view, which drops every packet.
func NewDirector(config DirectorConfig, now time.Duration) *Director {
	return &Director{
		config:          config,
		services:        map[string]*service{},
		routes:          map[Endpoint]*route{},
		noticed:         map[Endpoint][]noticedFormer{},
		agents:          map[IP]*agent{},
		hints:           newHints(config.MaxFlows, config.IdleTimeout),
		openings:        newOpenings(config),
		searches:        newSearches(config),
		heartbeats:      tokenBucket{perSecond: float64(config.MaxHeartbeats), burst: heartbeatBurst, tokens: heartbeatBurst, refilled: now},
		started:         now,
		heartbeatCursor: config.HeartbeatStart,
		searchBytes:     newTokenBucket(now, config.MaxSearchBytes),
		wideMessages:    newTokenBucket(now, config.MaxWideMessages),
	}
}

// FromClient decides on a packet from a client. The raw packet is copied if it may have to be sent again, as that
// of a new flow or of a search.
func (d *Director) FromClient(now time.Duration, p *Packet, raw []byte) Decision {
	switch {
	case d.view == nil:
		return Decision{Reason: "no view yet"}
	case p.Kind == Opening && attemptOver(p):
		d.stale++
		return Decision{Action: Reset, Reason: attemptOverReason}
	case p.Kind == Opening:
		return d.openFlow(now, p, raw)
	}
	if h := d.hints.get(now, p.Key); h != nil {
		return d.forwardToOwner(now, p, raw, h)
	}
	return d.search(now, p, raw, clues{})
}

// openFlow selects the agents for a new flow.
func (d *Director) openFlow(now time.Duration, p *Packet, raw []byte) Decision {
	r := d.routes[p.Key.Service]
	if r == nil {
		return d.refuse(now, p, "no route")
	}
	s := r.pick(p.Key)
	list := d.selectAgents(now, s, p)
	if len(list) == 0 {
		return d.refuseUnplaced(now, p, s)
	}
	d.openings.add(now, p, raw, s, list)
	return d.forwardOpening(now, s, list)
}

// forwardOpening forwards an opening packet to the first agent in a list.
func (d *Director) forwardOpening(now time.Duration, s *service, list []IP) Decision {
	d.agents[list[0]].expectReply(now)
	d.agents[list[0]].sentFlows++
	return Decision{Action: Forward, To: list[0], Request: Request{
		Purpose:   PurposeOpen,
		Service:   s.hash,
		Version:   d.view.Version(),
		Remaining: list[1:],
	}}
}

// refuse resets a flow that is not open. The sequence number of the reset is zero, which the client ignores if the
// flow has opened in the meantime. If the view is too old, the packet is dropped instead.
func (d *Director) refuse(now time.Duration, p *Packet, reason string) Decision {
	if now-d.view.Confirmed > d.config.MaxViewAge {
		return Decision{Reason: reason + ", but the view is too old to refuse the flow"}
	}
	return Decision{Action: Reset, Reason: reason}
}

// forwardToOwner forwards a packet of a flow that has a hint.
func (d *Director) forwardToOwner(now time.Duration, p *Packet, raw []byte, h *hint) Decision {
	a := d.agents[h.owner]
	switch {
	case a == nil || a.service == h.service && d.ownerGone(now, p.Key, a):
		// A hint does not prove that the flow is lost with its owner: another server may have taken a copy of the
		// opening packet.
		d.hints.remove(p.Key)
		return d.search(now, p, raw, clues{reason: "hint names a server that is gone"})
	case a.service != h.service && h.created+d.config.MaxViewLag < a.runSince:
		d.hints.remove(p.Key)
		return d.search(now, p, raw, clues{hinted: holder{ip: h.owner, service: h.service}, reason: "another service uses the address of the hint"})
	}
	if h.firstUsed == 0 {
		h.firstUsed = now
	}
	h.confirmed = h.confirmed || a.lastHeard > h.firstUsed+d.config.HedgeAfter
	if !h.confirmed && a.unresponsive(now, d.config.UnresponsiveAfter) {
		return d.search(now, p, raw, clues{hinted: holder{ip: h.owner, service: h.service}, reason: "hint was never confirmed, and its agent does not answer"})
	}
	return Decision{Action: Forward, To: h.owner, Request: Request{
		Purpose: PurposeDeliver,
		Service: h.service,
		Version: d.view.Version(),
	}}
}

// ownerGone reports whether the owner of a flow is known to be gone: its agent is silent, and the store does not list the
// server any more. An entry of a later run proves nothing, since the view may show that run long after it has taken flows,
// for example after an outage of the store. Only the owner's agent or its server can tell which run a hint belongs to.
func (d *Director) ownerGone(now time.Duration, key Key, a *agent) bool {
	switch {
	case a.present, d.silence(now, a) <= d.config.StatusTTL, d.answers(now, a):
		return false
	case !d.repeatable(key) && d.maybeSuspended(now, a):
		return false
	}
	return d.missingMeansRemoved(now)
}

// answers reports whether an agent has answered the latest heartbeat. It then knows better than the store whether its server
// is gone: another writer may have written over the entry.
func (d *Director) answers(now time.Duration, a *agent) bool {
	return d.silence(now, a) <= d.config.RemoteInterval+d.config.UnresponsiveAfter && !a.unresponsive(now, d.config.UnresponsiveAfter)
}

// repeatable reports whether the requests of a flow may run twice.
func (d *Director) repeatable(key Key) bool {
	r := d.routes[key.Service]
	return r != nil && r.repeatable
}

// maybeSuspended reports whether an agent whose server is missing in the store may continue: the server was not
// draining, so it may have been removed only because its VM was suspended or cut off.
func (d *Director) maybeSuspended(now time.Duration, a *agent) bool {
	return !a.present && !a.draining && a.lastHeard > 0 && now-a.lastHeard <= d.config.SilenceTolerance
}

// missingMeansRemoved reports whether a missing entry proves that its server is gone. Shortly after the view was
// first read, this requires that every agent has sent its status and that none knows of an earlier interruption of
// the store.
func (d *Director) missingMeansRemoved(now time.Duration) bool {
	switch {
	case now-d.view.Confirmed > d.config.MaxViewAge:
		return false
	case d.view.MissingMeansRemoved(d.config.Registry):
		return true
	}
	return !d.view.Interrupted && d.allAgentsConfirm(d.view.ContinuousSince)
}

// allAgentsConfirm reports whether every agent has sent its status and none has a view that leaves a removal
// uncertain. For read, see registry.Freshness.RemovalUncertain.
func (d *Director) allAgentsConfirm(read time.Duration) bool {
	for _, a := range d.sortedAgents {
		if a.present && (a.status.process == 0 || a.status.view.RemovalUncertain(d.config.Registry, read)) {
			return false
		}
	}
	return true
}

// resetFlow resets a flow that may be open at its client. A reset packet is never answered by another reset.
func resetFlow(p *Packet, reason string) Decision {
	if p.Kind == Resetting {
		return Decision{Reason: reason}
	}
	return Decision{Action: Reset, Seq: p.Ack, Reason: reason}
}

// HandleReturned decides on a packet that an agent sent back because its server does not hold the flow, or because the server
// has not answered, in which case it may hold the flow.
func (d *Director) HandleReturned(now time.Duration, p *Packet, raw []byte, from IP, unanswered bool) Decision {
	h := d.hints.get(now, p.Key)
	if h != nil && h.owner != from {
		return d.forwardToOwner(now, p, raw, h)
	}
	d.hints.remove(p.Key)
	if !unanswered {
		return d.search(now, p, raw, clues{excluded: from, reason: "agent returned the packet"})
	}
	known := clues{reason: "server of the hint does not answer"}
	if h != nil {
		known.hinted = holder{ip: from, service: h.service}
	}
	return d.search(now, p, raw, known)
}
