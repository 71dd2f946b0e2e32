package platform

import (
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// budget limits the calls per second. A watch counts as one call in every second in which it waits.
type budget struct {
	// perSecond is the limit; zero means no limit.
	perSecond int
	// second is the current second, as a Unix time. used is the number of calls in it and peak the highest
	// number in any second.
	second int64
	used   int
	peak   int
	// waiting is the number of waiting watches.
	waiting int
	// calls and refused count all calls, and those above the limit.
	calls   uint64
	refused uint64
}

// charge counts a call and reports whether it is within the limit.
func (b *budget) charge(now time.Time) bool {
	if second := now.Unix(); second != b.second {
		b.second = second
		b.used = b.waiting
	}
	b.calls++
	b.used++
	b.peak = max(b.peak, b.used)
	if b.perSecond > 0 && b.used > b.perSecond {
		b.refused++
		return false
	}
	return true
}

func (b *budget) stats() *bramleyv1.StatsResponse {
	return &bramleyv1.StatsResponse{
		Calls:         b.calls,
		Refused:       b.refused,
		PeakPerSecond: uint32(b.peak),
		Waiting:       uint32(b.waiting),
	}
}
