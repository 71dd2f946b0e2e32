package upstream

import (
	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// notRun returns an error with a Refusal detail that states that the request did not run.
func notRun(code connect.Code, cause error) error {
	err := connect.NewError(code, cause)
	refusal := &bramleyv1.Refusal{Outcome: bramleyv1.Outcome_OUTCOME_NOT_RUN, Reason: cause.Error()}
	if detail, detailErr := connect.NewErrorDetail(refusal); detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}
