package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bramleyrack/bramleyrack/client"
	"github.com/bramleyrack/bramleyrack/internal/standin/content"
)

// maxAttempts limits the attempts to place one order.
const maxAttempts = 20

// callTimeout is the deadline of one request.
const callTimeout = 8 * time.Second

// orders places orders one after the other.
func (w *worker) orders(startCtx, settleCtx context.Context) {
	for n := 0; startCtx.Err() == nil; n++ {
		w.order(startCtx, settleCtx, fmt.Sprintf("%s-%d", w.name, n))
		w.pause(startCtx)
	}
}

// order places one order. It tries again only after a refusal that states that the order did not run.
func (w *worker) order(startCtx, settleCtx context.Context, item string) {
	for attempt := range maxAttempts {
		body := content.Body{Service: w.target.Service, Item: item, Attempt: attempt}
		outcome := w.call(settleCtx, content.MethodOrder, false, body)
		if outcome != OutcomeNotRun || startCtx.Err() != nil {
			return
		}
		w.pause(startCtx)
	}
}

// retryAfter returns the time after which the service asks the caller to retry, or zero.
func retryAfter(err error) time.Duration {
	var refusal *client.Error
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return 0
}

func (w *worker) sheets(startCtx, settleCtx context.Context) {
	for n := 0; startCtx.Err() == nil; n++ {
		body := content.Body{Service: w.target.Service, Item: fmt.Sprintf("%s-%d", w.name, n)}
		w.call(settleCtx, content.MethodSheet, true, body)
		w.pause(startCtx)
	}
}

func (w *worker) photos(startCtx, settleCtx context.Context) {
	for n := 0; startCtx.Err() == nil; n++ {
		item := fmt.Sprintf("%s-%d", w.name, n)
		padding := fmt.Sprintf("%0*x", w.config.PhotoBytes, n)
		w.call(settleCtx, content.MethodPhoto, true, content.Body{Service: w.target.Service, Item: item, Padding: padding})
		w.pause(startCtx)
	}
}

// call sends one request, checks the answer and records the outcome.
func (w *worker) call(ctx context.Context, method string, idempotent bool, body content.Body) Outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data := body.Encode()
	start := time.Now()
	answer, err := w.client.Call(ctx, method, idempotent, data)
	latency := time.Since(start)
	outcome := outcomeOf(err)
	w.recordAttempt(method, body, outcome, err)
	if err != nil {
		w.sleep(ctx, retryAfter(err))
		return outcome
	}
	if string(answer.GetBody()) != string(content.Answer(method, data)) {
		w.collector.addProblem(func(r *Result) { r.WrongAnswers++ }, body.Item+" got the answer to another request")
		return outcome
	}
	w.completed++
	w.collector.update(func(r *Result) {
		r.Calls++
		r.CallMilliseconds = append(r.CallMilliseconds, float64(latency.Microseconds())/1000)
	})
	return outcome
}

// recordAttempt counts a failed attempt, and keeps the outcomes of all attempts to place an order.
func (w *worker) recordAttempt(method string, body content.Body, outcome Outcome, err error) {
	attempt := Attempt{Item: body.Item, Attempt: body.Attempt, Outcome: outcome}
	if err != nil {
		attempt.Detail = err.Error()
		w.collector.addProblem(countFailure(outcome), fmt.Sprintf("%s attempt %d: %v", body.Item, body.Attempt, err))
	}
	if method == content.MethodOrder {
		w.collector.update(func(r *Result) { r.Attempts = append(r.Attempts, attempt) })
	}
}

// countFailure returns the function that counts an attempt that failed with the given outcome.
func countFailure(outcome Outcome) func(*Result) {
	if outcome == OutcomeUnknown {
		return func(r *Result) { r.Unknown++ }
	}
	return func(r *Result) { r.Refused++ }
}

// outcomeOf returns the outcome that an error reports. Any unexpected error leaves the outcome unknown.
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
