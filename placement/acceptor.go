package placement

import (
	"math"
	"slices"
	"time"
)

// Load is the work that an upstream holds.
type Load struct {
	// Flows is the number of open flows.
	Flows uint32
	// BusySlots and Slots count requests that run and that may run at once.
	BusySlots uint32
	Slots     uint32
	// Weight is the share of flows relative to the peers; zero counts as one.
	Weight float64
	// Accepting is false for an upstream that is leaving or not ready.
	Accepting bool
}

// PeerLoad is the load of another upstream of the same service.
type PeerLoad struct {
	Server uint32
	Load   Load
	// LastHeard is the time at which Load was received.
	LastHeard time.Duration
	// Age is how long the peer has been running; zero if it is not known.
	Age time.Duration
}

// Action is what an agent does with the first packet of a flow.
type Action uint8

// The actions of an agent.
const (
	// ActionAccept makes the agent the owner of the flow.
	ActionAccept Action = iota + 1
	// ActionPass sends the packet to another agent.
	ActionPass
	// ActionRefuse drops the packet, because no agent takes new flows.
	ActionRefuse
	// ActionReset answers the packet with a stateless reset, because its owner is gone.
	ActionReset
)

// Decision is an action and the server it concerns.
type Decision struct {
	Action Action
	// Server is the number of the upstream to pass to.
	Server uint32
}

// AcceptorConfig tunes the bounded load of the agents of one service.
type AcceptorConfig struct {
	// Server is the number of the upstream itself.
	Server uint32
	// Slack is ε: a flow is passed on above (1+ε) times the mean. Small values balance better and
	// pass more packets.
	Slack float64
	// SlowStart is the time over which the share of a new upstream grows to its full value, once it
	// has settled. Long values protect a cold upstream; short ones even out the load earlier.
	SlowStart time.Duration
	// SettleAfter is the time after the start for which a newcomer passes new flows on, so that processes on
	// the previous revision and on the current one agree on the owner. It must cover the time in
	// which a revision comes into force everywhere.
	SettleAfter time.Duration
	// DeadAfter is the silence after which a peer gets no new flow.
	DeadAfter time.Duration
	// ResetAfter is the silence after which the flows of a peer are reset.
	ResetAfter time.Duration
	// ResetRefusedAfter is the silence after which the flows of a peer whose process does not run are
	// reset. It must exceed the interval of heartbeats.
	ResetRefusedAfter time.Duration
	// MaxSilent is how many peers may be silent before the agent takes the network for parted. It
	// resets no flow then, since the owner may serve it on the other side.
	MaxSilent int
	// DecisionLifetime is how long the choice for a flow is remembered; it must cover a handshake.
	DecisionLifetime time.Duration
	// MaxDecisions bounds the choices remembered. A choice takes about 50 bytes.
	MaxDecisions int
	// MaxHops bounds the passes of one packet for the sake of load.
	MaxHops int
}

// DefaultAcceptorConfig returns the configuration of a server with the default policy.
func DefaultAcceptorConfig(server uint32) AcceptorConfig {
	return AcceptorConfig{
		Server:            server,
		Slack:             0.02,
		SlowStart:         5 * time.Second,
		SettleAfter:       6 * time.Second,
		DeadAfter:         2 * time.Second,
		ResetAfter:        15 * time.Second,
		ResetRefusedAfter: time.Second,
		MaxSilent:         1,
		DecisionLifetime:  15 * time.Second,
		MaxDecisions:      1 << 16,
		MaxHops:           2,
	}
}

// Acceptor decides, for one upstream, which new flows it owns. It is not safe for concurrent use.
type Acceptor struct {
	config  AcceptorConfig
	started time.Duration
	// oldest is the earliest start of any agent of the service.
	oldest time.Duration
	memory flowMemory
	peers  map[uint32]*peerMemory
	// suspectUntil is the end of the time in which the network may be parted.
	suspectUntil time.Duration
}

// peerMemory is what an acceptor adds to the reported load of a peer.
type peerMemory struct {
	// since is when the peer started, or else when it was first seen.
	since time.Duration
	// passed counts the flows passed to the peer since heard.
	passed uint32
	heard  time.Duration
}

// NewAcceptor returns an acceptor of an upstream that starts now.
func NewAcceptor(config AcceptorConfig, now time.Duration) *Acceptor {
	return &Acceptor{
		config:  config,
		started: now,
		oldest:  now,
		memory:  newFlowMemory(config.DecisionLifetime, config.MaxDecisions),
		peers:   map[uint32]*peerMemory{},
	}
}

