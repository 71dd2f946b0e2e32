package admission

import (
	"time"
)

const (
	// smoothingDivisor sets the weight of a new sample in the moving averages to 1/smoothingDivisor.
	smoothingDivisor = 16
	// safetyDeviations is the number of mean deviations that are added to the mean service time when checking
	// whether a request can finish before its deadline.
	safetyDeviations = 2
)

// estimate tracks the service time of an upstream as exponentially weighted moving averages of the mean
// and the mean deviation.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
	hasSample bool
}

func (e *estimate) observe(serviceTime time.Duration) {
	if !e.hasSample {
		e.hasSample = true
		e.mean = serviceTime
		return
	}
	difference := serviceTime - e.mean
	e.mean += difference / smoothingDivisor
	e.deviation += (difference.Abs() - e.deviation) / smoothingDivisor
}

// upperBound returns a service time that few requests exceed.
func (e *estimate) upperBound() time.Duration {
	return e.mean + safetyDeviations*e.deviation
}
