package dissemination

import (
	"math/rand"
	"time"
)

const (
	// bootstrapTries is how many peers a process asks in vain before the platform's word suffices.
	bootstrapTries = 2
	// leastPlatformInterval is the least mean time between two reads of the platform by a follower,
	// however small the fleet, so that followers do not crowd out the watch of their own process.
	leastPlatformInterval = time.Second
	// maxBackoff bounds the time between two questions to peers while nobody has news.
	maxBackoff = 4 * time.Second
)

// FollowerConfig holds the time limits of a Follower.
type FollowerConfig struct {
	// SilenceTimeout is the age of the platform's last confirmation beyond which the process asks
	// peers and the platform itself. A short one finds a lost revision sooner; a long one saves calls.
	SilenceTimeout time.Duration
	// RetryInterval is the least mean time between two actions.
	RetryInterval time.Duration
	// FleetSize is the number of processes that share the platform's budget.
	FleetSize int
	// CallsPerSecond is the platform's budget for the whole fleet.
	CallsPerSecond float64
	// BudgetShare is the part of the budget that followers may use; the rest is for readers.
	BudgetShare float64
}

// DefaultFollowerConfig returns limits for a fleet of the given size.
func DefaultFollowerConfig(fleet int) FollowerConfig {
	return FollowerConfig{
		SilenceTimeout: 4 * time.Second,
		RetryInterval:  250 * time.Millisecond,
		FleetSize:      fleet,
		CallsPerSecond: 2000,
		BudgetShare:    0.5,
	}
}

// PlatformInterval returns the mean time between two reads of the platform by one process, so that
// a whole fleet that hears nothing stays within the budget.
func (c FollowerConfig) PlatformInterval() time.Duration {
	budget := c.CallsPerSecond * c.BudgetShare
	if budget <= 0 {
		return c.SilenceTimeout
	}
	interval := time.Duration(float64(max(1, c.FleetSize)) / budget * float64(time.Second))
	return max(interval, leastPlatformInterval)
}

// ActionKind says what a follower should do.
type ActionKind int

// The kinds of actions.
const (
	// NoAction means that the process is up to date or must wait.
	NoAction ActionKind = iota
	// FetchPeer means to ask the named peer for the value.
	FetchPeer
	// FetchAnyPeer means to ask any peer for the value.
	FetchAnyPeer
	// ReadPlatform means to read the platform.
	ReadPlatform
)

// Action is a decision of a Follower.
type Action struct {
	Kind ActionKind
	// Peer is the address to ask, for FetchPeer.
	Peer string
}

// Observation is what a message of a peer tells about its revision.
type Observation struct {
	Revision uint64
	Peer     string
	// Age is the time since the platform last confirmed the revision to the peer, directly or
	// through a chain of peers.
	Age time.Duration
	// Suspect says that the peer does not trust its own view.
	Suspect bool
	// AgeKnown says that the message carried an age.
	AgeKnown bool
}

// Follower decides how one process keeps up with the newest revision. It is not safe for
// concurrent use.
type Follower struct {
	config   FollowerConfig
	rnd      *rand.Rand
	revision uint64
	// confirmed is when the platform last said that the revision is its newest.
	confirmed time.Duration
	hinted    uint64
	hintPeer  string
	nextTry   time.Duration
	nextRead  time.Duration
	backoff   time.Duration
	suspicion suspicion
}

// suspicion tracks what a process that does not trust its view has tried since.
type suspicion struct {
	active         bool
	peerConfirmed  bool
	platformSpoke  bool
	peersAnswered  int
	peersAttempted int
}

// resolved reports whether the view can be trusted again: a peer that trusts its own view has
// confirmed it; or peers were asked in vain and the platform has spoken; or several peers that
// suspect themselves as well have all answered, so that nobody knows better.
func (s suspicion) resolved() bool {
	if s.peerConfirmed {
		return true
	}
	tried := s.peersAttempted >= bootstrapTries
	return tried && (s.platformSpoke || s.peersAnswered >= bootstrapTries)
}

// NewFollower returns a follower that holds no revision. Its first read of the platform is at a
// random time within one interval, so that a fleet that starts at once spreads its reads.
func NewFollower(config FollowerConfig, now time.Duration, rnd *rand.Rand) *Follower {
	f := &Follower{config: config, rnd: rnd, confirmed: now}
	f.suspicion.active = true
	f.nextRead = now + f.jitter(config.PlatformInterval())
	return f
}

