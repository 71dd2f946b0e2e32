package caller

import (
	"errors"
	"testing"

	"github.com/bramleyrack/bramleyrack/client"
)

// An error that is not a refusal says nothing about whether the request ran, so it must not count as not run.
func TestOutcomeOfUnexpectedErrorIsUnknown(t *testing.T) {
	tests := []struct {
		err  error
		want Outcome
	}{
		{nil, OutcomeAnswered},
		{&client.Error{Outcome: client.ErrNotRun}, OutcomeNotRun},
		{&client.Error{Outcome: client.ErrAlreadyRun}, OutcomeAlreadyRun},
		{&client.Error{Outcome: client.ErrFailed}, OutcomeFailed},
		{errors.New("something else"), OutcomeUnknown},
	}
	for _, test := range tests {
		if got := outcomeOf(test.err); got != test.want {
			t.Errorf("outcome of %v is %s, want %s", test.err, got, test.want)
		}
	}
}
