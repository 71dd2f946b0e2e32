package admission_test

import (
	"math"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
)

// serveEvenly lets requests of each priority finish at the given rates for a while.
func serveEvenly(s *admission.Shares, from, d time.Duration, perSecond map[int]int, work map[int]time.Duration) {
	for now := time.Duration(0); now < d; now += time.Millisecond {
		for priority, rate := range perSecond {
			if int(now.Milliseconds())%(1000/rate) == 0 {
				s.Observe(from+now, priority, work[priority])
			}
		}
	}
}

// TestPartIsWhatUrgentWorkLeaves covers a measure by number instead of work, and one that does not follow the demand.
func TestPartIsWhatUrgentWorkLeaves(t *testing.T) {
	s := admission.NewShares(2*time.Second, 0.25)
	work := map[int]time.Duration{1: 20 * time.Millisecond, 2: 10 * time.Millisecond}
	wantPart := func(priority int, want float64) {
		t.Helper()
		if got := s.Part(priority); math.Abs(got-want) > 0.02 {
			t.Fatalf("priority %d may use %.3f of its budget, want %.3f", priority, got, want)
		}
	}
	wantPart(2, 1)
	serveEvenly(s, time.Hour, 10*time.Second, map[int]int{1: 100, 2: 200}, work)
	wantPart(1, 1)
	wantPart(2, 0.5)
	wantPart(3, 0.25)
	serveEvenly(s, 2*time.Hour, 10*time.Second, map[int]int{1: 100, 2: 500}, work)
	wantPart(2, 1-2.0/7)
	serveEvenly(s, 2*time.Hour+10*time.Second, 10*time.Second, map[int]int{2: 500}, work)
	wantPart(2, 1)
}

// TestOnePriorityMayUseItsWholeBudget guards the behavior of services whose routes have the same priority, also after
// times at which the sums are rescaled.
func TestOnePriorityMayUseItsWholeBudget(t *testing.T) {
	for _, priority := range []int{-3, 0, 4, 100} {
		s := admission.NewShares(2*time.Second, 0.25)
		for _, pause := range []time.Duration{0, time.Second, time.Hour, 1000 * time.Hour} {
			s.Observe(pause, priority, 10*time.Millisecond)
			if got := s.Part(priority); got != 1 {
				t.Fatalf("priority %d may use %v of its budget after %v", priority, got, pause)
			}
		}
	}
}

// TestLapsedUrgentWorkLeavesNoTrace covers urgent work that ended long before.
func TestLapsedUrgentWorkLeavesNoTrace(t *testing.T) {
	s := admission.NewShares(2*time.Second, 0.25)
	s.Observe(0, 0, time.Second)
	s.Observe(1000*time.Hour, 2, time.Millisecond)
	if got := s.Part(2); got != 1 {
		t.Fatalf("may use %v of its budget, want 1", got)
	}
}
