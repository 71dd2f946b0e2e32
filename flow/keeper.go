package flow

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bramleyrack/bramleyrack/registry"
)

// TrackerConfig holds the limits of a Keeper.
type TrackerConfig struct {
	// Service is the name of the server's service, and Address where it receives packets.
	Service string
	Address Endpoint
	// MaxFlows bounds the flows remembered. One takes about 250 bytes; a forgotten one is asked for anew.
	MaxFlows int
	// IdleTimeout is how long a silent flow is remembered. An agent that has run for longer knows every flow
	// of its server.
	IdleTimeout time.Duration
	// AnswerTimeout is the time in which a server answers an opening packet.
	AnswerTimeout time.Duration
	// MaxUnanswered is how many opening packets in a row may stay without an answer before new flows are
	// passed on.
	MaxUnanswered int
	// TrialInterval is the time between two new flows that a silent server is tried with.
	TrialInterval time.Duration
	// DenyAfter is how long a server may say nothing after it was given a packet that is searched for, until it
	// counts as one that does not hold the flow.
	DenyAfter time.Duration
	// SilentAfter is how long a server may say nothing at all while it is given packets, SilentPackets at least,
	// until its flows count as lost. A server that works acknowledges every second packet at once.
	SilentAfter   time.Duration
	SilentPackets int
	// MinChecks is how often the agent must have looked for an answer in these times, so that a pause of its own is not
	// taken for one of the server.
	MinChecks int
	// RequestTimeout is how long a request without an answer counts as running.
	RequestTimeout time.Duration
	// SlowTrialInterval is the time between two new flows that a server is tried with which would be too slow by its
	// measured service time. A short one finds out sooner that it has become fast; each may be answered late.
	SlowTrialInterval time.Duration
	// ReservationTimeout is how long a new flow counts as busy before its first request. A client sends that a round trip
	// after the flow has opened; one that took another server's answer never does.
	ReservationTimeout time.Duration
	// MaxVersionSkew is how long an agent that has acted by the newer configuration of a balancer may still go by an older
	// one, until it has the newer one itself. The users allow 250 ms.
	MaxVersionSkew time.Duration
}

// DefaultTrackerConfig returns the limits of the agent beside a server.
func DefaultTrackerConfig(service string, address Endpoint) TrackerConfig {
	return TrackerConfig{
		Service:            service,
		Address:            address,
		MaxFlows:           1 << 14,
		IdleTimeout:        15 * time.Second,
		AnswerTimeout:      60 * time.Millisecond,
		MaxUnanswered:      2,
		TrialInterval:      200 * time.Millisecond,
		DenyAfter:          100 * time.Millisecond,
		SilentAfter:        500 * time.Millisecond,
		SilentPackets:      6,
		MinChecks:          3,
		RequestTimeout:     5 * time.Second,
		SlowTrialInterval:  time.Second,
		ReservationTimeout: 100 * time.Millisecond,
		MaxVersionSkew:     200 * time.Millisecond,
	}
}

// state is how far a flow has come at the server.
type state uint8

const (
	// asked means that the server has been given an opening packet.
	asked state = iota
	// searched means that the server has been given a packet of a flow that it may not hold.
	searched
	// open means that the server has answered for the flow.
	open
	// ended means that the server or the client has ended it.
	ended
)

// held is what an agent remembers of a flow.
type held struct {
	state state
	// request is that of the last packet, for the case that the server returns it.
	request Request
	// clientAck is the last number that the client acknowledged; a reset must be near it.
	clientAck uint32
	// work is what the server has to do for the flow, since when, and began when it began to work on the request.
	work         work
	since, began time.Duration
	// late says that the running request counts as failed since it has run for so long.
	late bool
	// asked says that the client has sent a request, and owed that the server was given a packet of the flow that
	// asks for an answer and has said nothing since.
	asked, owed bool
	// confirmed says that the server has sent more than its answer to the opening packet, so that the client has
	// opened the flow here and not at another server that took a copy of the packet.
	confirmed bool
	seen      time.Duration
}

// Note is what an agent tells a balancer beside what it does with a packet.
type Note uint8

// The notes of an agent.
const (
	// NoNote tells nothing.
	NoNote Note = iota
	// NoteStatus tells the load of the server.
	NoteStatus
	// NoteHeld tells that the server holds the flow.
	NoteHeld
	// NoteRefused tells that nobody took the new flow.
	NoteRefused
	// NoteDenied tells that nobody in the list of a search holds the flow.
	NoteDenied
)

