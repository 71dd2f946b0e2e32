package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyrack/bramleyrack/ticket"
)

const (
	testWindow      = 16
	testLifetime    = time.Minute
	testAnswerBytes = 64
)

func newLedger() *ticket.Ledger[string] {
	return ticket.NewLedger[string](ticket.Config{
		Service:        1,
		Server:         2,
		Incarnation:    3,
		Lifetime:       testLifetime,
		AnswerLifetime: testLifetime,
		AnswerBytes:    testAnswerBytes,
		Window:         testWindow,
	})
}

// owner is the part of a Ledger that the property test uses, so that a faulty ledger can replace it.
type owner interface {
	Mint(age time.Duration) ticket.Ticket
	Claim(age time.Duration, t ticket.Ticket, fingerprint uint64) ticket.Verdict[string]
	NotRun(sequence uint64)
	Answer(age time.Duration, sequence uint64, answer string, size int)
	Undecided(sequence uint64)
}

// faultyLedger lets a ticket be claimed again after NotRun, which the property test must detect.
type faultyLedger struct {
	*ticket.Ledger[string]
	endedNotRun map[uint64]bool
}

func (l *faultyLedger) NotRun(sequence uint64) {
	l.Ledger.NotRun(sequence)
	l.endedNotRun[sequence] = true
}

func (l *faultyLedger) Claim(age time.Duration, t ticket.Ticket, fingerprint uint64) ticket.Verdict[string] {
	if l.endedNotRun[t.Sequence] {
		delete(l.endedNotRun, t.Sequence)
		return ticket.Verdict[string]{State: ticket.StateFresh}
	}
	return l.Ledger.Claim(age, t, fingerprint)
}

// machine applies random operations to an owner and checks each verdict against the operations that it
// has applied.
type machine struct {
	owner     owner
	age       time.Duration
	tickets   []ticket.Ticket
	claimed   []ticket.Ticket
	starts    map[uint64]int
	notRun    map[uint64]bool
	answers   map[uint64]string
	violation string
}

func newMachine(o owner) *machine {
	return &machine{
		owner:   o,
		starts:  make(map[uint64]int),
		notRun:  make(map[uint64]bool),
		answers: make(map[uint64]string),
	}
}

func (m *machine) step(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "action") {
	case 0:
		m.tickets = append(m.tickets, m.owner.Mint(m.age))
	case 1, 2:
		m.present(t)
	case 3, 4:
		m.end(t)
	case 5:
		m.age += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
	}
}

func (m *machine) present(t *rapid.T) {
	if len(m.tickets) == 0 {
		return
	}
	presented := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	v := m.owner.Claim(m.age, presented, presented.Sequence)
	switch v.State {
	case ticket.StateFresh:
		m.starts[presented.Sequence]++
		m.claimed = append(m.claimed, presented)
		m.failIf(m.starts[presented.Sequence] > 1, "ticket %d was started twice", presented.Sequence)
		m.failIf(m.notRun[presented.Sequence], "ticket %d was started after it was reported as not run", presented.Sequence)
		m.failIf(m.age-presented.Issued > testLifetime, "ticket %d was started after its lifetime", presented.Sequence)
	case ticket.StateNotRun:
		m.notRun[presented.Sequence] = true
		_, ran := m.answers[presented.Sequence]
		m.failIf(ran, "ticket %d was reported as not run, but ran", presented.Sequence)
	case ticket.StateAnswered:
		m.failIf(v.Answer != m.answers[presented.Sequence], "ticket %d got the wrong answer %q", presented.Sequence, v.Answer)
	case ticket.StateRan:
		_, ran := m.answers[presented.Sequence]
		m.failIf(!ran, "ticket %d was reported as run, but did not run", presented.Sequence)
	case ticket.StateMismatch:
		m.failIf(true, "ticket %d did not match its own request", presented.Sequence)
	}
}

func (m *machine) end(t *rapid.T) {
	if len(m.claimed) == 0 {
		return
	}
	sequence := m.claimed[0].Sequence
	m.claimed = m.claimed[1:]
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		m.owner.NotRun(sequence)
		m.notRun[sequence] = true
	case 1:
		answer := fmt.Sprint("answer ", sequence)
		m.answers[sequence] = answer
		m.owner.Answer(m.age, sequence, answer, len(answer))
	case 2:
		m.owner.Undecided(sequence)
	}
}

