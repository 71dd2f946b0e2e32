package flow

import (
	"testing"
	"time"
)

// TestQueueLimitIsLearnedAgain guards against a limit that is never learned again, because it was raised without bound
// while the server rejected nothing and has overflowed.
func TestQueueLimitIsLearnedAgain(t *testing.T) {
	var q queueLimit
	now := time.Second
	reject := func() {
		for range rejections {
			now += 10 * time.Millisecond
			q.rejected(now, 100*time.Millisecond, 3)
		}
	}
	reject()
	for range 1000 {
		now += limitProbeInterval
		q.probe(now)
	}
	reject()
	if !q.exceeded(3, 150*time.Millisecond) {
		t.Errorf("a wait of 150 ms does not exceed the learned limit of %v", q.wait)
	}
}
