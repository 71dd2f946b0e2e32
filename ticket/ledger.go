package ticket

import (
	"time"
)

// State says what the owner knows about a ticket.
type State uint8

const (
	// StateUnknown means that the ledger no longer remembers, or never knew, the ticket.
	StateUnknown State = iota
	// StateFresh means that the ticket has just been claimed by this request, which may run.
	StateFresh
	// StateClaimed means that another copy of the request holds the ticket.
	StateClaimed
	// StateNotRun means that the request did not run and never will.
	StateNotRun
	// StateAnswered means that the request ran and its answer is held.
	StateAnswered
	// StateRan means that the request ran and its answer is not held.
	StateRan
	// StateUndecided means that the request was started and its outcome is not known.
	StateUndecided
	// StateMismatch means that the ticket was spent on a different request.
	StateMismatch
)

// Config bounds a ledger.
type Config struct {
	Service     uint32
	Server      uint32
	Incarnation uint64
	// Lifetime is how long an unused ticket stays valid. Longer tolerates idle callers, at the cost of
	// a longer exposure of each ticket.
	Lifetime time.Duration
	// AnswerLifetime is how long an answer is held for repeats.
	AnswerLifetime time.Duration
	// AnswerBytes bounds the answers held, in bytes. Fewer bytes evict answers earlier; a repeat then
	// learns that the request ran but not the answer.
	AnswerBytes int
	// Window is how many of the newest tickets are remembered, at a quarter byte each.
	Window int
}

// DefaultWindow is used when Config.Window is zero: 256 KiB of memory.
const DefaultWindow = 1 << 20

// Verdict is the answer of a ledger to a request that presents a ticket.
type Verdict[A any] struct {
	State State
	// Answer is set in StateAnswered.
	Answer A
}

// Ledger is the owner's memory of its tickets. It is not safe for concurrent use.
type Ledger[A any] struct {
	config  Config
	marks   marks
	claims  map[uint64]uint64
	answers answers[A]
}

// NewLedger returns an empty ledger.
func NewLedger[A any](config Config) *Ledger[A] {
	if config.Window <= 0 {
		config.Window = DefaultWindow
	}
	return &Ledger[A]{
		config:  config,
		marks:   newMarks(config.Window),
		claims:  make(map[uint64]uint64),
		answers: newAnswers[A](config.AnswerBytes, config.AnswerLifetime),
	}
}

// SetLimits changes the lifetimes and the bound of the answers.
func (l *Ledger[A]) SetLimits(lifetime, answerLifetime time.Duration, answerBytes int) {
	l.config.Lifetime = lifetime
	l.answers.limit = answerBytes
	l.answers.lifetime = answerLifetime
}

// Mint returns a ticket that was never used.
func (l *Ledger[A]) Mint(age time.Duration) Ticket {
	return Ticket{
		Service:     l.config.Service,
		Server:      l.config.Server,
		Incarnation: l.config.Incarnation,
		Sequence:    l.marks.extend(),
		Issued:      age.Truncate(time.Millisecond),
	}
}

// Owns reports whether the ledger's incarnation minted t.
func (l *Ledger[A]) Owns(t Ticket) bool {
	c := &l.config
	return t.Service == c.Service && t.Server == c.Server && t.Incarnation == c.Incarnation
}

// Claim decides what a request that presents t may do. StateFresh claims the ticket: the request must
// end it by NotRun, Answer, Ran or Undecided. The fingerprint identifies the request itself.
func (l *Ledger[A]) Claim(age time.Duration, t Ticket, fingerprint uint64) Verdict[A] {
	if !l.Owns(t) {
		return Verdict[A]{State: StateUnknown}
	}
	if holder, ok := l.claims[t.Sequence]; ok {
		return Verdict[A]{State: match(holder, fingerprint, StateClaimed)}
	}
	mark, ok := l.marks.get(t.Sequence)
	if !ok {
		return Verdict[A]{State: StateUnknown}
	}
	switch mark {
	case markRan:
		return l.ran(age, t.Sequence, fingerprint)
	case markUndecided:
		return Verdict[A]{State: StateUndecided}
	case markBurned:
		return Verdict[A]{State: StateNotRun}
	}
	if age-t.Issued > l.config.Lifetime {
		l.marks.set(t.Sequence, markBurned)
		return Verdict[A]{State: StateNotRun}
	}
	l.claims[t.Sequence] = fingerprint
	return Verdict[A]{State: StateFresh}
}

func (l *Ledger[A]) ran(age time.Duration, sequence, fingerprint uint64) Verdict[A] {
	held, ok := l.answers.get(age, sequence)
	if !ok {
		return Verdict[A]{State: StateRan}
	}
	state := match(held.fingerprint, fingerprint, StateAnswered)
	if state != StateAnswered {
		return Verdict[A]{State: state}
	}
	return Verdict[A]{State: state, Answer: held.answer}
}

func match(holder, fingerprint uint64, state State) State {
	if holder != fingerprint {
		return StateMismatch
	}
	return state
}

// NotRun ends a claim whose request did not run; the ticket never runs.
func (l *Ledger[A]) NotRun(sequence uint64) {
	l.settle(sequence, markBurned)
}

// Ran ends a claim whose request ran and whose answer is not held.
func (l *Ledger[A]) Ran(sequence uint64) {
	l.settle(sequence, markRan)
}

// Undecided ends a claim whose request was started and whose outcome is not known.
func (l *Ledger[A]) Undecided(sequence uint64) {
	l.settle(sequence, markUndecided)
}

// Answer ends a claim whose request ran, and holds its answer of the given size in bytes.
func (l *Ledger[A]) Answer(age time.Duration, sequence uint64, answer A, size int) {
	fingerprint := l.claims[sequence]
	l.settle(sequence, markRan)
	l.answers.put(age, sequence, fingerprint, answer, size)
}

func (l *Ledger[A]) settle(sequence uint64, mark mark) {
	delete(l.claims, sequence)
	l.marks.set(sequence, mark)
}

// Claims returns how many tickets are claimed.
func (l *Ledger[A]) Claims() int {
	return len(l.claims)
}

// AnswerBytes returns the size of the answers held, in bytes.
func (l *Ledger[A]) AnswerBytes() int {
	return l.answers.bytes
}
