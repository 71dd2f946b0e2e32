package verdict_test

import (
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/standin/caller"
	"github.com/bramleyrack/bramleyrack/internal/standin/upstream"
	"github.com/bramleyrack/bramleyrack/internal/standin/verdict"
)

var leavingSince = time.UnixMilli(1_000_000)

// cleanInput returns the results of a run without violations: an upstream ran one order at the second attempt, and
// the last start at the leaving upstream is exactly at the end of the grace period.
func cleanInput() verdict.Input {
	return verdict.Input{
		Result: &caller.Result{
			Calls: 1, Feeds: 1, Downloads: 1,
			Attempts: []caller.Attempt{
				{Item: "a", Attempt: 0, Outcome: caller.OutcomeNotRun},
				{Item: "a", Attempt: 1, Outcome: caller.OutcomeAnswered},
			},
		},
		Reports: []upstream.Report{
			{Service: "orders", Number: 1, Runs: []upstream.Run{{Item: "a", Attempt: 1}}},
			{Service: "orders", Number: 2, Starts: []int64{leavingSince.Add(verdict.LeavingGrace).UnixMilli()}},
		},
		Leaving:      2,
		LeavingSince: leavingSince,
		Flows:        map[string][]float64{"orders": {3, 1}},
		InForce:      time.Millisecond,
	}
}

func TestCleanRunPasses(t *testing.T) {
	v := verdict.New(cleanInput())
	if err := v.Err(); err != nil {
		t.Fatal(err)
	}
	if ratio := v.Imbalances["orders"]; ratio != 1.5 {
		t.Fatalf("imbalance %v, want 1.5", ratio)
	}
}

// Each change of the clean results violates one guarantee, which the verdict must list.
func TestViolatedGuarantees(t *testing.T) {
	tests := []struct {
		guarantee string
		violate   func(*verdict.Input)
	}{
		{"run_twice", func(in *verdict.Input) {
			in.Reports[1].Runs = []upstream.Run{{Item: "a", Attempt: 1}}
		}},
		{"false_not_run", func(in *verdict.Input) {
			in.Reports[0].Runs[0].Attempt = 0
		}},
		{"wrong_answers", func(in *verdict.Input) { in.Reports[0].Runs = nil }},
		{"wrong_answers", func(in *verdict.Input) { in.Reports[0].WrongService = 1 }},
		{"broken_flows", func(in *verdict.Input) { in.Result.BrokenFlows = 1 }},
		{"broken_flows", func(in *verdict.Input) { in.Reports[1].ResumedDownloads = 1 }},
		{"leaving_new_work", func(in *verdict.Input) { in.Reports[1].Starts[0]++ }},
		{"idle_workers", func(in *verdict.Input) { in.Result.IdleWorkers = 1 }},
		{"unknown", func(in *verdict.Input) { in.Result.Unknown = 1 }},
		{"no_load", func(in *verdict.Input) { in.Result.Downloads = 0 }},
		{"revision_in_force", func(in *verdict.Input) { in.InForce = verdict.InForceLimit + 1 }},
		{"revision_in_force", func(in *verdict.Input) { in.InForce = 0 }},
	}
	for _, test := range tests {
		t.Run(test.guarantee, func(t *testing.T) {
			in := cleanInput()
			test.violate(&in)
			v := verdict.New(in)
			if !slices.Contains(v.Violations, test.guarantee) {
				t.Fatalf("violated guarantees %v lack %s", v.Violations, test.guarantee)
			}
		})
	}
}
