package flow

import "time"

// tokenBucket limits a rate, with a burst of what one second yields.
type tokenBucket struct {
	perSecond, tokens float64
	refilled          time.Duration
}

func newTokenBucket(now time.Duration, perSecond int) tokenBucket {
	return tokenBucket{perSecond: float64(perSecond), tokens: float64(perSecond), refilled: now}
}

// take takes a number of tokens and reports whether there were enough.
func (b *tokenBucket) take(now time.Duration, tokens int) bool {
	b.tokens = min(b.perSecond, b.tokens+(now-b.refilled).Seconds()*b.perSecond)
	b.refilled = now
	if b.tokens < float64(tokens) {
		return false
	}
	b.tokens -= float64(tokens)
	return true
}
