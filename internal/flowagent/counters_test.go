package flowagent

import (
	"testing"

	"github.com/bramleyrack/bramleyrack/flow"
)

// TestRefusalsAreCountedByReason guards the counters from which operators see who is refused in a shortage.
func TestRefusalsAreCountedByReason(t *testing.T) {
	a := &Agent{}
	for reason, n := range map[flow.Refusal]int{flow.NotRefused: 1, flow.RefusedBusy: 2, flow.RefusedShare: 3, flow.RefusedGroup: 4} {
		for range n {
			a.counts.record(&flow.Verdict{Decision: flow.Decision{Action: flow.Reset}, Refusal: reason})
		}
	}
	a.counts.record(&flow.Verdict{Decision: flow.Decision{Action: flow.ToServer}})
	a.counts.record(&flow.Verdict{Decision: flow.Decision{Action: flow.Wait}})
	a.counts.recordHeld(flow.HeldCounts{Openings: 1, TotalOpenings: 7, TooLong: 5, Requests: 8, TotalRequests: 9, Overdue: 6, Abandoned: 3})
	got := a.Counters()
	for name, want := range map[string]uint64{
		"action_reset": 10, "refused_busy": 2, "refused_share": 3, "refused_group": 4, "action_to_server": 1,
		"action_wait": 1, "waiting": 1, "waited": 7, "waited_too_long": 5,
		"requests_held": 8, "requests_held_total": 9, "requests_held_overdue": 6, "requests_abandoned": 3,
	} {
		if got[name] != want {
			t.Errorf("%s is %d, want %d", name, got[name], want)
		}
	}
}
