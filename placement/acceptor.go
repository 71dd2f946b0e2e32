package placement

import (
	"math"
	"slices"
	"time"
)

// Load describes the current work of an upstream.
type Load struct {
	Flows uint32
	// BusySlots counts the requests that are running, and Slots the requests that may run at once. Zero
	// Slots means no limit.
	BusySlots uint32
	Slots     uint32
	// Weight is the upstream's share of flows relative to its peers. Zero counts as one.
	Weight float64
	// Accepting is set unless the upstream is leaving or not ready.
	Accepting bool
}

// PeerLoad is the load of another upstream of the same service.
type PeerLoad struct {
	Server uint32
	Load   Load
	// LastHeard is the time at which Load was received.
	LastHeard time.Duration
	// Age is how long the peer has been running, or zero if that is unknown.
	Age time.Duration
}

// Action is what an agent does with a packet.
type Action uint8

// Actions of an agent.
const (
	// ActionAccept makes the agent the owner of the flow.
	ActionAccept Action = iota + 1
	// ActionPass forwards the packet to another agent.
	ActionPass
	// ActionRefuse drops the packet, for instance because no agent takes new flows.
	ActionRefuse
	// ActionReset answers the packet with a stateless reset, because the owner of its flow is gone.
	ActionReset
)

// Decision is an action and the server that it refers to.
type Decision struct {
	Action Action
	// Server is the number of the upstream to pass the packet to.
	Server uint32
}

// AcceptorConfig configures load bounding and failure handling for the agent of one upstream.
type AcceptorConfig struct {
	// Server is the number of the agent's own upstream.
	Server uint32
	// Slack is ε: an agent passes a flow on if accepting it would exceed (1+ε) times the mean load.
	// Smaller values balance better and pass more packets.
	Slack float64
	// SlowStart is the time over which the share of a new upstream grows to its full value, counted
	// from the end of SettleAfter. Longer values protect a cold upstream; shorter ones even out the load
	// earlier.
	SlowStart time.Duration
	// SettleAfter is how long a newcomer passes new flows on after its start, so that processes on the
	// previous revision and on the current one agree on the owner. It must cover the time until a
	// revision is in force everywhere.
	SettleAfter time.Duration
	// DeadAfter is the silence after which a peer gets no new flows.
	DeadAfter time.Duration
	// ResetAfter is the silence after which the flows of a peer are reset.
	ResetAfter time.Duration
	// ResetRefusedAfter is the silence after which the flows of a peer are reset if its process isn't
	// running, as shown by refused connections. It must exceed the heartbeat interval.
	ResetRefusedAfter time.Duration
	// MaxSilent is the number of silent peers above which the agent assumes a network partition. It
	// then resets no flows, since the owner may still serve them on the other side.
	MaxSilent int
	// DecisionLifetime is how long a decision for a flow is cached. It must cover a handshake.
	DecisionLifetime time.Duration
	// MaxDecisions bounds the number of cached decisions. A decision takes about 50 bytes.
	MaxDecisions int
	// MaxHops bounds how often one packet is passed on because of load.
	MaxHops int
}

// DefaultAcceptorConfig returns the configuration of a server under the default policy.
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

// Acceptor decides for one upstream which new flows it owns. It is not safe for concurrent use.
type Acceptor struct {
	config  AcceptorConfig
	started time.Duration
	// earliestStart is the earliest known start of any agent of the service.
	earliestStart time.Duration
	cache         decisionCache
	peers         map[uint32]*peerState
	// partitionedUntil is the time until which the network is assumed to be partitioned.
	partitionedUntil time.Duration
}

// peerState is what an acceptor tracks of a peer in addition to the load that the peer reports.
type peerState struct {
	// started is when the peer started, or when it was first seen if its age is unknown.
	started time.Duration
	// passed counts the flows passed to the peer since its last load report.
	passed    uint32
	lastHeard time.Duration
}

