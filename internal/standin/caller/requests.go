package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bramleyrack/bramleyrack/client"
	"github.com/bramleyrack/bramleyrack/internal/standin/content"
)

// maxAttempts bounds the tries to place one order.
const maxAttempts = 20

// callTimeout is the deadline that a caller gives to one request.
const callTimeout = 8 * time.Second

// orders places orders one after the other; an order is placed again only after a refusal that says
// that it did not run.
func (w *worker) orders(starting, settling context.Context) {
	for n := 0; starting.Err() == nil; n++ {
		w.order(starting, settling, fmt.Sprintf("%s-%d", w.name, n))
		w.pause(starting)
	}
}

func (w *worker) order(starting, settling context.Context, item string) {
	for attempt := range maxAttempts {
		body := content.Body{Service: w.target.Service, Item: item, Attempt: attempt}
		outcome := w.call(settling, content.MethodOrder, false, body)
		if outcome != OutcomeNotRun || starting.Err() != nil {
			return
		}
		w.pause(starting)
	}
}

// waitFor returns when the service wants the caller back after an error.
func waitFor(err error) time.Duration {
	var refusal *client.Error
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return 0
}

func (w *worker) sheets(starting, settling context.Context) {
	for n := 0; starting.Err() == nil; n++ {
		body := content.Body{Service: w.target.Service, Item: fmt.Sprintf("%s-%d", w.name, n)}
		w.call(settling, content.MethodSheet, true, body)
		w.pause(starting)
	}
}

func (w *worker) photos(starting, settling context.Context) {
	for n := 0; starting.Err() == nil; n++ {
		item := fmt.Sprintf("%s-%d", w.name, n)
		padding := fmt.Sprintf("%0*x", w.config.PhotoBytes, n)
		w.call(settling, content.MethodPhoto, true, content.Body{Service: w.target.Service, Item: item, Padding: padding})
		w.pause(starting)
	}
}

// call sends one request, checks the answer and keeps the outcome.
func (w *worker) call(ctx context.Context, method string, idempotent bool, body content.Body) Outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data := body.Encode()
	start := time.Now()
	answer, err := w.client.Call(ctx, method, idempotent, data)
	took := time.Since(start)
	outcome := outcomeOf(err)
	w.keep(method, body, outcome, err)
	if err != nil {
		w.sleep(ctx, waitFor(err))
		return outcome
	}
	if string(answer.GetBody()) != string(content.Answer(method, data)) {
		w.tally.problem(func(r *Result) { r.WrongAnswers++ }, body.Item+" got the answer to another request")
		return outcome
	}
	w.done++
	w.tally.change(func(r *Result) {
		r.Calls++
		r.CallMilliseconds = append(r.CallMilliseconds, float64(took.Microseconds())/1000)
	})
	return outcome
}

func (w *worker) keep(method string, body content.Body, outcome Outcome, err error) {
	attempt := Attempt{Item: body.Item, Attempt: body.Attempt, Outcome: outcome}
	if err != nil {
		attempt.Detail = err.Error()
		w.tally.problem(count(outcome), fmt.Sprintf("%s attempt %d: %v", body.Item, body.Attempt, err))
	}
	if method == content.MethodOrder {
		w.tally.change(func(r *Result) { r.Attempts = append(r.Attempts, attempt) })
	}
}

func count(outcome Outcome) func(*Result) {
	if outcome == OutcomeUnknown {
		return func(r *Result) { r.Unknown++ }
	}
	return func(r *Result) { r.Refused++ }
}

func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeAnswered
	case errors.Is(err, client.ErrNotRun):
		return OutcomeNotRun
	case errors.Is(err, client.ErrAlreadyRun):
		return OutcomeAlreadyRun
	case errors.Is(err, client.ErrFailed):
		return OutcomeFailed
	default:
		return OutcomeUnknown
	}
}
