package dissemination

import (
	"math/rand"
	"time"
)

const (
	// minPeerAttempts is how many peers a process must have asked before it trusts its view again without
	// a confirmation by a peer that trusts its own; see resolved.
	minPeerAttempts = 2
	// minPlatformInterval is the minimum mean time between two platform reads by a follower, however
	// small the fleet. Without it, the follower of a reader would compete with the reader's own watch.
	minPlatformInterval = time.Second
	// maxBackoff limits the mean time between two requests to peers while no peer has a newer revision.
	maxBackoff = 4 * time.Second
)

// FollowerConfig holds the intervals and limits of a Follower.
type FollowerConfig struct {
	// SilenceTimeout is the age of the last platform confirmation above which the process asks peers
	// and reads the platform. A shorter timeout finds a missed revision sooner; a longer one saves
	// calls.
	SilenceTimeout time.Duration
	// RetryInterval is the minimum mean time between two actions.
	RetryInterval time.Duration
	// FleetSize is the number of processes that share the platform's call budget.
	FleetSize int
	// CallsPerSecond is the call budget of the platform for the whole fleet.
	CallsPerSecond float64
	// BudgetShare is the fraction of the budget that followers may use. The rest is for readers.
	BudgetShare float64
}

// DefaultFollowerConfig returns the default limits for a fleet of the given size.
func DefaultFollowerConfig(fleet int) FollowerConfig {
	return FollowerConfig{
		SilenceTimeout: 4 * time.Second,
		RetryInterval:  250 * time.Millisecond,
		FleetSize:      fleet,
		CallsPerSecond: 2000,
		BudgetShare:    0.5,
	}
}

// PlatformInterval returns the mean time between two platform reads of one process. It grows with the
// fleet, so that the fleet stays within the budget even if no process gets confirmations.
func (c FollowerConfig) PlatformInterval() time.Duration {
	budget := c.CallsPerSecond * c.BudgetShare
	if budget <= 0 {
		return c.SilenceTimeout
	}
	interval := time.Duration(float64(max(1, c.FleetSize)) / budget * float64(time.Second))
	return max(interval, minPlatformInterval)
}

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// NoAction means that the process is up to date or must wait.
	NoAction ActionKind = iota
	// FetchPeer fetches the value from the named peer.
	FetchPeer
	// FetchAnyPeer fetches the value from any peer.
	FetchAnyPeer
	// ReadPlatform reads the value from the platform.
	ReadPlatform
)

// Action is what the process should do next.
type Action struct {
	Kind ActionKind
	// Peer is the address of the peer to ask. It is set only for FetchPeer.
	Peer string
}

// Observation is the state of a peer's view, as reported in a message.
type Observation struct {
	Revision uint64
	Peer     string
	// Age is the time since the platform last confirmed the revision to the peer, directly or through a
	// chain of peers.
	Age time.Duration
	// Suspect is set if the peer does not trust its own view.
	Suspect bool
	// AgeKnown is set if the message carried an age.
	AgeKnown bool
}

// Follower decides when and from where one process fetches newer revisions. It is not safe for
// concurrent use.
type Follower struct {
	config   FollowerConfig
	rnd      *rand.Rand
	revision uint64
	// confirmed is the last time at which the platform is known to have had this revision as its
	// newest.
	confirmed time.Duration
	// hintedRevision is the highest revision that a peer has reported, or zero once it is rejected.
	// hintPeer is the peer to fetch it from, or empty once that peer has been asked.
	hintedRevision   uint64
	hintPeer         string
	nextAction       time.Duration
	nextPlatformRead time.Duration
	backoff          time.Duration
	suspicion        suspicion
}

// suspicion records the requests and answers of a process since it stopped trusting its view.
type suspicion struct {
	active           bool
	peerConfirmed    bool
	platformAnswered bool
	peersAnswered    int
	peersAttempted   int
}

// resolved reports whether the view can be trusted again: a peer that trusts its own view has confirmed
// it, or minPeerAttempts peers were asked and either the platform or that many peers have answered. If
// all peers that answered are suspect too, none has better information.
func (s suspicion) resolved() bool {
	if s.peerConfirmed {
		return true
	}
	tried := s.peersAttempted >= minPeerAttempts
	return tried && (s.platformAnswered || s.peersAnswered >= minPeerAttempts)
}

// NewFollower returns a follower without a revision. Its first platform read is at a random time within
// one interval, which spreads the reads of a fleet that starts all at once.
func NewFollower(config FollowerConfig, now time.Duration, rnd *rand.Rand) *Follower {
	f := &Follower{config: config, rnd: rnd, confirmed: now}
	f.suspicion.active = true
	f.nextPlatformRead = now + f.jitter(config.PlatformInterval())
	return f
}