// NewAcceptor returns an acceptor for an upstream that starts now.
func NewAcceptor(config AcceptorConfig, now time.Duration) *Acceptor {
	return &Acceptor{
		config:        config,
		started:       now,
		earliestStart: now,
		cache:         newDecisionCache(config.DecisionLifetime, config.MaxDecisions),
		peers:         map[uint32]*peerState{},
	}
}

// Decide returns what to do with the first packet of a flow. candidates are the servers that rank
// after this one. A packet that is passed on carries only the Remaining ones, so no loop can form.
func (a *Acceptor) Decide(now time.Duration, flow uint64, own Load, peers []PeerLoad, candidates []uint32, hops int) Decision {
	a.observe(now, peers)
	if d, ok := a.cache.get(now, flow); ok && a.stillValid(now, d, peers, candidates) {
		return d
	}
	d := a.decide(now, own, peers, candidates, hops)
	if d.Action == ActionPass {
		a.peers[d.Server].passed++
	}
	if d.Action != ActionRefuse {
		a.cache.put(now, flow, d)
	}
	return d
}

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
		return a.passOrRefuse(now, peers, candidates)
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
	needsSlot := !hasFreeSlot(&own)
	fits := a.fits(own.Flows, a.ownShare(now, &own), mean)
	if fits && !needsSlot {
		return Decision{Action: ActionAccept}
	}
	peer := a.firstFitting(now, mean, needsSlot, peers, candidates)
	if peer == nil && !fits {
		peer = a.leastLoaded(now, a.relativeLoad(now, own), peers, candidates)
	}
	if peer == nil {
		return Decision{Action: ActionAccept}
	}
	return Decision{Action: ActionPass, Server: peer.Server}
}

// passOrRefuse passes a flow on regardless of load, because this upstream takes none. It starts at the
// next candidate, as does a process on a later revision without this upstream, so that both agree on
// the owner.
func (a *Acceptor) passOrRefuse(now time.Duration, peers []PeerLoad, candidates []uint32) Decision {
	peer := a.firstUsable(now, peers, candidates)
	if peer == nil {
		return Decision{Action: ActionRefuse}
	}
	return Decision{Action: ActionPass, Server: peer.Server}
}

// firstFitting returns the first candidate whose load bound allows one more flow, or nil.
func (a *Acceptor) firstFitting(now time.Duration, mean float64, needsSlot bool, peers []PeerLoad, candidates []uint32) *PeerLoad {
	for _, server := range candidates {
		peer := findPeer(peers, server)
		if peer == nil || !a.usable(now, peer) {
			continue
		}
		if needsSlot && !hasFreeSlot(&peer.Load) {
			continue
		}
		if a.fits(a.peerFlows(peer), a.peerShare(now, peer), mean) {
			return peer
		}
	}
	return nil
}

// leastLoaded returns the candidate with the lowest relative load below limit, or nil.
func (a *Acceptor) leastLoaded(now time.Duration, limit float64, peers []PeerLoad, candidates []uint32) *PeerLoad {
	var best *PeerLoad
	for _, server := range candidates {
		peer := findPeer(peers, server)
		if peer == nil || !a.usable(now, peer) {
			continue
		}
		if load := a.peerRelativeLoad(now, peer); load < limit {
			best, limit = peer, load
		}
	}
	return best
}

// settled reports whether an agent with the given start time is included in every view of the
// service, so that it can take flows. Agents that started together with the earliest one were never
// missing from a view.
func (a *Acceptor) settled(now, start time.Duration) bool {
	return now-start >= a.config.SettleAfter || !a.newcomer(start)
}

// newcomer reports whether an agent with the given start time joined a service that was already running.
func (a *Acceptor) newcomer(start time.Duration) bool {
	return start-a.earliestStart > a.config.SettleAfter
}

// firstUsable returns the first usable candidate, or else the first one that accepts flows.
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

