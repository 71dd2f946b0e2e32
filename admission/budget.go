package admission

import (
	"math/rand"
	"time"
)

// RetryBudget limits retries to a fraction of the successful requests, so that retries cannot amplify an
// overload.
type RetryBudget struct {
	// Share is the number of retries that each success earns.
	Share float64
	// Burst is the maximum number of unused retries, with which a new budget starts.
	Burst  float64
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{Share: share, Burst: burst, tokens: burst}
}

// Success credits the budget with the share of one success.
func (b *RetryBudget) Success() {
	b.tokens = min(b.tokens+b.Share, b.Burst)
}

// Take spends one retry and reports whether the budget allowed it.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// RetryAfter returns the delay after which a refused caller should retry. The delay is uniformly
// distributed between 0.5 and 1.5 times the sum of the expected wait and the mean delay, so that callers
// do not retry at the same time.
func RetryAfter(expectedWait, meanDelay time.Duration, rnd *rand.Rand) time.Duration {
	center := expectedWait + meanDelay
	return center/2 + time.Duration(rnd.Int63n(int64(center)+1))
}

// SlowStart returns the number of slots to use on an upstream that has been up for the given time. The
// number grows linearly from one to all slots over the duration.
func SlowStart(slots int, up, duration time.Duration) int {
	if up >= duration || duration <= 0 {
		return slots
	}
	share := float64(up) / float64(duration)
	return max(1, int(share*float64(slots)))
}
