package ticket

import (
	"maps"
	"slices"
	"time"
)

// Record is the exported state of one used ticket. A leaving owner sends it to its successor.
type Record[A any] struct {
	Sequence uint64
	// State is StateAnswered, StateRan or StateUndecided.
	State  State
	Answer A
	// Fingerprint identifies the request. It is set only in StateAnswered.
	Fingerprint uint64
	// Age is the time since the answer was cached.
	Age time.Duration
}

// Bounds is the range of sequences, [First, Next), for which a leaving owner still holds the state.
type Bounds struct {
	First uint64
	Next  uint64
}

// Export returns the bounds and records that a successor needs. A ticket within the bounds that has no
// record was not run. The owner must start no request after calling Export; requests that still run are
// exported as undecided.
func (l *Ledger[A]) Export(age time.Duration) (Bounds, []Record[A]) {
	l.answers.expire(age)
	bounds := Bounds{First: l.marks.floor, Next: l.marks.next}
	var records []Record[A]
	for sequence := bounds.First; sequence < bounds.Next; sequence++ {
		if record, ok := l.record(age, sequence); ok {
			records = append(records, record)
		}
	}
	return bounds, records
}

func (l *Ledger[A]) record(age time.Duration, sequence uint64) (Record[A], bool) {
	if _, running := l.claims[sequence]; running {
		return Record[A]{Sequence: sequence, State: StateUndecided}, true
	}
	mark, _ := l.marks.get(sequence)
	switch mark {
	case markUndecided:
		return Record[A]{Sequence: sequence, State: StateUndecided}, true
	case markRan:
		return l.ranRecord(age, sequence), true
	}
	return Record[A]{}, false
}

func (l *Ledger[A]) ranRecord(age time.Duration, sequence uint64) Record[A] {
	cached, ok := l.answers.get(age, sequence)
	if !ok {
		return Record[A]{Sequence: sequence, State: StateRan}
	}
	return Record[A]{
		Sequence:    sequence,
		State:       StateAnswered,
		Answer:      cached.answer,
		Fingerprint: cached.fingerprint,
		Age:         age - cached.storedAt,
	}
}

// Archive holds the records that a successor has received from one departed owner. It answers queries
// about these tickets and never lets a request start. It is not safe for concurrent use.
type Archive[A any] struct {
	bounds   Bounds
	complete bool
	states   map[uint64]State
	answers  answerCache[A]
}

// NewArchive returns an empty archive. It is incomplete until Complete is called.
func NewArchive[A any](answerBytes int, answerLifetime time.Duration) *Archive[A] {
	return &Archive[A]{states: make(map[uint64]State), answers: newAnswerCache[A](answerBytes, answerLifetime)}
}

// Add stores a record whose answer has the given size in bytes.
func (a *Archive[A]) Add(age time.Duration, r Record[A], size int) {
	state := r.State
	if state == StateAnswered {
		state = StateRan
		a.answers.put(age-r.Age, r.Sequence, r.Fingerprint, r.Answer, size)
	}
	a.states[r.Sequence] = state
}

// Complete marks the archive as complete after the last record has been added. Only then is a ticket
// without a record known not to have run.
func (a *Archive[A]) Complete(bounds Bounds) {
	a.bounds = bounds
	a.complete = true
}

// Find returns the state of the ticket with the given sequence, and its answer if that is still cached.
func (a *Archive[A]) Find(age time.Duration, sequence, fingerprint uint64) Verdict[A] {
	state, ok := a.states[sequence]
	if !ok {
		return Verdict[A]{State: a.stateWithoutRecord(sequence)}
	}
	if state != StateRan {
		return Verdict[A]{State: state}
	}
	cached, ok := a.answers.get(age, sequence)
	if !ok {
		return Verdict[A]{State: StateRan}
	}
	if cached.fingerprint != fingerprint {
		return Verdict[A]{State: StateMismatch}
	}
	return Verdict[A]{State: StateAnswered, Answer: cached.answer}
}

func (a *Archive[A]) stateWithoutRecord(sequence uint64) State {
	if a.complete && sequence >= a.bounds.First && sequence < a.bounds.Next {
		return StateNotRun
	}
	return StateUnknown
}

// Export returns the bounds and records for the next successor, or false if the archive is incomplete.
func (a *Archive[A]) Export(age time.Duration) (Bounds, []Record[A], bool) {
	if !a.complete {
		return Bounds{}, nil, false
	}
	a.answers.expire(age)
	records := make([]Record[A], 0, len(a.states))
	for _, sequence := range slices.Sorted(maps.Keys(a.states)) {
		record := Record[A]{Sequence: sequence, State: a.states[sequence]}
		if cached, ok := a.answers.get(age, sequence); ok {
			record.State = StateAnswered
			record.Answer = cached.answer
			record.Fingerprint = cached.fingerprint
			record.Age = age - cached.storedAt
		}
		records = append(records, record)
	}
	return a.bounds, records, true
}

// SetLimit changes the maximum total size of the cached answers, in bytes.
func (a *Archive[A]) SetLimit(answerBytes int) {
	a.answers.limit = answerBytes
}

// AnswerBytes returns the total size of the cached answers.
func (a *Archive[A]) AnswerBytes() int {
	return a.answers.bytes
}