func (m *machine) failIf(violated bool, format string, args ...any) {
	if violated && m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

func run(t *rapid.T, m *machine) {
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		m.step(t)
	}
}

func TestEachTicketStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		m := newMachine(l)
		run(t, m)
		if m.violation != "" {
			t.Fatal(m.violation)
		}
		if l.AnswerBytes() > testAnswerBytes {
			t.Fatalf("%d bytes of answers cached, which exceeds the limit", l.AnswerBytes())
		}
	})
}

func TestPropertyDetectsATicketClaimedAgainAfterNotRun(t *testing.T) {
	caught := false
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(&faultyLedger{Ledger: newLedger(), endedNotRun: make(map[uint64]bool)})
		run(t, m)
		caught = caught || m.violation != ""
	})
	if !caught {
		t.Fatal("the property test did not detect the faulty ledger")
	}
}

// TestArchiveAgreesWithItsOwner checks that the archive of a successor never contradicts what the owner
// did.
func TestArchiveAgreesWithItsOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		m := newMachine(l)
		run(t, m)
		archive := ticket.NewArchive[string](testAnswerBytes, testLifetime)
		bounds, records := l.Export(m.age)
		for _, record := range records {
			archive.Add(m.age, record, len(record.Answer))
		}
		archive.Complete(bounds)
		for _, presented := range m.tickets {
			checkArchive(t, m, archive, presented)
		}
	})
}

func checkArchive(t *rapid.T, m *machine, archive *ticket.Archive[string], presented ticket.Ticket) {
	v := archive.Find(m.age, presented.Sequence, presented.Sequence)
	answer, ran := m.answers[presented.Sequence]
	started := m.starts[presented.Sequence] > 0
	switch v.State {
	case ticket.StateNotRun:
		if started && !m.notRun[presented.Sequence] {
			t.Fatalf("ticket %d was started, but the archive reports it as not run", presented.Sequence)
		}
	case ticket.StateAnswered:
		if v.Answer != answer {
			t.Fatalf("archive has the wrong answer for ticket %d: %q", presented.Sequence, v.Answer)
		}
	case ticket.StateRan:
		if !ran {
			t.Fatalf("archive reports ticket %d as run, but it did not run", presented.Sequence)
		}
	}
}

func TestTicketOutsideTheWindowIsUnknown(t *testing.T) {
	l := newLedger()
	first := l.Mint(0)
	for range testWindow {
		l.Mint(0)
	}
	if v := l.Claim(0, first, 1); v.State != ticket.StateUnknown {
		t.Fatalf("state %v", v.State)
	}
}

func TestTicketOfAnotherRequestIsAMismatch(t *testing.T) {
	l := newLedger()
	minted := l.Mint(0)
	l.Claim(0, minted, 1)
	if v := l.Claim(0, minted, 2); v.State != ticket.StateMismatch {
		t.Fatalf("while running: state %v", v.State)
	}
	l.Answer(0, minted.Sequence, "answer", 6)
	if v := l.Claim(0, minted, 2); v.State != ticket.StateMismatch || v.Answer != "" {
		t.Fatalf("after running: %+v", v)
	}
}

func TestArchiveStaysWithinItsByteLimit(t *testing.T) {
	archive := ticket.NewArchive[string](testAnswerBytes, testLifetime)
	for sequence := range uint64(10) {
		archive.Add(0, ticket.Record[string]{Sequence: sequence, State: ticket.StateAnswered, Answer: "answer"}, testAnswerBytes/2)
	}
	archive.SetLimit(testAnswerBytes / 2)
	archive.Add(0, ticket.Record[string]{Sequence: 10, State: ticket.StateAnswered, Answer: "answer"}, testAnswerBytes/2)
	if archive.AnswerBytes() > testAnswerBytes/2 {
		t.Fatalf("%d bytes of answers cached, which exceeds the limit", archive.AnswerBytes())
	}
	if v := archive.Find(0, 0, 0); v.State != ticket.StateRan {
		t.Fatalf("evicted answer: state %v", v.State)
	}
}
