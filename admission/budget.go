package admission

import (
	"math/rand"
	"time"
)

// RetryBudget limits retries to a share of the successes, so that retries cannot multiply an overload.
type RetryBudget struct {
	// Share is how many retries each success allows.
	Share float64
	// Burst bounds what is saved up, and is available at the start.
	Burst  float64
	tokens float64
}

// NewRetryBudget returns a budget that starts full.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{Share: share, Burst: burst, tokens: burst}
}

// Success adds the share of one success.
func (b *RetryBudget) Success() {
	b.tokens = min(b.tokens+b.Share, b.Burst)
}

// Take uses up one retry and reports whether the budget allowed it.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// RetryAfter returns when a refused caller should come back: the expected wait plus the mean, spread
// evenly over half to one and a half times that, so that callers do not return together.
func RetryAfter(expectedWait, mean time.Duration, rnd *rand.Rand) time.Duration {
	center := expectedWait + mean
	return center/2 + time.Duration(rnd.Int63n(int64(center)+1))
}

// SlowStart returns the slots of an upstream that has been up for the given time.
func SlowStart(slots int, up, duration time.Duration) int {
	if up >= duration || duration <= 0 {
		return slots
	}
	share := float64(up) / float64(duration)
	return max(1, int(share*float64(slots)))
}
