// Package refusal reads the refusal that a Connect error carries.
package refusal

import (
	"errors"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// FromError returns the refusal among the details of err, or nil.
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
