package verdict

import (
	"errors"
	"strings"
)

// checkGuarantees lists the guarantees that the results violate.
func (v *Verdict) checkGuarantees(in Input) {
	mustBeZero := []struct {
		name  string
		count int
	}{
		{"wrong_answers", v.WrongAnswers},
		{"run_twice", v.RunTwice},
		{"false_not_run", v.FalseNotRun},
		{"leaving_new_work", v.LeavingNewWork},
	}
	for _, c := range mustBeZero {
		if c.count != 0 {
			v.Violations = append(v.Violations, c.name)
		}
	}
	if v.BrokenFlows != 0 && !in.AllowBrokenFlows {
		v.Violations = append(v.Violations, "broken_flows")
	}
	if v.Unknown != 0 && !in.AllowBrokenFlows && !in.AllowIdleWorkers {
		v.Violations = append(v.Violations, "unknown")
	}
	if in.Result.IdleWorkers != 0 && !in.AllowIdleWorkers {
		v.Violations = append(v.Violations, "idle_workers")
	}
	if v.Calls == 0 || v.Feeds == 0 || v.Downloads == 0 {
		v.Violations = append(v.Violations, "no_load")
	}
	if v.InForce <= 0 || v.InForce > InForceLimit {
		v.Violations = append(v.Violations, "revision_in_force")
	}
}

// Err returns an error that lists the violated guarantees, or nil if there are none.
func (v *Verdict) Err() error {
	if len(v.Violations) == 0 {
		return nil
	}
	return errors.New("violated guarantees: " + strings.Join(v.Violations, ", "))
}
