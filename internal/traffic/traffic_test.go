package traffic_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/traffic"
)

// budget is the required limit on the control traffic of one node, in bytes per second.
const budget = 6000

func TestShaperEnforcesBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := traffic.DefaultShaperConfig()
		shaper := traffic.NewShaper(config)
		sent, start := 0, time.Now()
		for time.Since(start) < time.Hour {
			if err := shaper.Wait(t.Context(), traffic.Configuration, 1000); err != nil {
				t.Fatal(err)
			}
			sent += 1000
		}
		if limit := budget*int(time.Hour/time.Second) + config.BurstBytes; sent > limit {
			t.Fatalf("sent %d bytes in an hour, want at most %d", sent, limit)
		}
	})
}

// TestQueuedRevisionDoesNotDelayHeartbeats guards against heartbeats that queue behind a large revision, which would
// make the node look dead. The revision is 1 MiB and waits for minutes.
func TestQueuedRevisionDoesNotDelayHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shaper := traffic.NewShaper(traffic.DefaultShaperConfig())
		go func() { _ = shaper.Wait(t.Context(), traffic.Configuration, 1<<20) }()
		synctest.Wait()
		start := time.Now()
		for range 10 {
			if err := shaper.Wait(t.Context(), traffic.Liveness, 100); err != nil {
				t.Fatal(err)
			}
		}
		if waited := time.Since(start); waited > 0 {
			t.Fatalf("heartbeats waited %v, want no wait", waited)
		}
		<-time.After(time.Hour)
	})
}

func TestMeterCountsByPurpose(t *testing.T) {
	meter := &traffic.Meter{}
	meter.Add(traffic.Liveness, 10)
	meter.Add(traffic.Liveness, 5)
	if got := meter.Bytes()["liveness"]; got != 15 {
		t.Fatalf("got %d", got)
	}
}