// Verdict is the decision of an agent with the note that goes to a balancer.
type Verdict struct {
	Decision
	Note     Note
	Balancer IP
}

// Tracker decides for one agent. It is not safe for concurrent use.
type Tracker struct {
	config  TrackerConfig
	service uint64
	started time.Duration
	version uint64
	// changed is the revision of the last change in the view.
	changed uint64
	// routes holds the routes whose new flows may go to the server.
	routes map[Endpoint]*registry.Route
	// entry is what the view says of the server; nil before it has named it.
	entry *registry.Upstream
	// gone says that the view has named the server and does not any more.
	gone   bool
	flows  *simplelru.LRU[Key, *held]
	load   load
	server serverHealth
	probes []probe
	ahead  ahead
}

// NewTracker returns the Keeper of an agent that starts now. Its limits must be positive.
func NewTracker(config TrackerConfig, now time.Duration) *Tracker {
	k := &Tracker{config: config, service: ServiceHash(config.Service), started: now, load: newLoad(config), server: newServerHealth(config)}
	flows, err := simplelru.NewLRU(config.MaxFlows, func(_ Key, h *held) { k.end(h) })
	if err != nil {
		panic(err)
	}
	k.flows = flows
	return k
}

// SetView puts a view in force.
func (k *Tracker) SetView(view *registry.View) {
	before := k.entry
	k.entry = nil
	k.changed = view.Changed
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if u.Service != k.config.Service || EndpointOf(u.Address) != k.config.Address {
			continue
		}
		if k.entry == nil || u.Newer(k.entry) {
			k.entry = u
		}
	}
	k.gone = k.entry == nil && (k.gone || before != nil)
	if k.entry != nil {
		k.load.slots = k.entry.Slots
	}
	k.adoptRoutes(view.Configuration)
}

func (k *Tracker) adoptRoutes(c *registry.Configuration) {
	if c == nil || k.routes != nil && c.Version == k.version {
		return
	}
	k.version = c.Version
	k.ahead.reached(k.version)
	k.routes = make(map[Endpoint]*registry.Route, len(c.Routes))
	for i := range c.Routes {
		for _, share := range c.Routes[i].Shares {
			if share.Service == k.config.Service && share.Weight > 0 {
				k.routes[EndpointOf(c.Routes[i].Address)] = &c.Routes[i]
			}
		}
	}
}

// Service returns the hash of the name of the server's service.
func (k *Tracker) Service() uint64 {
	return k.service
}

// Version returns the version of the configuration in force.
func (k *Tracker) Version() uint64 {
	return k.version
}

// Accepting reports whether the server takes new flows.
func (k *Tracker) Accepting(now time.Duration) bool {
	switch {
	case k.gone || k.entry != nil && k.entry.Draining:
		return false
	}
	return k.server.answers()
}

// Status returns what the agent says of its server.
func (k *Tracker) Status(now time.Duration) AgentStatus {
	k.load.release(now)
	return AgentStatus{
		Accepting: k.Accepting(now),
		Busy:      uint32(k.load.busy()), Slots: uint32(k.load.slots), Flows: uint32(k.load.flows),
		ServiceTime: k.load.mean, FailureRate: k.load.outcomes.failing,
	}
}

// SetPeers takes in what a balancer says of the other servers of the service.
func (k *Tracker) SetPeers(now time.Duration, peers PeerStats) {
	k.load.outcomes.heard(now, peers)
}

// Suspect reports whether the server fails more of its requests than its peers.
func (k *Tracker) Suspect() bool {
	return k.load.outcomes.suspect
}

// FromNode decides on a packet that a balancer or another agent has sent.
func (k *Tracker) FromNode(now time.Duration, p *Packet, raw []byte, request Request) Verdict {
	switch {
	case request.Service != k.service && request.Purpose == Open:
		return k.pass(request, nil, "server of another service")
	case request.Service != k.service:
		return k.deny(request, "server of another service")
	case request.Purpose == Open:
		return k.open(now, p, request)
	}
	return k.later(now, p, raw, request)
}

