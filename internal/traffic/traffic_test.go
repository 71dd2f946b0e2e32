package traffic_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/traffic"
)

// budget is the stated limit for control traffic of one node, in bytes a second.
const budget = 6000

func TestShaperKeepsTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := traffic.DefaultShaperConfig()
		shaper := traffic.NewShaper(config)
		sent, begin := 0, time.Now()
		for time.Since(begin) < time.Hour {
			if err := shaper.Wait(t.Context(), traffic.Configuration, 1000); err != nil {
				t.Fatal(err)
			}
			sent += 1000
		}
		if limit := budget*int(time.Hour/time.Second) + config.BurstBytes; sent > limit {
			t.Fatalf("sent %d of %d bytes", sent, limit)
		}
	})
}

// TestHeartbeatsPassAQueuedRevision sends a revision of a megabyte, which waits for minutes.
func TestHeartbeatsPassAQueuedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shaper := traffic.NewShaper(traffic.DefaultShaperConfig())
		go func() { _ = shaper.Wait(t.Context(), traffic.Configuration, 1<<20) }()
		synctest.Wait()
		begin := time.Now()
		for range 10 {
			if err := shaper.Wait(t.Context(), traffic.Liveness, 100); err != nil {
				t.Fatal(err)
			}
		}
		if waited := time.Since(begin); waited > 0 {
			t.Fatalf("heartbeats waited %v", waited)
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
