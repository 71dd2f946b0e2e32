package flow_test

import (
	"math"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
)

// TestWorkAfterLongIdleTimeIsFinite guards against an infinite or undefined work in the first status of a server that
// had no flows for so long that the means have become denormal numbers. One such status makes the loads of all servers
// of its service undefined at the balancers.
func TestWorkAfterLongIdleTimeIsFinite(t *testing.T) {
	var w flow.WorkMeter
	now := time.Second
	for ; now < 3*time.Second; now += 20 * time.Millisecond {
		w.Advance(now, 1, 2)
	}
	for end := now + time.Hour; now < end; now += 300 * time.Millisecond {
		w.Advance(now, 0, 0)
		if work := w.Expected(1); math.IsNaN(work) || math.IsInf(work, 0) || work > 1 {
			t.Fatalf("got work %v after %v without flows", work, now-3*time.Second)
		}
	}
}
