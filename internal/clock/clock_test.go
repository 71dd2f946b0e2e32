package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestSuspensionIsPartOfTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		time.Sleep(time.Second)
		if got := c.Now(); got != time.Second {
			t.Fatalf("now %v", got)
		}
		// The machine has been running for longer than its monotonic clock shows.
		c.boot -= time.Hour
		if got := c.DetectSuspension(); got < time.Hour-2*time.Second || got > time.Hour+time.Minute {
			t.Fatalf("suspended for %v", got)
		}
		if got := c.Now(); got < time.Hour {
			t.Fatalf("now %v", got)
		}
		if got := c.DetectSuspension(); got > time.Minute {
			t.Fatalf("suspended again for %v", got)
		}
	})
}
