package request_test

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// ticketState is the state of one ticket in the model.
type ticketState int

const (
	ticketUnused ticketState = iota
	ticketRan
	ticketNotRun
)

// ticketModel specifies which outcomes a copy of a request may get in each state of its ticket, and the state that
// follows from each outcome.
var ticketModel = porcupine.NondeterministicModel{
	Partition: partitionByRequest,
	Init:      func() []any { return []any{ticketUnused} },
	Step: func(state, _, output any) []any {
		return ticketStatesAfter(state.(ticketState), output.(bramleyv1.Outcome))
	},
}

// outcomeAnswered represents an answer in a history.
const outcomeAnswered = bramleyv1.Outcome_OUTCOME_UNSPECIFIED

func ticketStatesAfter(state ticketState, outcome bramleyv1.Outcome) []any {
	switch outcome {
	case outcomeAnswered, bramleyv1.Outcome_OUTCOME_ALREADY_RUN, bramleyv1.Outcome_OUTCOME_FAILED:
		if state == ticketNotRun {
			return nil
		}
		return []any{ticketRan}
	case bramleyv1.Outcome_OUTCOME_NOT_RUN:
		if state == ticketRan {
			return nil
		}
		return []any{ticketNotRun}
	case bramleyv1.Outcome_OUTCOME_UNKNOWN:
		if state == ticketUnused {
			return []any{ticketUnused, ticketRan, ticketNotRun}
		}
	}
	return []any{state}
}

func partitionByRequest(operations []porcupine.Operation) [][]porcupine.Operation {
	byRequest := make(map[string][]porcupine.Operation)
	for _, operation := range operations {
		id := operation.Input.(string)
		byRequest[id] = append(byRequest[id], operation)
	}
	parts := make([][]porcupine.Operation, 0, len(byRequest))
	for _, part := range byRequest {
		parts = append(parts, part)
	}
	return parts
}

// history records the result of every copy of every request.
type history struct {
	start time.Time

	mu           sync.Mutex
	operations   []porcupine.Operation
	outcomes     map[bramleyv1.Outcome]int
	wrongAnswers []string
}

// unboundedReturn is the return time of an operation with an unknown outcome, which may take effect after it has
// returned.
const unboundedReturn = int64(1) << 60

func (h *history) add(client int, id string, called time.Time, answer *bramleyv1.CallResponse, refusal *bramleyv1.Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	outcome := outcomeAnswered
	returned := int64(time.Since(h.start))
	if refusal != nil {
		outcome = refusal.GetOutcome()
	}
	if outcome == bramleyv1.Outcome_OUTCOME_UNKNOWN {
		returned = unboundedReturn
	}
	if answer != nil && string(answer.GetBody()) != "answer to "+id {
		h.wrongAnswers = append(h.wrongAnswers, id)
	}
	h.outcomes[outcome]++
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client,
		Input:    id,
		Call:     int64(called.Sub(h.start)),
		Output:   outcome,
		Return:   returned,
	})
}

// violations checks the history against the ticket model and against the runs that the upstream has counted, and
// returns the violations.
func (h *history) violations(upstream *fakeUpstream) []string {
	var found []string
	for _, id := range h.wrongAnswers {
		found = append(found, id+" got the answer of another request")
	}
	for _, operation := range h.operations {
		found = append(found, checkAgainstRuns(operation, upstream)...)
	}
	if !porcupine.CheckOperations(ticketModel.ToModel(), h.operations) {
		found = append(found, "history is not linearizable")
	}
	return found
}

func checkAgainstRuns(operation porcupine.Operation, upstream *fakeUpstream) []string {
	var found []string
	id := operation.Input.(string)
	runs := upstream.count(id)
	if runs > 1 {
		found = append(found, id+" ran more than once")
	}
	if operation.Output == bramleyv1.Outcome_OUTCOME_NOT_RUN && runs > 0 {
		found = append(found, id+" ran although a caller got the outcome not run")
	}
	if operation.Output == outcomeAnswered && runs == 0 {
		found = append(found, id+" was answered although it did not run")
	}
	return found
}

func TestModelRejectsARunAfterNotRun(t *testing.T) {
	operation := func(call, end int64, outcome bramleyv1.Outcome) porcupine.Operation {
		return porcupine.Operation{Input: "a", Call: call, Return: end, Output: outcome}
	}
	invalid := []porcupine.Operation{
		operation(0, 1, bramleyv1.Outcome_OUTCOME_NOT_RUN),
		operation(2, 3, outcomeAnswered),
	}
	valid := []porcupine.Operation{
		operation(0, 1, outcomeAnswered),
		operation(2, 3, outcomeAnswered),
		operation(0, unboundedReturn, bramleyv1.Outcome_OUTCOME_UNKNOWN),
	}
	if porcupine.CheckOperations(ticketModel.ToModel(), invalid) || !porcupine.CheckOperations(ticketModel.ToModel(), valid) {
		t.Fatal("the model accepts an invalid history or rejects a valid one")
	}
}
