package flow

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bramleyrack/bramleyrack/registry"
)

// Note is what an agent reports to a balancer in addition to its action on a packet.
type Note uint8

// The notes of an agent.
const (
	// NoNote means that nothing is reported.
	NoNote Note = iota
	// NoteStatus reports the status of the agent.
	NoteStatus
	// NoteHeld reports that the server holds the flow.
	NoteHeld
	// NoteRefused reports that no server took the new flow.
	NoteRefused
	// NoteDenied reports that none of the agents in a search's list holds the flow.
	NoteDenied
	// NoteWaiting reports that the new flow waits at the agent for a slot.
	NoteWaiting
)

// Verdict is the decision of an agent, with the note for a balancer.
type Verdict struct {
	Decision
	Note     Note
	Balancer IP
	// Unanswered is set if the server may hold the flow of a packet that is sent back to the balancer.
	Unanswered bool
	// Refusal is set if a new flow was refused although servers exist that take new flows, and Part is the part of its
	// waiting budget that the flow could use at this agent's server.
	Refusal Refusal
	Part    float64
	// Place describes the wait of a new flow or a request with the action Wait.
	Place HeldPlace
	// Waited is the time for which the agent held the packet, if it did.
	Waited time.Duration
}

// Tracker makes the decisions of one agent. It is not safe for concurrent use.
type Tracker struct {
	config  TrackerConfig
	service uint64
	started time.Duration
	version uint64
	// changed is the revision of the last change in the view.
	changed registry.Revision
	// routes holds the routes that direct new flows to the server's service.
	routes map[Endpoint]*registry.Route
	// entry is the server's entry in the view, or nil if the view does not name the server.
	entry *registry.Upstream
	// gone is set if the view named the server earlier and does not any more.
	gone bool
	// evacuation is the request that the server's place gets no new flows, and evacuated is set if there is one.
	evacuation registry.Evacuation
	evacuated  bool
	flows      *simplelru.LRU[Key, *trackedFlow]
	// disclaimed holds the flows of which the server has returned a packet that was given to it to find the flow.
	disclaimed *simplelru.LRU[Key, struct{}]
	// idleTimeout is how long an idle flow is tracked. completeSince is the time since which the server's flows were tracked
	// without a gap: every flow with a later packet is tracked.
	idleTimeout, completeSince time.Duration
	run                        serverRun
	load                       load
	cold                       coldStart
	server                     serverHealth
	turnedAway                 TurnedAway
	// resumed is when the agent continued after a pause, or zero.
	resumed  time.Duration
	probes   []probe
	versions versionGuard
	shortage shortage
	held     heldQueue
	// stale counts the packets that were not passed on because their clients may have given up.
	stale uint64
}

// NewTracker returns the Tracker of an agent that starts now. The limits in config must be positive.
func NewTracker(config TrackerConfig, now time.Duration) *Tracker {
	t := &Tracker{config: config, service: ServiceHash(config.Service), started: now, load: newLoad(config), cold: newColdStart(now, config.RegistrationTime), server: newServerHealth(config), shortage: newShortage(config), idleTimeout: config.IdleTimeout, completeSince: now}
	flows, err := simplelru.NewLRU(config.MaxFlows, func(_ Key, f *trackedFlow) { t.end(f) })
	if err != nil {
		panic(err)
	}
	t.flows = flows
	if t.disclaimed, err = simplelru.NewLRU[Key, struct{}](config.MaxDisclaimed, nil); err != nil {
		panic(err)
	}
	return t
}

// SetView puts a view into force.
func (t *Tracker) SetView(view *registry.View) {
	previous := t.entry
	t.entry = nil
	t.changed = view.Changed
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if u.Service != t.config.Service || EndpointOf(u.Address) != t.config.Address {
			continue
		}
		if t.entry == nil || u.Newer(t.entry) {
			t.entry = u
		}
	}
	t.gone = t.entry == nil && (t.gone || previous != nil)
	if t.entry != nil {
		t.load.slots = min(max(1, t.entry.Slots), registry.MaxSlots)
	}
	t.evacuation, t.evacuated = view.Evacuation(t.place())
	t.setCold(view)
	t.setRoutes(view.Configuration)
	t.run.observe(t.entry, view.Configuration, t.config.StartTime)
	t.held.recheck = true
}

func (t *Tracker) setRoutes(c *registry.Configuration) {
	if c == nil || t.routes != nil && c.Version == t.version {
		return
	}
	t.version = c.Version
	t.idleTimeout = idleTimeout(c, t.config.IdleTimeout, t.config.MaxFlowAge)
	t.versions.discardUpTo(t.version)
	t.routes = make(map[Endpoint]*registry.Route, len(c.Routes))
	for i := range c.Routes {
		for _, share := range c.Routes[i].Shares {
			if share.Service == t.config.Service && share.Weight > 0 {
				t.routes[EndpointOf(c.Routes[i].Address)] = &c.Routes[i]
			}
		}
	}
}

// ServiceHash returns the hash of the server's service name.
func (t *Tracker) ServiceHash() uint64 {
	return t.service
}

