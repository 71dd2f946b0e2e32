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

// owner is the part of a ledger that the property is about, so that a broken one can be put in its place.
type owner interface {
	Mint(age time.Duration) ticket.Ticket
	Claim(age time.Duration, t ticket.Ticket, fingerprint uint64) ticket.Verdict[string]
	NotRun(sequence uint64)
	Answer(age time.Duration, sequence uint64, answer string, size int)
	Undecided(sequence uint64)
}

// unburned forgets that a ticket was refused.
type unburned struct {
	*ticket.Ledger[string]
	refused map[uint64]bool
}

func (u *unburned) NotRun(sequence uint64) {
	u.Ledger.NotRun(sequence)
	u.refused[sequence] = true
}

func (u *unburned) Claim(age time.Duration, t ticket.Ticket, fingerprint uint64) ticket.Verdict[string] {
	if u.refused[t.Sequence] {
		delete(u.refused, t.Sequence)
		return ticket.Verdict[string]{State: ticket.StateFresh}
	}
	return u.Ledger.Claim(age, t, fingerprint)
}

// machine drives an owner at random and checks each verdict against what it did itself.
type machine struct {
	owner   owner
	age     time.Duration
	tickets []ticket.Ticket
	claimed []ticket.Ticket
	starts  map[uint64]int
	notRun  map[uint64]bool
	answers map[uint64]string
	broken  string
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
		m.fail(m.starts[presented.Sequence] > 1, "ticket %d was started twice", presented.Sequence)
		m.fail(m.notRun[presented.Sequence], "ticket %d was started after not run", presented.Sequence)
		m.fail(m.age-presented.Issued > testLifetime, "ticket %d was started after its lifetime", presented.Sequence)
	case ticket.StateNotRun:
		m.notRun[presented.Sequence] = true
		_, ran := m.answers[presented.Sequence]
		m.fail(ran, "ticket %d was told not run and ran", presented.Sequence)
	case ticket.StateAnswered:
		m.fail(v.Answer != m.answers[presented.Sequence], "ticket %d got the answer %q", presented.Sequence, v.Answer)
	case ticket.StateRan:
		_, ran := m.answers[presented.Sequence]
		m.fail(!ran, "ticket %d was told that it ran", presented.Sequence)
	case ticket.StateMismatch:
		m.fail(true, "ticket %d did not know its own request", presented.Sequence)
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

func (m *machine) fail(broken bool, format string, args ...any) {
	if broken && m.broken == "" {
		m.broken = fmt.Sprintf(format, args...)
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
		if m.broken != "" {
			t.Fatal(m.broken)
		}
		if l.AnswerBytes() > testAnswerBytes {
			t.Fatalf("%d bytes of answers", l.AnswerBytes())
		}
	})
}

func TestPropertyCatchesATicketThatIsNotBurned(t *testing.T) {
	caught := false
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(&unburned{Ledger: newLedger(), refused: make(map[uint64]bool)})
		run(t, m)
		caught = caught || m.broken != ""
	})
	if !caught {
		t.Fatal("the broken ledger went unnoticed")
	}
}

// TestArchiveAgreesWithItsOwner checks that a successor never contradicts what the owner did.
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
			t.Fatalf("ticket %d was started and the archive says not run", presented.Sequence)
		}
	case ticket.StateAnswered:
		if v.Answer != answer {
			t.Fatalf("ticket %d has the answer %q", presented.Sequence, v.Answer)
		}
	case ticket.StateRan:
		if !ran {
			t.Fatalf("ticket %d did not run", presented.Sequence)
		}
	}
}

func TestForgottenTicketsAreUnknown(t *testing.T) {
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

func TestArchiveKeepsToItsBytes(t *testing.T) {
	archive := ticket.NewArchive[string](testAnswerBytes, testLifetime)
	for sequence := range uint64(10) {
		archive.Add(0, ticket.Record[string]{Sequence: sequence, State: ticket.StateAnswered, Answer: "answer"}, testAnswerBytes/2)
	}
	archive.SetLimit(testAnswerBytes / 2)
	archive.Add(0, ticket.Record[string]{Sequence: 10, State: ticket.StateAnswered, Answer: "answer"}, testAnswerBytes/2)
	if archive.AnswerBytes() > testAnswerBytes/2 {
		t.Fatalf("%d bytes", archive.AnswerBytes())
	}
	if v := archive.Find(0, 0, 0); v.State != ticket.StateRan {
		t.Fatalf("evicted answer: state %v", v.State)
	}
}
