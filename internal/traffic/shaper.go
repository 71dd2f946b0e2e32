package traffic

import (
	"context"

	"golang.org/x/time/rate"
)

// ShaperConfig holds the budget of a Shaper.
type ShaperConfig struct {
	// BytesPerSecond is the long-run budget for all shaped traffic together. A lower value protects
	// the node's share for callers; a higher one spreads large revisions sooner.
	BytesPerSecond int
	// LivenessShare is the part of the budget, between 0 and 1, that only heartbeats use, so that
	// a large revision never delays them.
	LivenessShare float64
	// BurstBytes is what may be sent at once after a quiet time, such as one revision to each child
	// of the relay tree.
	BurstBytes int
}

// DefaultShaperConfig returns a budget of 6 KB a second.
func DefaultShaperConfig() ShaperConfig {
	return ShaperConfig{BytesPerSecond: 6000, LivenessShare: 0.25, BurstBytes: 128 << 10}
}

// Shaper delays control messages so that the node keeps its budget. Heartbeats have a bucket of
// their own.
type Shaper struct {
	liveness *rate.Limiter
	rest     *rate.Limiter
}

// NewShaper returns a Shaper for the budget.
func NewShaper(config ShaperConfig) *Shaper {
	liveness := float64(config.BytesPerSecond) * config.LivenessShare
	rest := float64(config.BytesPerSecond) - liveness
	return &Shaper{
		liveness: rate.NewLimiter(rate.Limit(liveness), max(1, int(liveness))),
		rest:     rate.NewLimiter(rate.Limit(rest), config.BurstBytes),
	}
}

// Wait blocks until the message may be sent. Callers' requests and operators' questions are not
// control traffic of the node and pass at once.
func (s *Shaper) Wait(ctx context.Context, purpose Purpose, bytes int) error {
	switch purpose {
	case Liveness:
		return waitBytes(ctx, s.liveness, bytes)
	case Configuration, Membership:
		return waitBytes(ctx, s.rest, bytes)
	default:
		return nil
	}
}

// waitBytes takes the tokens of a message that may be larger than the bucket.
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
