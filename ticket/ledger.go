package ticket

import (
	"time"
)

// State is the state of a ticket as its owner knows it.
type State uint8

const (
	// StateUnknown means that there is no record of the ticket: it is older than the window, or this owner did
	// not mint it.
	StateUnknown State = iota
	// StateFresh means that this request has just claimed the ticket and may run.
	StateFresh
	// StateClaimed means that another copy of the request has claimed the ticket and is in progress.
	StateClaimed
	// StateNotRun means that the request did not run and never will.
	StateNotRun
	// StateAnswered means that the request ran and its answer is cached.
	StateAnswered
	// StateRan means that the request ran and its answer is not cached.
	StateRan
	// StateUndecided means that the request was started and its outcome is not known.
	StateUndecided
	// StateMismatch means that the ticket was used for a different request.
	StateMismatch
)

// Config holds the identity and the limits of a Ledger.
type Config struct {
	Service     uint32
	Server      uint32
	Incarnation uint64
	// Lifetime is how long an unused ticket stays valid. A longer lifetime suits callers that are idle
	// for long, but leaves more time to misuse a leaked ticket.
	Lifetime time.Duration
	// AnswerLifetime is how long an answer is cached for duplicate requests.
	AnswerLifetime time.Duration
	// AnswerBytes limits the total size of the cached answers. A lower limit evicts answers earlier; a
	// duplicate request then learns that the request ran but does not get its answer.
	AnswerBytes int
	// Window is the number of most recent tickets whose state is kept. Each takes a quarter of a byte.
	Window int
}

// DefaultWindow applies if Config.Window is zero. It takes 256 KiB of memory.
const DefaultWindow = 1 << 20

// Verdict is the result of looking up a ticket that a request presents.
type Verdict[A any] struct {
	State State
	// Answer is set only in StateAnswered.
	Answer A
}

// Ledger records the state of each ticket that its owner has minted. It is not safe for concurrent use.
type Ledger[A any] struct {
	config Config
	marks  marks
	// claims maps the sequence of each claimed ticket to the fingerprint of its request.
	claims  map[uint64]uint64
	answers answerCache[A]
}

// NewLedger returns a ledger without tickets.
func NewLedger[A any](config Config) *Ledger[A] {
	if config.Window <= 0 {
		config.Window = DefaultWindow
	}
	return &Ledger[A]{
		config:  config,
		marks:   newMarks(config.Window),
		claims:  make(map[uint64]uint64),
		answers: newAnswerCache[A](config.AnswerBytes, config.AnswerLifetime),
	}
}

// SetLimits changes the ticket lifetime, the answer lifetime and the limit of the answer cache.
func (l *Ledger[A]) SetLimits(lifetime, answerLifetime time.Duration, answerBytes int) {
	l.config.Lifetime = lifetime
	l.answers.limit = answerBytes
	l.answers.lifetime = answerLifetime
}

// Mint issues a new ticket.
func (l *Ledger[A]) Mint(age time.Duration) Ticket {
	return Ticket{
		Service:     l.config.Service,
		Server:      l.config.Server,
		Incarnation: l.config.Incarnation,
		Sequence:    l.marks.extend(),
		Issued:      age.Truncate(time.Millisecond),
	}
}

// Owns reports whether this incarnation of the owner minted t.
func (l *Ledger[A]) Owns(t Ticket) bool {
	c := &l.config
	return t.Service == c.Service && t.Server == c.Server && t.Incarnation == c.Incarnation
}

// Claim looks up t for a request that presents it. StateFresh means that the ticket is now claimed: the
// request may run, and the claim must then be ended with NotRun, Answer, Ran or Undecided. The
// fingerprint identifies the request, so that a ticket used for another request is detected.
func (l *Ledger[A]) Claim(age time.Duration, t Ticket, fingerprint uint64) Verdict[A] {
	if !l.Owns(t) {
		return Verdict[A]{State: StateUnknown}
	}
	if claimed, ok := l.claims[t.Sequence]; ok {
		return Verdict[A]{State: matchFingerprint(claimed, fingerprint, StateClaimed)}
	}
	mark, ok := l.marks.get(t.Sequence)
	if !ok {
		return Verdict[A]{State: StateUnknown}
	}
	switch mark {
	case markRan:
		return l.ranVerdict(age, t.Sequence, fingerprint)
	case markUndecided:
		return Verdict[A]{State: StateUndecided}
	case markNotRun:
		return Verdict[A]{State: StateNotRun}
	}
	if age-t.Issued > l.config.Lifetime {
		l.marks.set(t.Sequence, markNotRun)
		return Verdict[A]{State: StateNotRun}
	}
	l.claims[t.Sequence] = fingerprint
	return Verdict[A]{State: StateFresh}
}

func (l *Ledger[A]) ranVerdict(age time.Duration, sequence, fingerprint uint64) Verdict[A] {
	cached, ok := l.answers.get(age, sequence)
	if !ok {
		return Verdict[A]{State: StateRan}
	}
	state := matchFingerprint(cached.fingerprint, fingerprint, StateAnswered)
	if state != StateAnswered {
		return Verdict[A]{State: state}
	}
	return Verdict[A]{State: state, Answer: cached.answer}
}

func matchFingerprint(recorded, presented uint64, state State) State {
	if recorded != presented {
		return StateMismatch
	}
	return state
}

// NotRun ends a claim whose request did not run. The ticket can never be claimed again.
func (l *Ledger[A]) NotRun(sequence uint64) {
	l.endClaim(sequence, markNotRun)
}

// Ran ends a claim whose request ran without an answer to cache.
func (l *Ledger[A]) Ran(sequence uint64) {
	l.endClaim(sequence, markRan)
}

// Undecided ends a claim whose request was started and whose outcome is not known.
func (l *Ledger[A]) Undecided(sequence uint64) {
	l.endClaim(sequence, markUndecided)
}

// Answer ends a claim whose request ran, and caches its answer of the given size in bytes.
func (l *Ledger[A]) Answer(age time.Duration, sequence uint64, answer A, size int) {
	fingerprint := l.claims[sequence]
	l.endClaim(sequence, markRan)
	l.answers.put(age, sequence, fingerprint, answer, size)
}

func (l *Ledger[A]) endClaim(sequence uint64, mark mark) {
	delete(l.claims, sequence)
	l.marks.set(sequence, mark)
}

// Claims returns the number of claimed tickets.
func (l *Ledger[A]) Claims() int {
	return len(l.claims)
}

// AnswerBytes returns the total size of the cached answers.
func (l *Ledger[A]) AnswerBytes() int {
	return l.answers.bytes
}
