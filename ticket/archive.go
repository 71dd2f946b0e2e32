package ticket

import (
	"maps"
	"slices"
	"time"
)

// Record is what a leaving owner tells its successor about one ticket that was used.
type Record[A any] struct {
	Sequence uint64
	// State is StateAnswered, StateRan or StateUndecided.
	State  State
	Answer A
	// Fingerprint identifies the request in StateAnswered.
	Fingerprint uint64
	// Age is how long the answer has been held.
	Age time.Duration
}

// Bounds are the sequences that a leaving owner remembers: [Floor, Next).
type Bounds struct {
	Floor uint64
	Next  uint64
}

// Export returns what a successor needs. A ticket within the bounds that has no record was not run.
// The owner must start nothing from then on; what it still runs is exported as undecided.
func (l *Ledger[A]) Export(age time.Duration) (Bounds, []Record[A]) {
	l.answers.expire(age)
	bounds := Bounds{Floor: l.marks.floor, Next: l.marks.next}
	var records []Record[A]
	for sequence := bounds.Floor; sequence < bounds.Next; sequence++ {
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
	held, ok := l.answers.get(age, sequence)
	if !ok {
		return Record[A]{Sequence: sequence, State: StateRan}
	}
	return Record[A]{
		Sequence:    sequence,
		State:       StateAnswered,
		Answer:      held.answer,
		Fingerprint: held.fingerprint,
		Age:         age - held.at,
	}
}

// Archive is a successor's memory of the tickets of one owner that has left. It never starts anything.
// It is not safe for concurrent use.
type Archive[A any] struct {
	bounds   Bounds
	complete bool
	states   map[uint64]State
	answers  answers[A]
}

// NewArchive returns an archive that waits for records.
func NewArchive[A any](answerBytes int, answerLifetime time.Duration) *Archive[A] {
	return &Archive[A]{states: make(map[uint64]State), answers: newAnswers[A](answerBytes, answerLifetime)}
}

// Add stores a record of the given size in bytes.
func (a *Archive[A]) Add(age time.Duration, r Record[A], size int) {
	state := r.State
	if state == StateAnswered {
		state = StateRan
		a.answers.put(age-r.Age, r.Sequence, r.Fingerprint, r.Answer, size)
	}
	a.states[r.Sequence] = state
}

// Complete marks that every record has been added.
func (a *Archive[A]) Complete(bounds Bounds) {
	a.bounds = bounds
	a.complete = true
}

// Find returns what is known about the ticket with the given sequence.
func (a *Archive[A]) Find(age time.Duration, sequence, fingerprint uint64) Verdict[A] {
	state, ok := a.states[sequence]
	if !ok {
		return Verdict[A]{State: a.absent(sequence)}
	}
	if state != StateRan {
		return Verdict[A]{State: state}
	}
	held, ok := a.answers.get(age, sequence)
	if !ok {
		return Verdict[A]{State: StateRan}
	}
	if held.fingerprint != fingerprint {
		return Verdict[A]{State: StateMismatch}
	}
	return Verdict[A]{State: StateAnswered, Answer: held.answer}
}

func (a *Archive[A]) absent(sequence uint64) State {
	if a.complete && sequence >= a.bounds.Floor && sequence < a.bounds.Next {
		return StateNotRun
	}
	return StateUnknown
}

// Export returns what the next successor needs, or false if the archive is not complete.
func (a *Archive[A]) Export(age time.Duration) (Bounds, []Record[A], bool) {
	if !a.complete {
		return Bounds{}, nil, false
	}
	a.answers.expire(age)
	records := make([]Record[A], 0, len(a.states))
	for _, sequence := range slices.Sorted(maps.Keys(a.states)) {
		record := Record[A]{Sequence: sequence, State: a.states[sequence]}
		if held, ok := a.answers.get(age, sequence); ok {
			record.State = StateAnswered
			record.Answer = held.answer
			record.Fingerprint = held.fingerprint
			record.Age = age - held.at
		}
		records = append(records, record)
	}
	return a.bounds, records, true
}

// SetLimit changes the bound of the answers held, in bytes.
func (a *Archive[A]) SetLimit(answerBytes int) {
	a.answers.limit = answerBytes
}

// AnswerBytes returns the size of the answers held, in bytes.
func (a *Archive[A]) AnswerBytes() int {
	return a.answers.bytes
}
