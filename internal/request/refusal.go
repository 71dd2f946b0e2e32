package request

import (
	"errors"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/refusal"
)

// RefusalError returns a Connect error with r as its detail.
func RefusalError(r *bramleyv1.Refusal) *connect.Error {
	err := connect.NewError(code(r.GetOutcome()), errors.New(r.GetReason()))
	if detail, detailErr := connect.NewErrorDetail(r); detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}

func code(outcome bramleyv1.Outcome) connect.Code {
	switch outcome {
	case bramleyv1.Outcome_OUTCOME_NOT_RUN:
		return connect.CodeResourceExhausted
	case bramleyv1.Outcome_OUTCOME_NOT_DELIVERED:
		return connect.CodeUnavailable
	case bramleyv1.Outcome_OUTCOME_ALREADY_RUN:
		return connect.CodeAlreadyExists
	case bramleyv1.Outcome_OUTCOME_RUNNING:
		return connect.CodeAborted
	case bramleyv1.Outcome_OUTCOME_FAILED:
		return connect.CodeInternal
	default:
		return connect.CodeUnknown
	}
}

// refusalDetail returns the refusal in the details of an error that the server sent, or nil. It ignores errors that
// the client created itself.
func refusalDetail(err error) *bramleyv1.Refusal {
	if !connect.IsWireError(err) {
		return nil
	}
	return refusal.FromError(err)
}

// milliseconds rounds up, so that a positive duration never becomes zero.
func milliseconds(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
