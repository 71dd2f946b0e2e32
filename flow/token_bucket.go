package flow

import "time"

// tokenBucket limits a rate, with a burst above it.
type tokenBucket struct {
	perSecond, burst, tokens float64
	refilled                 time.Duration
}

// newTokenBucket returns a full bucket, with a burst of what one second yields.
func newTokenBucket(now time.Duration, perSecond int) tokenBucket {
	return tokenBucket{perSecond: float64(perSecond), burst: float64(perSecond), tokens: float64(perSecond), refilled: now}
}

// take takes a number of tokens and reports whether there were enough.
func (b *tokenBucket) take(now time.Duration, tokens int) bool {
	if b.available(now) < float64(tokens) {
		return false
	}
	b.tokens -= float64(tokens)
	return true
}

// allows reports whether a number of tokens may be taken. More than the burst may be taken from a full bucket, which then is
// in debt.
func (b *tokenBucket) allows(now time.Duration, tokens int) bool {
	return b.available(now) >= min(float64(tokens), b.burst)
}

// takeAllowed takes a number of tokens, if allows permits it, and reports whether it did.
func (b *tokenBucket) takeAllowed(now time.Duration, tokens int) bool {
	if !b.allows(now, tokens) {
		return false
	}
	b.tokens -= float64(tokens)
	return true
}

// available returns the number of tokens, which is negative after an overdraft.
func (b *tokenBucket) available(now time.Duration) float64 {
	b.tokens = min(b.burst, b.tokens+(now-b.refilled).Seconds()*b.perSecond)
	b.refilled = now
	return b.tokens
}

// overdraw takes a token even if there is none. The debt is limited to what one second yields.
func (b *tokenBucket) overdraw(now time.Duration) {
	b.tokens = max(-b.perSecond, b.available(now)-1)
}
