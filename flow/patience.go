package flow

import (
	"fmt"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// budget returns the time within which the answer to a new flow must be expected. For RecoveryTime after the agent's
// start, routes with patient clients have a part of their timeout instead of their latency budget.
func (t *Tracker) budget(route *registry.Route) time.Duration {
	return max(latencyBudget(route), t.patience(route))
}

// patience returns the time for which a new flow of a patient client may wait now, or zero.
func (t *Tracker) patience(route *registry.Route) time.Duration {
	if route == nil || route.Timeout < t.config.MinPatience || t.load.now-t.started > t.config.RecoveryTime {
		return 0
	}
	return time.Duration(t.config.PatientPart * float64(route.Timeout))
}

// limitPatience excludes a flow that would have to wait for longer than its latency budget in a queue that is longer
// than the server's.
func (a *assessment) limitPatience(position, queue int) {
	if a.patient() && position > queue {
		a.excluded = true
	}
}

// patient reports whether the flow can be taken only because its client is patient.
func (a *assessment) patient() bool {
	return a.wait > a.regular && a.wait <= a.budget
}

// delivered returns the verdict on a flow that the server takes. The reason of a flow that is queued for its patience
// states the expected wait.
func (a *assessment) delivered() Verdict {
	v := Verdict{Decision: Decision{Action: ToServer}}
	if a.patient() {
		v.Patient = true
		v.Reason = fmt.Sprintf("queued after a start; answer expected in %v, limit %v", a.wait.Round(time.Millisecond), a.budget)
	}
	return v
}