// Version returns the version of the configuration in force.
func (t *Tracker) Version() uint64 {
	return t.version
}

// Accepting reports whether the server takes new flows.
func (t *Tracker) Accepting(now time.Duration) bool {
	return !t.leaving() && t.server.healthy()
}

// leaving reports whether the server is draining or has left. It gets no new flows, not even as a trial.
func (t *Tracker) leaving() bool {
	return t.gone || t.entry != nil && t.entry.Draining
}

// place returns the availability zone of the server.
func (t *Tracker) place() string {
	if t.entry != nil {
		return t.entry.Place
	}
	return t.config.Place
}

// Status returns the status of the server for the agent's messages to balancers.
func (t *Tracker) Status(now time.Duration) AgentStatus {
	t.load.advance(now)
	t.load.releaseExpired(now)
	return AgentStatus{
		Accepting: t.Accepting(now),
		Busy:      uint32(t.load.busy()), Slots: uint32(t.load.slots), Flows: uint32(t.load.flows),
		ServiceTime: t.load.mean, FailureRate: t.load.outcomes.failureRate,
		ColdRate: t.cold.rateLeft(now),
		Work:     t.load.work.expected(t.load.flows), Speed: t.load.speed.speed(now),
		Service: t.service, ServerPort: t.config.Address.Port,
	}
}

// SetPeers handles the medians over the service's servers that a balancer sent.
func (t *Tracker) SetPeers(now time.Duration, peers PeerStats) {
	t.load.outcomes.setPeers(now, peers)
	t.load.speed.setMedians(peers.RouteTimes)
}

// Suspect reports whether the server fails more of its requests than its peers.
func (t *Tracker) Suspect() bool {
	return t.load.outcomes.suspect
}

// FromNode decides on a packet from a balancer or another agent.
func (t *Tracker) FromNode(now time.Duration, p *Packet, raw []byte, request Request) Verdict {
	t.load.advance(now)
	otherService := request.Service != t.service
	switch {
	case otherService && request.Purpose == PurposeOpen:
		return t.pass(request, nil, "server belongs to another service")
	case otherService && !request.Wide && !t.holds(p.Key):
		return t.deny(request, "server belongs to another service")
	case request.Purpose == PurposeOpen && t.holdsOpening(p.Key):
		return Verdict{Decision: Decision{Reason: "a copy of the opening packet waits for a free slot"}, Note: NoteWaiting, Balancer: request.Balancer}
	case request.Purpose == PurposeOpen:
		v := t.waitInstead(now, now, p, request, t.openFlow(now, p, request))
		if v.Action == Wait {
			t.held.counts.TotalOpenings++
		}
		return v
	}
	return t.fromOpenFlow(now, p, raw, request)
}

// holds reports whether the server is known to hold a flow.
func (t *Tracker) holds(key Key) bool {
	f, ok := t.flows.Peek(key)
	return ok && f.state == open
}

// deny handles a packet of a flow that the server does not hold. If the agent knows of a later change of the view
// than the request, it marks the request as outdated, since a newer server may hold the flow.
func (t *Tracker) deny(request Request, reason string) Verdict {
	if t.changed > request.Changed {
		request.Changed = outdated
	}
	switch {
	case len(request.Remaining) > 0:
		return Verdict{Decision: forward(request, reason)}
	case request.Purpose == PurposeDeliver:
		return Verdict{Decision: Decision{Action: Return, To: request.Balancer, Reason: reason}}
	}
	return Verdict{Decision: Decision{Request: request, Reason: reason}, Note: NoteDenied, Balancer: request.Balancer}
}

// doubt handles a packet of a flow of which the agent can't tell whether its server holds it. Other agents are asked, but no
// denial proves anything.
func (t *Tracker) doubt(request Request, reason string) Verdict {
	request.Changed = outdated
	v := t.deny(request, reason)
	v.Unanswered = v.Action == Return
	return v
}

// outdated replaces the revision in a search request once an agent knew of a later change, or could not know whether its
// server holds the flow.
const outdated = 0

// Outdated reports whether the denials of the agents so far prove nothing.
func (r *Request) Outdated() bool {
	return r.Changed == outdated
}

// fromOpenFlow decides on a packet of a flow that its client considers open.
func (t *Tracker) fromOpenFlow(now time.Duration, p *Packet, raw []byte, request Request) Verdict {
	_, known := t.flows.Peek(p.Key)
	switch {
	case known:
	case t.disclaimed.Contains(p.Key):
		return t.deny(request, "server has returned an earlier packet of the flow")
	case t.server.down:
		return t.deny(request, "server is not running")
	case t.knowsAllFlows(now):
		return t.deny(request, "server does not hold the flow")
	}
	return t.deliver(now, p, raw, request)
}

// deliver forwards to the server a packet of a flow that the server may hold.
func (t *Tracker) deliver(now time.Duration, p *Packet, raw []byte, request Request) Verdict {
	if known, _ := t.flows.Peek(p.Key); t.requestOver(now, p, known) && (known == nil || !known.hasReceived(p)) {
		return t.dropStale()
	}
	f := t.track(now, p, searchDelivered)
	f.clientAck = p.Ack
	f.request, f.passedOn = cloneRequest(request), false
	if p.Kind == Resetting {
		t.abandon(p.Key)
		t.end(f)
	}
	if f.state == open && p.requiresAnswer() && !f.hasReceived(p) {
		if v, held := t.holdRequest(now, p, f, request); held {
			return v
		}
	}
	return t.toServer(now, p, raw, f)
}

