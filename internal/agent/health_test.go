package agent

import (
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/statechart"
)

// startCounter counts how often the upstream has become healthy.
type startCounter int

func (c *startCounter) UpstreamStarted() { *c++ }

// The upstream must go through the slow start each time it becomes healthy, and through leaving states
// while the settings mark it as leaving.
func TestHealthCheckerFollowsStatechart(t *testing.T) {
	const slowStart = 5 * time.Second
	var starts startCounter
	leaving := false
	h, err := newHealthChecker(nil, &starts, func() bool { return leaving }, func() time.Duration { return slowStart })
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	for i, step := range []struct {
		after   time.Duration
		up      bool
		leaving bool
		want    statechart.State
		starts  startCounter
	}{
		{0, false, false, "down", 0},
		{0, true, false, "warming", 1},
		{time.Second, true, false, "warming", 1},
		{slowStart, true, false, "serving", 1},
		{0, false, false, "serving", 1},
		{0, false, false, "serving", 1},
		{0, false, false, "down", 1},
		{0, true, false, "warming", 2},
		{0, true, true, "leaving", 2},
		{0, true, false, "serving", 2},
		{0, true, true, "leaving", 2},
		{0, false, true, "leaving", 2},
		{0, false, true, "leaving", 2},
		{0, false, true, "leaving_down", 2},
		{0, true, true, "leaving_down", 2},
		{0, true, false, "warming", 3},
	} {
		now = now.Add(step.after)
		leaving = step.leaving
		h.observe(now, step.up)
		if h.current() != step.want || starts != step.starts {
			t.Fatalf("step %d: got %s and %d starts, want %s and %d", i, h.current(), starts, step.want, step.starts)
		}
		if down := step.want == "down" || step.want == "leaving_down"; h.accepting() == down {
			t.Fatalf("step %d: accepting %v in %s", i, h.accepting(), step.want)
		}
	}
}
