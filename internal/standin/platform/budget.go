package platform

import (
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// budget counts the calls of each second; a waiting watch counts as one in each second that it waits.
type budget struct {
	perSecond int
	second    int64
	used      int
	peak      int
	waiting   int
	calls     uint64
	refused   uint64
}

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
