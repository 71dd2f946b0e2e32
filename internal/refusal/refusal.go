// Package refusal extracts the Refusal message from the details of a Connect error.
package refusal

import (
	"errors"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// FromError returns the first Refusal among the details of err. It returns nil if err is not a Connect error or carries
// no Refusal. It skips details that it can't decode.
func FromError(err error) *bramleyv1.Refusal {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	for _, detail := range connectErr.Details() {
		value, valueErr := detail.Value()
		if valueErr != nil {
			continue
		}
		if refusal, ok := value.(*bramleyv1.Refusal); ok {
			return refusal
		}
	}
	return nil
}
