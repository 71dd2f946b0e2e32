package client

import (
	"errors"
	"fmt"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/refusal"
)

var (
	// ErrNotRun means that the request did not run and never will: it is safe to place it again.
	ErrNotRun = errors.New("request did not run")
	// ErrUnknown means that the request may or may not have run.
	ErrUnknown = errors.New("outcome of the request is unknown")
	// ErrAlreadyRun means that the request ran once and that its answer is no longer held.
	ErrAlreadyRun = errors.New("request has run and its answer is no longer held")
	// ErrFailed means that the request ran once and that the upstream answered with an error.
	ErrFailed = errors.New("request ran and failed")
	// ErrClosed means that the client or the feed has been closed.
	ErrClosed = errors.New("client is closed")
)

// Error is the end of a call without an answer. errors.Is finds one of the errors above in it.
type Error struct {
	// Outcome is one of ErrNotRun, ErrUnknown, ErrAlreadyRun and ErrFailed.
	Outcome error
	// RetryAfter is when the service wants the caller back.
	RetryAfter time.Duration
	Reason     string
	// Cause is the error of the last attempt, or nil.
	Cause error
}

// Error describes the outcome and its reason.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%v: %s", e.Outcome, e.Reason)
	}
	return fmt.Sprintf("%v: %s: %v", e.Outcome, e.Reason, e.Cause)
}

// Unwrap returns the outcome and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Outcome}
	}
	return []error{e.Outcome, e.Cause}
}

// RefusalOf returns the refusal that the service sent with err, or nil.
func RefusalOf(err error) *bramleyv1.Refusal {
	return refusal.FromError(err)
}
