package admission

import (
	"time"
)

const (
	// estimateWeight is the reciprocal weight of a new sample in the moving averages.
	estimateWeight = 16
	// deviations is how many mean deviations above the mean a request must have left to be started.
	deviations = 2
)

// estimate follows the service time of an upstream.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
	known     bool
}

func (e *estimate) observe(took time.Duration) {
	if !e.known {
		e.known = true
		e.mean = took
		return
	}
	difference := took - e.mean
	e.mean += difference / estimateWeight
	e.deviation += (difference.Abs() - e.deviation) / estimateWeight
}

// high returns a service time that few requests exceed.
func (e *estimate) high() time.Duration {
	return e.mean + deviations*e.deviation
}
