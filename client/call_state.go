package client

import (
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// maxRepeats limits how often a call sends the same ticket again while its outcome is unknown.
const maxRepeats = 8

// decision is what a call does after a failed attempt.
type decision struct {
	// err, if not nil, ends the call.
	err *Error
	// countsAsRetry is set if the next attempt counts against the retry budget.
	countsAsRetry bool
	// reconnect is set if the next attempt must use a new connection.
	reconnect bool
	// after is the delay before the next attempt, as requested by the service.
	after time.Duration
	// backoff is set if the service did not answer and so requested no delay; the next attempt then
	// waits for an exponential backoff.
	backoff bool
}

// callState is the state of one call across its attempts. It decides how to proceed and does no I/O.
type callState struct {
	idempotent bool
	ticket     []byte
	// mayHaveRun is set while an earlier attempt may have run: one with the current ticket, or any of an
	// idempotent request.
	mayHaveRun bool
	repeats    int
}

// onNoAnswer handles an attempt that got neither an answer nor a refusal.
func (s *callState) onNoAnswer(cause error) decision {
	if s.idempotent {
		s.mayHaveRun = true
		return decision{countsAsRetry: true, reconnect: true, backoff: true}
	}
	if len(s.ticket) > 0 {
		s.mayHaveRun = true
	}
	return s.repeat(decision{reconnect: true, backoff: true}, "no valid answer received", cause)
}

func (s *callState) onRefusal(r *bramleyv1.Refusal) decision {
	after := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	switch r.GetOutcome() {
	case bramleyv1.Outcome_OUTCOME_NOT_RUN:
		return s.onNotRun(r, after)
	case bramleyv1.Outcome_OUTCOME_NOT_DELIVERED:
		return s.onNotDelivered(r, after)
	case bramleyv1.Outcome_OUTCOME_ALREADY_RUN:
		return decision{err: &Error{Outcome: ErrAlreadyRun, Reason: r.GetReason()}}
	case bramleyv1.Outcome_OUTCOME_FAILED:
		return decision{err: &Error{Outcome: ErrFailed, Reason: r.GetReason()}}
	}
	s.mayHaveRun = true
	if s.idempotent {
		return decision{countsAsRetry: true, after: after}
	}
	return s.repeat(decision{after: after}, r.GetReason(), nil)
}

// onNotRun switches to the ticket that comes with the refusal. If the attempt had no ticket, it only
// obtained the first one, and the next attempt does not count as a retry.
func (s *callState) onNotRun(r *bramleyv1.Refusal, after time.Duration) decision {
	if s.idempotent {
		return decision{countsAsRetry: true, after: after}
	}
	first := len(s.ticket) == 0
	s.ticket = r.GetNextTicket()
	s.mayHaveRun = false
	return decision{countsAsRetry: !first, reconnect: len(s.ticket) == 0, after: after}
}

// onNotDelivered replaces the ticket only if no earlier attempt can have reached the owner of the
// current one. Otherwise the request could run once for each ticket.
func (s *callState) onNotDelivered(r *bramleyv1.Refusal, after time.Duration) decision {
	if s.idempotent {
		return decision{countsAsRetry: true, after: after}
	}
	if s.mayHaveRun {
		return s.repeat(decision{after: after}, r.GetReason(), nil)
	}
	s.ticket = r.GetNextTicket()
	return decision{countsAsRetry: true, reconnect: len(s.ticket) == 0, after: after}
}

// repeat sends the request again with the same ticket, at most maxRepeats times in a call.
func (s *callState) repeat(next decision, reason string, cause error) decision {
	s.repeats++
	if s.repeats > maxRepeats {
		return decision{err: s.endError(reason, cause)}
	}
	return next
}

// endError returns the error of a call that ends without an answer or a final refusal.
func (s *callState) endError(reason string, cause error) *Error {
	outcome := ErrNotRun
	if s.mayHaveRun {
		outcome = ErrUnknown
	}
	return &Error{Outcome: outcome, Reason: reason, Cause: cause}
}
