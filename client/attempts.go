package client

import (
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// maxRepeats bounds how often a call asks again about a ticket whose outcome is not known.
const maxRepeats = 8

// step says what a call does after an attempt.
type step struct {
	// end is set when the call is over.
	end *Error
	// retry is set when the attempt counts against the retry budget.
	retry bool
	// reconnect is set when the next attempt needs a new connection.
	reconnect bool
	// after is the wait before the next attempt that the service asks for.
	after time.Duration
	// backoff is set when the service asked for no wait and the call must choose one.
	backoff bool
}

// attempts is the memory of one call across its attempts. It decides and does no input or output.
type attempts struct {
	idempotent bool
	ticket     []byte
	// exposed is set while an attempt may have run: one with the ticket in hand that may have reached its
	// owner, or any lost attempt of an idempotent request.
	exposed bool
	repeats int
}

// lost decides after an attempt without any answer of the service.
func (a *attempts) lost(cause error) step {
	if a.idempotent {
		a.exposed = true
		return step{retry: true, reconnect: true, backoff: true}
	}
	if len(a.ticket) > 0 {
		a.exposed = true
	}
	return a.repeat(step{reconnect: true, backoff: true}, "connection was lost", cause)
}

// refused decides after a refusal.
func (a *attempts) refused(r *bramleyv1.Refusal) step {
	after := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	switch r.GetOutcome() {
	case bramleyv1.Outcome_OUTCOME_NOT_RUN:
		return a.notRun(r, after)
	case bramleyv1.Outcome_OUTCOME_NOT_DELIVERED:
		return a.notDelivered(r, after)
	case bramleyv1.Outcome_OUTCOME_ALREADY_RUN:
		return step{end: &Error{Outcome: ErrAlreadyRun, Reason: r.GetReason()}}
	case bramleyv1.Outcome_OUTCOME_FAILED:
		return step{end: &Error{Outcome: ErrFailed, Reason: r.GetReason()}}
	}
	a.exposed = true
	if a.idempotent {
		return step{retry: true, after: after}
	}
	return a.repeat(step{after: after}, r.GetReason(), nil)
}

// notRun takes the next ticket. The first exchange of a ticket is no retry, since nothing was refused.
func (a *attempts) notRun(r *bramleyv1.Refusal, after time.Duration) step {
	if a.idempotent {
		return step{retry: true, after: after}
	}
	first := len(a.ticket) == 0
	a.ticket = r.GetNextTicket()
	a.exposed = false
	return step{retry: !first, reconnect: len(a.ticket) == 0, after: after}
}

// notDelivered changes the ticket only if no earlier attempt with it can have reached its owner.
func (a *attempts) notDelivered(r *bramleyv1.Refusal, after time.Duration) step {
	if a.idempotent {
		return step{retry: true, after: after}
	}
	if a.exposed {
		return a.repeat(step{after: after}, r.GetReason(), nil)
	}
	a.ticket = r.GetNextTicket()
	return step{retry: true, reconnect: len(a.ticket) == 0, after: after}
}

// repeat asks again with the same ticket, a bounded number of times.
func (a *attempts) repeat(next step, reason string, cause error) step {
	a.repeats++
	if a.repeats > maxRepeats {
		return step{end: a.ended(reason, cause)}
	}
	return next
}

// ended returns what is true of the request when the call stops between two attempts.
func (a *attempts) ended(reason string, cause error) *Error {
	outcome := ErrNotRun
	if a.exposed {
		outcome = ErrUnknown
	}
	return &Error{Outcome: outcome, Reason: reason, Cause: cause}
}