// Decide returns what to do with the first packet of a flow. candidates are the servers that follow
// in rank; a passed packet carries Remaining of them, so that each pass shortens the list and no
// loop can form.
func (a *Acceptor) Decide(now time.Duration, flowKey uint64, own Load, peers []PeerLoad, candidates []uint32, hops int) Decision {
	a.observe(now, peers)
	if d, ok := a.memory.get(now, flowKey); ok && a.stillValid(now, d, peers, candidates) {
		return d
	}
	d := a.decide(now, own, peers, candidates, hops)
	if d.Action == ActionPass {
		a.peers[d.Server].passed++
	}
	if d.Action != ActionRefuse {
		a.memory.put(now, flowKey, d)
	}
	return d
}

// stillValid reports whether a remembered pass can be repeated.
func (a *Acceptor) stillValid(now time.Duration, d Decision, peers []PeerLoad, candidates []uint32) bool {
	if d.Action == ActionAccept {
		return true
	}
	if !slices.Contains(candidates, d.Server) {
		return false
	}
	peer := findPeer(peers, d.Server)
	return peer != nil && a.accepting(now, peer)
}

func (a *Acceptor) decide(now time.Duration, own Load, peers []PeerLoad, candidates []uint32, hops int) Decision {
	if !own.Accepting {
		return a.handOff(now, peers, candidates)
	}
	if hops >= a.config.MaxHops {
		return Decision{Action: ActionAccept}
	}
	if !a.settled(now, a.started) {
		if peer := a.firstUsable(now, peers, candidates); peer != nil {
			return Decision{Action: ActionPass, Server: peer.Server}
		}
		return Decision{Action: ActionAccept}
	}
	mean := a.meanLoad(now, own, peers)
	full := !hasSlot(&own)
	fits := a.fits(own.Flows, a.ownShare(now, &own), mean)
	if fits && !full {
		return Decision{Action: ActionAccept}
	}
	peer := a.firstFitting(now, mean, full, peers, candidates)
	if peer == nil && !fits {
		peer = a.lightest(now, a.relative(now, own), peers, candidates)
	}
	if peer == nil {
		return Decision{Action: ActionAccept}
	}
	return Decision{Action: ActionPass, Server: peer.Server}
}

// handOff passes a flow on regardless of load, because the upstream takes none. The next candidate
// is where a process that already leaves this upstream out starts, so that both agree on the owner.
func (a *Acceptor) handOff(now time.Duration, peers []PeerLoad, candidates []uint32) Decision {
	peer := a.firstUsable(now, peers, candidates)
	if peer == nil {
		return Decision{Action: ActionRefuse}
	}
	return Decision{Action: ActionPass, Server: peer.Server}
}

// firstFitting returns the first candidate that may take one more flow.
func (a *Acceptor) firstFitting(now time.Duration, mean float64, needsSlot bool, peers []PeerLoad, candidates []uint32) *PeerLoad {
	for _, server := range candidates {
		peer := findPeer(peers, server)
		if peer == nil || !a.usable(now, peer) {
			continue
		}
		if needsSlot && !hasSlot(&peer.Load) {
			continue
		}
		if a.fits(a.peerFlows(peer), a.peerShare(now, peer), mean) {
			return peer
		}
	}
	return nil
}

// lightest returns the candidate with the least relative load below limit.
func (a *Acceptor) lightest(now time.Duration, limit float64, peers []PeerLoad, candidates []uint32) *PeerLoad {
	var lightest *PeerLoad
	for _, server := range candidates {
		peer := findPeer(peers, server)
		if peer == nil || !a.usable(now, peer) {
			continue
		}
		if load := a.peerRelative(now, peer); load < limit {
			lightest, limit = peer, load
		}
	}
	return lightest
}

// settled reports whether an agent that started at a time takes flows in every view of the service.
// Agents that started together with the oldest one were never missing from a view.
func (a *Acceptor) settled(now, start time.Duration) bool {
	return now-start >= a.config.SettleAfter || !a.newcomer(start)
}

func (a *Acceptor) newcomer(start time.Duration) bool {
	return start-a.oldest > a.config.SettleAfter
}

// firstUsable returns the first candidate that is usable, or else the first that accepts flows.
func (a *Acceptor) firstUsable(now time.Duration, peers []PeerLoad, candidates []uint32) *PeerLoad {
	var settling *PeerLoad
	for _, server := range candidates {
		peer := findPeer(peers, server)
		if peer == nil || !a.accepting(now, peer) {
			continue
		}
		if a.usable(now, peer) {
			return peer
		}
		if settling == nil {
			settling = peer
		}
	}
	return settling
}

// accepting reports whether a peer was heard lately and takes new flows.
func (a *Acceptor) accepting(now time.Duration, peer *PeerLoad) bool {
	return peer.Load.Accepting && now-peer.LastHeard <= a.config.DeadAfter
}

// usable reports whether a peer takes flows that are passed on. A peer that settles does not: those
// that hold an earlier revision could not tell where its flows went.
func (a *Acceptor) usable(now time.Duration, peer *PeerLoad) bool {
	return a.settled(now, a.peers[peer.Server].since) && a.accepting(now, peer)
}

