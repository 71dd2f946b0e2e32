package traffic

import (
	"context"

	"golang.org/x/time/rate"
)

// ShaperConfig is the control traffic budget of a node.
type ShaperConfig struct {
	// BytesPerSecond is the sustained rate of all shaped traffic together. A lower rate leaves more of the node's
	// bandwidth to callers; a higher one distributes large revisions sooner.
	BytesPerSecond int
	// LivenessShare is the fraction of the rate, between 0 and 1, that is reserved for heartbeats, so that a large
	// revision never delays them.
	LivenessShare float64
	// BurstBytes is how much may be sent at once after an idle period, such as one revision to each child in the
	// relay tree. The burst of heartbeats is one second of their share.
	BurstBytes int
}

// DefaultShaperConfig returns a budget of 6 KB per second.
func DefaultShaperConfig() ShaperConfig {
	return ShaperConfig{BytesPerSecond: 6000, LivenessShare: 0.25, BurstBytes: 128 << 10}
}

// Shaper delays control messages so that the node stays within its budget. Heartbeats have a token bucket of their own.
type Shaper struct {
	liveness *rate.Limiter
	bulk     *rate.Limiter
}

// NewShaper returns a Shaper whose token buckets are full.
func NewShaper(config ShaperConfig) *Shaper {
	liveness := float64(config.BytesPerSecond) * config.LivenessShare
	bulk := float64(config.BytesPerSecond) - liveness
	return &Shaper{
		liveness: rate.NewLimiter(rate.Limit(liveness), max(1, int(liveness))),
		bulk:     rate.NewLimiter(rate.Limit(bulk), config.BurstBytes),
	}
}

// Wait blocks until the budget admits the message or ctx is done. It delays only heartbeats, published values and lists
// of VMs. Callers' requests and operators' status queries are not control traffic of the node and pass at once.
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

// waitBytes takes the tokens for a message, at most one full bucket at a time: WaitN fails for more.
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
