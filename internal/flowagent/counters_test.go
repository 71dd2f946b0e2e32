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
	a.counts.record(&flow.Verdict{Decision: flow.Decision{Action: flow.ToServer}, Patient: true})
	a.counts.record(&flow.Verdict{Decision: flow.Decision{Action: flow.Wait}})
	a.counts.recordWaiting(flow.WaitingCounts{Now: 1, Total: 7, TooLong: 5})
	got := a.Counters()
	for name, want := range map[string]uint64{
		"action_reset": 10, "action_to_server": 1, "refused_busy": 2, "refused_share": 3, "refused_group": 4, "queued_patient": 1,
		"action_wait": 1, "waiting": 1, "waited": 7, "waited_too_long": 5,
	} {
		if got[name] != want {
			t.Errorf("%s is %d, want %d", name, got[name], want)
		}
	}
}