// open decides on the opening packet of a flow. The newer of the configurations of balancer and agent counts.
func (k *Tracker) open(now time.Duration, p *Packet, request Request) Verdict {
	route := k.routes[p.Key.Service]
	switch {
	case k.ahead.forbids(now, max(request.Version, k.version), k.config.MaxVersionSkew):
		return Verdict{Decision: Decision{Reason: "newer configuration was acted by and is not known yet"}}
	case request.Version > k.version:
		k.ahead.act(now, request.Version)
	case route == nil:
		return refuse(request, "route is not in the configuration in force")
	}
	if !k.Accepting(now) && !k.server.tryAgain(now) {
		return k.pass(request, route, "server takes no new flows")
	}
	k.load.release(now)
	if !k.takes(now, &request, route) {
		return k.pass(request, route, "no free slot")
	}
	k.take(now, p, request)
	return Verdict{Decision: Decision{Action: ToServer}}
}

// takes reports whether a flow is taken here. A server with a free slot takes it at once; of servers that have
// none, the one with the best offer, which a request that is passed on names. One that fails more than its peers is
// tried now and then with a flow that may be repeated, and otherwise makes an offer for the case that all others are
// full.
func (k *Tracker) takes(now time.Duration, request *Request, route *registry.Route) bool {
	limit := patience(route)
	offer := Offer{Agent: k.config.Address.IP, Wait: k.load.expects(limit), Suspect: k.load.outcomes.suspect}
	switch {
	case request.Final:
		return offer.Wait <= limit
	case k.load.full():
	case offer.Suspect:
		if route != nil && route.Repeatable && k.load.outcomes.try(now) {
			return true
		}
	case offer.Wait <= limit || k.load.retry(now):
		return true
	}
	if offer.better(&request.Best, limit) {
		request.Best = offer
	}
	return len(request.Remaining) == 0 && request.Best == offer && offer.Wait <= limit
}

// take notes that the server is given an opening packet.
func (k *Tracker) take(now time.Duration, p *Packet, request Request) {
	if h, ok := k.flows.Peek(p.Key); ok && h.state == ended {
		k.flows.Remove(p.Key)
	}
	h := k.flow(now, p, asked)
	h.request = keep(request)
	k.load.reserve(now, h)
	k.server.opened(now)
}

// keep returns a request whose lists outlive the packet.
func keep(request Request) Request {
	request.Remaining = append([]IP(nil), request.Remaining...)
	return request
}

// pass sends an opening packet to the next agent. After the last one the flow goes to the one with the best offer, or
// is refused if that is too late.
func (k *Tracker) pass(request Request, route *registry.Route, reason string) Verdict {
	best := request.Best.Agent
	switch {
	case len(request.Remaining) > 0:
		v := Verdict{Decision: forward(request, reason)}
		if best == (IP{}) || best == k.config.Address.IP {
			v.Note, v.Balancer = NoteStatus, request.Balancer
		}
		return v
	case request.Final || best == (IP{}):
		return refuse(request, reason+", and nobody else does")
	case !request.Best.within(patience(route)):
		return refuse(request, "no server can answer in time")
	}
	request.Final = true
	request.Remaining = []IP{best}
	return Verdict{Decision: forward(request, reason)}
}

// forward sends a packet to the first of the remaining agents.
func forward(request Request, reason string) Decision {
	to := request.Remaining[0]
	request.Remaining = request.Remaining[1:]
	return Decision{Action: Forward, To: to, Request: request, Reason: reason}
}

// refuse tells the client that its flow was not opened. The sequence number is zero, which a client ignores
// if the flow opened elsewhere.
func refuse(request Request, reason string) Verdict {
	return Verdict{Decision: Decision{Action: Reset, Reason: reason}, Note: NoteRefused, Balancer: request.Balancer}
}

// deny handles a packet of a flow that the server does not hold. An agent that knows of a later change says so,
// since a newer server may hold the flow.
func (k *Tracker) deny(request Request, reason string) Verdict {
	if k.changed > request.Changed {
		request.Changed = outdated
	}
	switch {
	case len(request.Remaining) > 0:
		return Verdict{Decision: forward(request, reason)}
	case request.Purpose == Deliver:
		return Verdict{Decision: Decision{Action: Return, To: request.Balancer, Reason: reason}}
	}
	return Verdict{Decision: Decision{Request: request, Reason: reason}, Note: NoteDenied, Balancer: request.Balancer}
}

// outdated stands for the revision of a search in which an agent knew of a later change.
const outdated = 0

// Outdated reports whether an agent knew of a later change than the search.
func (r *Request) Outdated() bool {
	return r.Changed == outdated
}

