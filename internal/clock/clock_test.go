package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestClockIncludesSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		time.Sleep(time.Second)
		if got := c.Now(); got != time.Second {
			t.Fatalf("now %v, want 1s", got)
		}
		// A boot time one hour earlier looks like a suspension of one hour: the time since boot then exceeds the
		// monotonic clock.
		c.bootAtStart -= time.Hour
		if got := c.DetectSuspension(); got < time.Hour-2*time.Second || got > time.Hour+time.Minute {
			t.Fatalf("suspended for %v", got)
		}
		if got := c.Now(); got < time.Hour {
			t.Fatalf("now %v, want at least 1h", got)
		}
		if got := c.DetectSuspension(); got > time.Minute {
			t.Fatalf("suspended again for %v", got)
		}
	})
}
