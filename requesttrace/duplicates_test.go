package requesttrace_test

import (
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/requesttrace"
)

// TestDuplicatesAgainstBaselines checks that no request runs twice if its ticket names the owner of its state, and that
// each scheme based on keys lets some requests run twice, so that the comparison covers their failure cases.
func TestDuplicatesAgainstBaselines(t *testing.T) {
	trace := readTrace(t, wislankaTrace)
	for scheme := requesttrace.TicketOwner; scheme <= requesttrace.KeyWithLease; scheme++ {
		r := requesttrace.ReplayDuplicates(trace, requesttrace.DuplicateConfig{
			Deduplication:   scheme,
			Servers:         servers,
			LostAnswers:     0.1,
			DuplicateWithin: time.Second,
			JoinAt:          10 * time.Second,
			ViewSpread:      6 * time.Second,
			Lease:           meanServiceTime,
			Seed:            1,
		})
		t.Logf("%-16s %d requests, %d duplicates, %d ran twice", scheme, r.Requests, r.Duplicates, r.RanTwice)
		if safe := scheme == requesttrace.TicketOwner; safe != (r.RanTwice == 0) {
			t.Errorf("%v: %d requests ran twice; want none for ticket-owner and some for the others", scheme, r.RanTwice)
		}
	}
}