// SetFleetSize sets the number of processes that share the platform's call budget.
func (f *Follower) SetFleetSize(fleet int) {
	f.config.FleetSize = fleet
}

// Revision returns the revision in force.
func (f *Follower) Revision() uint64 {
	return f.revision
}

// Age returns the time since the platform last confirmed the revision in force.
func (f *Follower) Age(now time.Duration) time.Duration {
	return now - f.confirmed
}

// Accepts reports whether a revision may replace the one in force, which only a higher one may.
func (f *Follower) Accepts(revision uint64) bool {
	return revision > f.revision
}

// Adopt records that a revision is in force and how long ago the platform confirmed it. It returns
// false and changes nothing if the revision is not higher than the one in force.
func (f *Follower) Adopt(now time.Duration, revision uint64, age time.Duration) bool {
	if !f.Accepts(revision) {
		return false
	}
	f.revision = revision
	f.confirmed = now - age
	f.backoff = 0
	f.updateSuspicion()
	return true
}

// Observe evaluates the view that a peer has reported.
func (f *Follower) Observe(now time.Duration, o Observation) {
	if o.Revision > f.revision && o.Revision >= f.hintedRevision {
		f.hintedRevision = o.Revision
		f.hintPeer = o.Peer
		return
	}
	if o.Revision == f.revision && o.Revision > 0 && o.AgeKnown {
		f.confirmed = max(f.confirmed, now-o.Age)
	}
}

// PeerAnswered records the answer of a peer to a request of this process.
func (f *Follower) PeerAnswered(now time.Duration, o Observation) {
	f.Observe(now, o)
	f.suspicion.peersAttempted++
	f.suspicion.peersAnswered++
	if !o.Suspect && o.Revision > 0 && o.Revision <= f.revision {
		f.suspicion.peerConfirmed = true
	}
	f.updateSuspicion()
}

// PeerFailed records that a peer did not answer, or that there is no peer to ask.
func (f *Follower) PeerFailed() {
	f.suspicion.peersAttempted++
	f.updateSuspicion()
}

// PlatformAnswered records a platform read that returned the given revision. A revision below the one
// in force is stale and confirms nothing.
func (f *Follower) PlatformAnswered(now time.Duration, revision uint64) {
	f.suspicion.platformAnswered = true
	if revision == f.revision && revision > 0 {
		f.confirmed = now
		f.backoff = 0
	}
	f.updateSuspicion()
}

// MarkUnconfirmed marks the view as possibly outdated, for example after the process was paused.
func (f *Follower) MarkUnconfirmed() {
	f.suspicion = suspicion{active: true}
	f.nextAction = 0
	f.backoff = 0
}

// Unconfirmed reports whether the view awaits confirmation.
func (f *Follower) Unconfirmed() bool {
	return f.suspicion.active
}

func (f *Follower) updateSuspicion() {
	if f.revision == 0 || f.hintedRevision > f.revision {
		return
	}
	if f.suspicion.resolved() {
		f.suspicion.active = false
	}
}

// Reject records that a revision is not valid. It is not fetched again unless a peer reports it again.
func (f *Follower) Reject(revision uint64) {
	if revision >= f.hintedRevision {
		f.hintedRevision = 0
		f.hintPeer = ""
	}
	f.updateSuspicion()
}

// Next returns the action to take now. A known higher revision is fetched from the peer that reported
// it. Without a recent confirmation, or while the view is suspect, the process asks any peer, and reads
// the platform as often as the budget allows.
func (f *Follower) Next(now time.Duration) Action {
	if now < f.nextAction {
		return Action{}
	}
	if f.hintedRevision > f.revision && f.hintPeer != "" {
		f.scheduleNext(now, 0)
		peer := f.hintPeer
		f.hintPeer = ""
		return Action{Kind: FetchPeer, Peer: peer}
	}
	silent := f.Age(now) > f.config.SilenceTimeout
	if !silent && !f.suspicion.active && f.hintedRevision <= f.revision {
		return Action{}
	}
	if now >= f.nextPlatformRead {
		f.scheduleNext(now, 0)
		interval := f.config.PlatformInterval()
		f.nextPlatformRead = now + interval/2 + f.jitter(interval)
		return Action{Kind: ReadPlatform}
	}
	f.backoff = min(max(2*f.backoff, f.config.RetryInterval), maxBackoff)
	f.scheduleNext(now, f.backoff-f.config.RetryInterval)
	return Action{Kind: FetchAnyPeer}
}

func (f *Follower) scheduleNext(now, backoff time.Duration) {
	mean := f.config.RetryInterval + backoff
	f.nextAction = now + mean/2 + f.jitter(mean)
}

func (f *Follower) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(f.rnd.Int63n(int64(limit)))
}
