package verdict

import (
	"errors"
	"strings"
)

// checkGuarantees lists the guarantees that the results violate.
func (v *Verdict) checkGuarantees(in Input) {
	zero := []struct {
		name  string
		count int
	}{
		{"wrong_answers", v.WrongAnswers},
		{"run_twice", v.RunTwice},
		{"false_not_run", v.FalseNotRun},
		{"leaving_new_work", v.LeavingNewWork},
	}
	for _, z := range zero {
		if z.count != 0 {
			v.Broken = append(v.Broken, z.name)
		}
	}
	if v.BrokenFlows != 0 && !in.AllowBroken {
		v.Broken = append(v.Broken, "broken_flows")
	}
	if v.Unknown != 0 && !in.AllowBroken && !in.AllowIdle {
		v.Broken = append(v.Broken, "unknown")
	}
	if in.Result.IdleWorkers != 0 && !in.AllowIdle {
		v.Broken = append(v.Broken, "idle_workers")
	}
	if v.Calls == 0 || v.Feeds == 0 || v.Downloads == 0 {
		v.Broken = append(v.Broken, "no_load")
	}
	if v.InForce <= 0 || v.InForce > InForceLimit {
		v.Broken = append(v.Broken, "revision_in_force")
	}
}

// Err returns an error that lists the violated guarantees, or nil if there are none.
func (v *Verdict) Err() error {
	if len(v.Broken) == 0 {
		return nil
	}
	return errors.New("violated guarantees: " + strings.Join(v.Broken, ", "))
}