// SetFleetSize sets the number of processes that share the platform's budget.
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

// Accepts reports whether a revision is to be put in force: only one above that in force is.
func (f *Follower) Accepts(revision uint64) bool {
	return revision > f.revision
}

// Adopt notes that a revision is in force, with the age of its confirmation. It returns false and
// changes nothing for a revision that is not above the one in force.
func (f *Follower) Adopt(now time.Duration, revision uint64, age time.Duration) bool {
	if !f.Accepts(revision) {
		return false
	}
	f.revision = revision
	f.confirmed = now - age
	f.backoff = 0
	f.settle()
	return true
}

// Observe takes in what a message of a peer tells.
func (f *Follower) Observe(now time.Duration, o Observation) {
	if o.Revision > f.revision && o.Revision >= f.hinted {
		f.hinted = o.Revision
		f.hintPeer = o.Peer
		return
	}
	if o.Revision == f.revision && o.Revision > 0 && o.AgeKnown {
		f.confirmed = max(f.confirmed, now-o.Age)
	}
}

// PeerAnswered notes that a peer answered a question asked by this process.
func (f *Follower) PeerAnswered(now time.Duration, o Observation) {
	f.Observe(now, o)
	f.suspicion.peersAttempted++
	f.suspicion.peersAnswered++
	if !o.Suspect && o.Revision > 0 && o.Revision <= f.revision {
		f.suspicion.peerConfirmed = true
	}
	f.settle()
}

// PeerFailed notes that a peer did not answer, or that there is none to ask.
func (f *Follower) PeerFailed() {
	f.suspicion.peersAttempted++
	f.settle()
}

// PlatformAnswered notes a read of the platform that returned the given revision. A revision
// below the one in force is stale and confirms nothing.
func (f *Follower) PlatformAnswered(now time.Duration, revision uint64) {
	f.suspicion.platformSpoke = true
	if revision == f.revision && revision > 0 {
		f.confirmed = now
		f.backoff = 0
	}
	f.settle()
}

// Suspect marks the view as old, for instance after a pause of the process.
func (f *Follower) Suspect() {
	f.suspicion = suspicion{active: true}
	f.nextTry = 0
	f.backoff = 0
}

// Suspected reports whether the view awaits a confirmation.
func (f *Follower) Suspected() bool {
	return f.suspicion.active
}

func (f *Follower) settle() {
	if f.revision == 0 || f.hinted > f.revision {
		return
	}
	if f.suspicion.resolved() {
		f.suspicion.active = false
	}
}

// Reject notes that a revision was read and is not valid, so that it is not fetched again.
func (f *Follower) Reject(revision uint64) {
	if revision >= f.hinted {
		f.hinted = 0
		f.hintPeer = ""
	}
	f.settle()
}

// Next returns what to do at this time. A hint names the peer that holds a higher revision; silence
// and suspicion ask any peer, and the platform as often as the budget allows.
func (f *Follower) Next(now time.Duration) Action {
	if now < f.nextTry {
		return Action{}
	}
	if f.hinted > f.revision && f.hintPeer != "" {
		f.delay(now, 0)
		peer := f.hintPeer
		f.hintPeer = ""
		return Action{Kind: FetchPeer, Peer: peer}
	}
	silent := f.Age(now) > f.config.SilenceTimeout
	if !silent && !f.suspicion.active && f.hinted <= f.revision {
		return Action{}
	}
	if now >= f.nextRead {
		f.delay(now, 0)
		interval := f.config.PlatformInterval()
		f.nextRead = now + interval/2 + f.jitter(interval)
		return Action{Kind: ReadPlatform}
	}
	f.backoff = min(max(2*f.backoff, f.config.RetryInterval), maxBackoff)
	f.delay(now, f.backoff-f.config.RetryInterval)
	return Action{Kind: FetchAnyPeer}
}

func (f *Follower) delay(now, backoff time.Duration) {
	mean := f.config.RetryInterval + backoff
	f.nextTry = now + mean/2 + f.jitter(mean)
}

func (f *Follower) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(f.rnd.Int63n(int64(limit)))
}