func (a *Acceptor) accepting(now time.Duration, peer *PeerLoad) bool {
	return peer.Load.Accepting && now-peer.LastHeard <= a.config.DeadAfter
}

// usable reports whether flows can be passed to a peer. A peer that has not settled is not usable,
// since processes on an earlier revision do not know it and would place its flows on another agent.
func (a *Acceptor) usable(now time.Duration, peer *PeerLoad) bool {
	return a.settled(now, a.peers[peer.Server].started) && a.accepting(now, peer)
}

func (a *Acceptor) observe(now time.Duration, peers []PeerLoad) {
	first := len(a.peers) == 0
	for i := range peers {
		p := &peers[i]
		known := a.peers[p.Server]
		if known == nil || p.Age > 0 {
			known = a.updateStart(now, p, first)
		}
		if p.LastHeard > known.lastHeard {
			known.lastHeard = p.LastHeard
			known.passed = 0
		}
	}
	a.detectPartition(now, peers)
}

// updateStart records when a peer started. A peer of unknown age counts as settled and past its
// slow start if it is among the first peers seen or is first seen within SettleAfter of the start of
// this agent. One that is seen later counts as started now.
func (a *Acceptor) updateStart(now time.Duration, p *PeerLoad, first bool) *peerState {
	known := a.peers[p.Server]
	if known == nil {
		known = &peerState{started: now}
		a.peers[p.Server] = known
	}
	switch {
	case p.Age > 0:
		known.started = now - p.Age
	case first || now-a.started <= a.config.SettleAfter:
		known.started = now - 2*a.config.SettleAfter - a.config.SlowStart
	}
	a.earliestStart = min(a.earliestStart, known.started)
	return known
}

// partitionHoldFactor is how long a partition is assumed after it was last observed, as a multiple of
// DeadAfter. The hold keeps flows alive until every peer has been heard from again.
const partitionHoldFactor = 3

// detectPartition extends partitionedUntil if so many peers are silent that the network may be
// partitioned or the agent itself was paused.
func (a *Acceptor) detectPartition(now time.Duration, peers []PeerLoad) {
	silent := 0
	for i := range peers {
		if now-peers[i].LastHeard > a.config.DeadAfter {
			silent++
		}
	}
	if silent > a.config.MaxSilent || silent > 0 && silent == len(peers) {
		a.partitionedUntil = now + partitionHoldFactor*a.config.DeadAfter
	}
}

// Evidence is what a balancer has itself observed of the owner of a flow.
type Evidence uint8

// Kinds of evidence.
const (
	// EvidenceNone means that the balancer has observed no failure. It may not even know the owner.
	EvidenceNone Evidence = iota
	// EvidenceGone means that the owner has long been silent while other agents of its place answer.
	EvidenceGone
	// EvidenceRefused means that the owner's address refuses connections: its process isn't running.
	EvidenceRefused
)

// DecideByOwner returns what to do with a packet whose connection ID names owner. self is the owner
// that the agent encodes in its own connection IDs. A flow of another agent is reset only if neither a
// balancer nor this agent hears from its owner, since either alone may be cut off from it. A packet is
// passed only to its owner, which does not pass on packets of its own flows, so no loop can form.
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
	case evidence == EvidenceGone && silence > a.config.ResetAfter && now >= a.partitionedUntil:
		return Decision{Action: ActionReset}
	case silence > a.config.ResetAfter:
		return Decision{Action: ActionRefuse}
	}
	return Decision{Action: ActionPass, Server: owner.Server}
}

// maxSilence is the silence of a peer that was never heard from.
const maxSilence = time.Duration(math.MaxInt64)

// Search returns what to do with a packet that may belong to an established flow but names no owner
// that the agent can read. owned is set if the agent has the flow. The candidates end with the server
// that ranks first, which therefore receives the packet a second time, without candidates, if no
// other agent owns the flow. Each pass shortens the list, so no loop can form.
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

// Remaining appends the candidates that follow server to dst.
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