// observe updates the memory of peers from their reports.
func (a *Acceptor) observe(now time.Duration, peers []PeerLoad) {
	first := len(a.peers) == 0
	for i := range peers {
		p := &peers[i]
		known := a.peers[p.Server]
		if known == nil || p.Age > 0 {
			known = a.meet(now, p, first)
		}
		if p.LastHeard > known.heard {
			known.heard = p.LastHeard
			known.passed = 0
		}
	}
	a.suspect(now, peers)
}

// meet notes the start of a peer. Without its age, peers that were there before the acceptor count
// as old.
func (a *Acceptor) meet(now time.Duration, p *PeerLoad, first bool) *peerMemory {
	known := a.peers[p.Server]
	if known == nil {
		known = &peerMemory{since: now}
		a.peers[p.Server] = known
	}
	switch {
	case p.Age > 0:
		known.since = now - p.Age
	case first || now-a.started <= a.config.SettleAfter:
		known.since = now - 2*a.config.SettleAfter - a.config.SlowStart
	}
	a.oldest = min(a.oldest, known.since)
	return known
}

// suspectHold is how many times DeadAfter the suspicion of a parted network lasts, so that flows
// survive until every peer is heard again.
const suspectHold = 3

// suspect notes whether the network may be parted, or the agent itself was paused.
func (a *Acceptor) suspect(now time.Duration, peers []PeerLoad) {
	silent := 0
	for i := range peers {
		if now-peers[i].LastHeard > a.config.DeadAfter {
			silent++
		}
	}
	if silent > a.config.MaxSilent || silent > 0 && silent == len(peers) {
		a.suspectUntil = now + suspectHold*a.config.DeadAfter
	}
}

// Evidence is what a balancer knows first hand of the owner of a flow.
type Evidence uint8

// The kinds of evidence.
const (
	// EvidenceNone says nothing; the balancer may not even know the owner.
	EvidenceNone Evidence = iota
	// EvidenceGone says that the owner has long been silent while others of its place answer.
	EvidenceGone
	// EvidenceRefused says that the process of the owner does not run.
	EvidenceRefused
)

// DecideByOwner returns what to do with a packet whose connection ID names owner. self is the owner that
// the agent encodes in its own connection IDs. A flow of another agent is reset only if a balancer
// and the agent both miss its owner, since either alone may be cut off from it. A packet is passed
// to its owner alone, which passes none of its own on, so no loop can form.
func (a *Acceptor) DecideByOwner(now time.Duration, owner, self Owner, evidence Evidence, peers []PeerLoad) Decision {
	switch {
	case owner == self:
		return Decision{Action: ActionAccept}
	case owner.Service != self.Service:
		return Decision{Action: ActionRefuse}
	case owner.Server == self.Server:
		return Decision{Action: ActionReset}
	}
	a.observe(now, peers)
	silence := maxSilence
	if peer := findPeer(peers, owner.Server); peer != nil {
		silence = now - peer.LastHeard
	}
	switch {
	case evidence == EvidenceRefused && silence > a.config.ResetRefusedAfter:
		return Decision{Action: ActionReset}
	case evidence == EvidenceGone && silence > a.config.ResetAfter && now >= a.suspectUntil:
		return Decision{Action: ActionReset}
	case silence > a.config.ResetAfter:
		return Decision{Action: ActionRefuse}
	}
	return Decision{Action: ActionPass, Server: owner.Server}
}

// maxSilence is the silence of a peer that was never heard.
const maxSilence = time.Duration(math.MaxInt64)

// Search returns what to do with a packet that names no owner that the agent can read, and may belong
// to an established flow. owned says that the agent has the flow. The candidates end with the best
// ranked server, so that it receives the packet a second time, with no candidates, if no other agent
// owns the flow. Each pass shortens the list, so no loop can form.
func (a *Acceptor) Search(now time.Duration, owned bool, own Load, peers []PeerLoad, candidates []uint32) Decision {
	if owned {
		return Decision{Action: ActionAccept}
	}
	for _, server := range candidates {
		peer := findPeer(peers, server)
		if peer != nil && now-peer.LastHeard <= a.config.DeadAfter {
			return Decision{Action: ActionPass, Server: server}
		}
	}
	if !own.Accepting {
		return Decision{Action: ActionRefuse}
	}
	return Decision{Action: ActionAccept}
}

// Remaining appends to dst the candidates that follow server.
func Remaining(dst, candidates []uint32, server uint32) []uint32 {
	i := slices.Index(candidates, server)
	if i < 0 {
		return dst
	}
	return append(dst, candidates[i+1:]...)
}

func findPeer(peers []PeerLoad, server uint32) *PeerLoad {
	for i := range peers {
		if peers[i].Server == server {
			return &peers[i]
		}
	}
	return nil
}
