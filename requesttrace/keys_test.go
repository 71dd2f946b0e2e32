package requesttrace_test

import (
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/requesttrace"
)

func TestCopiesAgainstKeyedMemories(t *testing.T) {
	trace := load(t, friday)
	for memory := requesttrace.TicketOwner; memory <= requesttrace.KeyWithLease; memory++ {
		r := requesttrace.ReplayDuplicates(trace, requesttrace.DuplicateConfig{
			Deduplication:   memory,
			Servers:         servers,
			LostAnswers:     0.1,
			DuplicateWithin: time.Second,
			JoinAt:          10 * time.Second,
			ViewSpread:      6 * time.Second,
			Lease:           meanWork,
			Seed:            1,
		})
		t.Logf("%-16s %d requests, %d copies, %d ran twice", memory, r.Requests, r.Duplicates, r.RanTwice)
		if safe := memory == requesttrace.TicketOwner; safe != (r.RanTwice == 0) {
			t.Errorf("%v: %d requests ran twice", memory, r.RanTwice)
		}
	}
}