// passOn decides on a packet that was held. It does not hold the packet again.
func (t *Tracker) passOn(now time.Duration, p *Packet, raw []byte, request Request) Verdict {
	if !t.server.responsive() {
		return t.fromOpenFlow(now, p, raw, request)
	}
	f := t.track(now, p, searchDelivered)
	f.request, f.passedOn = request, false
	return t.toServer(now, p, raw, f)
}

// toServer gives the server a packet of a flow that it may hold.
func (t *Tracker) toServer(now time.Duration, p *Packet, raw []byte, f *trackedFlow) Verdict {
	if p.Length > 0 && f.state != ended && !f.hasReceived(p) {
		f.receive(p.Seq + uint32(p.Length))
		if t.completesRequest(p) {
			t.countRequest(now, f)
			t.load.start(now, f)
		}
	}
	if p.requiresAnswer() {
		t.server.sent(now)
	}
	v := Verdict{Decision: Decision{Action: ToServer}}
	switch {
	case f.state == openingSent || f.state == searchDelivered || t.server.silent && !f.confirmed:
		// A silent server that has only answered the opening packet may not be the one that the client has chosen.
		t.addProbe(now, p, raw, f.request)
	case f.request.Purpose == PurposeSearch && f.state == open:
		v.Note, v.Balancer = NoteHeld, f.request.Balancer
	}
	return v
}

// completesRequest reports whether a packet with data is the last one of its request. The server runs the request once it
// has received that.
func (t *Tracker) completesRequest(p *Packet) bool {
	return p.Length > 0 && p.Length < t.config.MaxPayload
}

// track returns the state of a flow, which it adds if necessary, and records that the flow was seen.
func (t *Tracker) track(now time.Duration, p *Packet, initial state) *trackedFlow {
	f, ok := t.flows.Get(p.Key)
	if !ok {
		if oldestKey, oldest, ok := t.flows.GetOldest(); ok && t.flows.Len() >= t.config.MaxFlows {
			t.forget(oldestKey, oldest)
		}
		f = &trackedFlow{state: initial}
		t.flows.Add(p.Key, f)
		t.disclaimed.Remove(p.Key)
		t.load.flows++
	}
	f.lastSeen = now
	return f
}

// end marks a flow as ended. It remains tracked for a while, since further packets of it may arrive.
func (t *Tracker) end(f *trackedFlow) {
	if f.state == ended {
		return
	}
	f.state = ended
	t.load.flows--
	t.load.end(f)
}

// FromServer decides on a packet from the server.
func (t *Tracker) FromServer(now time.Duration, p *Packet) Verdict {
	t.load.advance(now)
	if p.Returned {
		return t.returned(now, p)
	}
	t.cold.answered(now)
	t.observeAnswer(p)
	t.server.received(now)
	f := t.track(now, p, open)
	f.confirmed = f.confirmed || p.Kind != Accepting
	v := Verdict{Decision: Decision{Action: ToClient}}
	if (f.state == openingSent || f.state == searchDelivered) && p.Kind != Resetting {
		t.cold.found(now, f)
		if f.state == openingSent {
			t.taken(now, p.Key)
		}
		f.state = open
		v.Note, v.Balancer = NoteHeld, f.request.Balancer
	}
	if f.work == requested && (p.Length > 0 || p.Kind == Closing) {
		// The packet that closes the flow may overtake the answer.
		t.observe(now, p.Key, f)
		t.recordSpeed(now, p.Key.Service, t.load.answer(now, f))
	}
	switch p.Kind {
	case Resetting:
		t.load.reset(now, f)
		t.abandon(p.Key)
		t.end(f)
	case Closing:
		t.end(f)
		t.held.recheck = true
	default:
		f.receive(p.Ack)
	}
	return v
}

// Sweep removes idle flows and requests that have been running for too long. Call it about once a second.
func (t *Tracker) Sweep(now time.Duration) {
	t.load.advance(now)
	for {
		key, oldest, ok := t.flows.GetOldest()
		if !ok || now-oldest.lastSeen <= t.idleTimeout {
			break
		}
		t.forget(key, oldest)
	}
	t.load.expire(now)
}

// ServerDown removes all flows and returns the open ones, with the sequence number that each reset must carry. Call it
// when the server is known not to be running, and NextHeld after it.
func (t *Tracker) ServerDown() map[Key]uint32 {
	lost := map[Key]uint32{}
	for _, key := range t.flows.Keys() {
		if f, _ := t.flows.Peek(key); f.state == open && f.confirmed {
			lost[key] = f.clientAck
			t.held.remove(key)
		}
	}
	t.flows.Purge()
	t.server.stopped()
	t.held.recheck = true
	t.cold.serverDown(max(t.started, t.load.now), t.entry)
	t.load.speed.forget()
	return lost
}
