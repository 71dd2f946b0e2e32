package traffic

import (
	"context"

	"golang.org/x/time/rate"
)

// ShaperConfig is the budget of a Shaper.
type ShaperConfig struct {
	// BytesPerSecond is the sustained rate of all shaped traffic together. A lower rate leaves more of the node's
	// bandwidth to callers; a higher one distributes large revisions sooner.
	BytesPerSecond int
	// LivenessShare is the fraction of the rate, between 0 and 1, that is reserved for heartbeats, so that a large
	// revision never delays them.
	LivenessShare float64
	// BurstBytes is how much may be sent at once after an idle period, such as one revision to each child in the
	// relay tree. It doesn't apply to heartbeats, whose burst is one second of their rate.
	BurstBytes int
}

// DefaultShaperConfig returns a budget of 6 KB per second.
func DefaultShaperConfig() ShaperConfig {
	return ShaperConfig{BytesPerSecond: 6000, LivenessShare: 0.25, BurstBytes: 128 << 10}
}

// Shaper delays control messages so that the node stays within its budget. It has two token buckets: one for
// heartbeats and one for the other shaped traffic.
type Shaper struct {
	liveness *rate.Limiter
	bulk     *rate.Limiter
}

// NewShaper returns a Shaper with the given budget.
func NewShaper(config ShaperConfig) *Shaper {
	liveness := float64(config.BytesPerSecond) * config.LivenessShare
	bulk := float64(config.BytesPerSecond) - liveness
	return &Shaper{
		liveness: rate.NewLimiter(rate.Limit(liveness), max(1, int(liveness))),
		bulk:     rate.NewLimiter(rate.Limit(bulk), config.BurstBytes),
	}
}

// Wait blocks until the budget admits the message or ctx is done. It shapes only heartbeats, published values and lists
// of VMs. Messages of other purposes pass without delay: callers' requests and operators' status queries are not the
// node's own control traffic.
func (s *Shaper) Wait(ctx context.Context, purpose Purpose, bytes int) error {
	switch purpose {
	case Liveness:
		return waitBytes(ctx, s.liveness, bytes)
	case Configuration, Membership:
		return waitBytes(ctx, s.bulk, bytes)
	default:
		return nil
	}
}

// waitBytes takes the tokens for a message. It takes at most a full bucket at a time, because WaitN fails if a message
// is larger than the bucket.
func waitBytes(ctx context.Context, limiter *rate.Limiter, bytes int) error {
	for bytes > 0 {
		n := min(bytes, limiter.Burst())
		if err := limiter.WaitN(ctx, n); err != nil {
			return err
		}
		bytes -= n
	}
	return nil
}