// later decides on a packet of a flow that its client takes for open.
func (k *Tracker) later(now time.Duration, p *Packet, raw []byte, request Request) Verdict {
	h, known := k.flows.Peek(p.Key)
	silent := !k.server.talks() && !k.server.tryAgain(now)
	switch {
	case !known && now-k.started > k.config.IdleTimeout:
		return k.deny(request, "server does not hold the flow")
	case silent && (!known || !h.confirmed):
		k.flows.Remove(p.Key)
		return k.deny(request, "server does not answer")
	case silent && h.state == open && p.asks():
		k.end(h)
		return Verdict{Decision: resetFlow(p, "server does not answer")}
	}
	return k.deliver(now, p, raw, request)
}

// deliver hands the server a packet of a flow that it may hold.
func (k *Tracker) deliver(now time.Duration, p *Packet, raw []byte, request Request) Verdict {
	h := k.flow(now, p, searched)
	h.clientAck = p.Ack
	h.request = keep(request)
	if p.Length > 0 && h.state != ended {
		k.load.start(now, h)
	}
	if p.Kind == Resetting {
		k.end(h)
	}
	if p.asks() {
		h.owed = true
		k.server.gave(now)
	}
	v := Verdict{Decision: Decision{Action: ToServer}}
	switch {
	case request.Purpose == Search && h.state == open:
		v.Note, v.Balancer = NoteHeld, request.Balancer
	case h.state == asked || h.state == searched:
		k.probe(now, p, raw, h.request)
	}
	return v
}

// flow returns the memory of a flow and notes that it was seen.
func (k *Tracker) flow(now time.Duration, p *Packet, initial state) *held {
	h, ok := k.flows.Get(p.Key)
	if !ok {
		h = &held{state: initial}
		k.flows.Add(p.Key, h)
		k.load.flows++
	}
	h.seen = now
	return h
}

// end notes that a flow is over. It is remembered for a while, since packets of it may still come.
func (k *Tracker) end(h *held) {
	if h.state == ended {
		return
	}
	h.state = ended
	k.load.flows--
	k.load.end(h)
}

// FromServer decides on a packet of the server.
func (k *Tracker) FromServer(now time.Duration, p *Packet) Verdict {
	if p.Returned {
		return k.returned(now, p)
	}
	k.server.answered(now)
	h := k.flow(now, p, open)
	h.owed = false
	h.confirmed = h.confirmed || p.Kind != Accepting
	v := Verdict{Decision: Decision{Action: ToClient}}
	if (h.state == asked || h.state == searched) && p.Kind != Resetting {
		h.state = open
		v.Note, v.Balancer = NoteHeld, h.request.Balancer
	}
	if h.work == requested && (p.Length > 0 || p.Kind == Closing) {
		// The packet that closes the flow may overtake the answer.
		k.load.answer(now, h)
	}
	if p.Kind == Resetting {
		k.load.reset(now, h)
	}
	if p.Kind == Resetting || p.Kind == Closing {
		k.end(h)
	}
	return v
}

// returned decides on a packet that the server handed back. Its ends are those of the client's packet.
func (k *Tracker) returned(now time.Duration, p *Packet) Verdict {
	k.server.answered(now)
	h, ok := k.flows.Peek(p.Key)
	if !ok {
		return Verdict{Decision: Decision{Reason: "returned packet of an unknown flow"}}
	}
	if h.state == ended || h.state == open && p.Kind == Opening {
		return Verdict{Decision: Decision{Reason: "returned packet of a flow that the server has answered"}}
	}
	request := h.request
	k.flows.Remove(p.Key)
	switch {
	case p.Kind == Opening:
		return k.pass(request, k.routes[p.Key.Service], "server refused the flow")
	case request.Purpose == Open:
		return Verdict{Decision: Decision{Reason: "server does not hold the flow, and nobody sent the packet"}}
	}
	return k.deny(request, "server does not hold the flow")
}

// Sweep forgets silent flows and requests that have run for too long. It is to be called about once a second.
func (k *Tracker) Sweep(now time.Duration) {
	for {
		key, oldest, ok := k.flows.GetOldest()
		if !ok || now-oldest.seen <= k.config.IdleTimeout {
			break
		}
		k.flows.Remove(key)
	}
	k.load.forget(now)
}

// ServerDown returns the flows that ended with the server, with the number that the reset of each must carry, and
// forgets them. It is to be called when the server is known not to run.
func (k *Tracker) ServerDown() map[Key]uint32 {
	lost := map[Key]uint32{}
	for _, key := range k.flows.Keys() {
		if h, _ := k.flows.Peek(key); h.state == open && h.confirmed {
			lost[key] = h.clientAck
		}
	}
	k.flows.Purge()
	k.server.stopped()
	return lost
}
