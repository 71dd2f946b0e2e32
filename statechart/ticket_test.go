package statechart_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/statechart"
	"github.com/bramleyrack/bramleyrack/ticket"
)

const (
	ticketLifetime = time.Minute
	answerLifetime = 2 * time.Minute
	fingerprint    = 1
)

// ticketVerdicts is what the ledger tells a copy of the request in each state of the chart.
var ticketVerdicts = map[statechart.State]ticket.State{
	"claimed":   ticket.StateClaimed,
	"not_run":   ticket.StateNotRun,
	"answered":  ticket.StateAnswered,
	"ran":       ticket.StateRan,
	"undecided": ticket.StateUndecided,
}

// ticketModel drives a ledger and a machine of the ticket chart side by side.
type ticketModel struct {
	t       *testing.T
	machine *statechart.Machine
	ledger  *ticket.Ledger[string]
	ticket  ticket.Ticket
	age     time.Duration
	starts  int
}

func newTicketModel(t *testing.T, chart *statechart.Chart) *ticketModel {
	ledger := ticket.NewLedger[string](ticket.Config{
		Lifetime:       ticketLifetime,
		AnswerLifetime: answerLifetime,
		AnswerBytes:    1000,
		Window:         64,
	})
	return &ticketModel{t: t, machine: chart.NewMachine(), ledger: ledger, ticket: ledger.Mint(0)}
}

// fire lets an event happen on both sides, unless the chart rejects it.
func (m *ticketModel) fire(event statechart.Event) {
	from := m.machine.State()
	if m.machine.Fire(event) != nil {
		return
	}
	sequence := m.ticket.Sequence
	switch event {
	case "claim":
		if m.ledger.Claim(m.age, m.ticket, fingerprint).State == ticket.StateFresh {
			m.starts++
		}
	case "answer":
		m.ledger.Answer(m.age, sequence, "done", 1)
	case "finish":
		m.ledger.Ran(sequence)
	case "lose":
		m.ledger.Undecided(sequence)
	case "burn":
		m.ledger.NotRun(sequence)
	case "expire":
		m.age = max(m.age, ticketLifetime+time.Second)
	case "evict":
		if from == "answered" {
			m.age += answerLifetime + time.Second
		}
	}
}

// check compares what a copy of the request is told with the state of the machine.
func (m *ticketModel) check(event statechart.Event) {
	m.t.Helper()
	want, told := ticketVerdicts[m.machine.State()]
	if !told {
		return
	}
	if got := m.ledger.Claim(m.age, m.ticket, fingerprint).State; got != want {
		m.t.Fatalf("after %s the chart is in %s and the ledger says %v", event, m.machine.State(), got)
	}
}

// TestLedgerFollowsTheTicketChart compares the ledger with the chart over random events.
func TestLedgerFollowsTheTicketChart(t *testing.T) {
	chart, err := statechart.Builtin(statechart.Ticket)
	if err != nil {
		t.Fatal(err)
	}
	rnd := rand.New(rand.NewSource(1))
	events := chart.Events()
	for range 2000 {
		m := newTicketModel(t, chart)
		for range 12 {
			event := events[rnd.Intn(len(events))]
			m.fire(event)
			m.check(event)
		}
		if m.starts > 1 {
			t.Fatalf("the request started %d times", m.starts)
		}
	}
}
