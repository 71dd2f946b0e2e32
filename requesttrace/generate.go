package requesttrace

import (
	"math"
	"math/rand"
	"time"
)

// Shape describes a trace to generate.
type Shape struct {
	Length time.Duration
	// Rate is the mean number of requests a second.
	Rate float64
	// Callers is the number of callers; caller k sends in proportion to (1+k)^-Skew.
	Callers int
	Skew    float64
	// MeanServiceTime is the mean time that a request takes; it spreads log-normally with WorkSpread.
	MeanServiceTime  time.Duration
	ServiceTimeSigma float64
	// Timeout is how long most callers wait. A share of UrgentShare waits only UrgentPatience.
	Timeout       time.Duration
	UrgentTimeout time.Duration
	UrgentShare   float64
}

// Generate returns a trace with Poisson arrivals.
func Generate(s Shape, rnd *rand.Rand) []Request {
	callers := rand.NewZipf(rnd, max(s.Skew, 1.001), 50, uint64(s.Callers-1))
	var trace []Request
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= s.Length {
			return trace
		}
		trace = append(trace, Request{
			At:          at.Truncate(time.Microsecond),
			Caller:      int(callers.Uint64()),
			ServiceTime: s.work(rnd),
			Timeout:     s.patience(rnd),
		})
	}
}

func (s Shape) work(rnd *rand.Rand) time.Duration {
	spread := math.Exp(s.ServiceTimeSigma*rnd.NormFloat64() - s.ServiceTimeSigma*s.ServiceTimeSigma/2)
	return time.Duration(float64(s.MeanServiceTime) * spread).Truncate(time.Microsecond)
}

func (s Shape) patience(rnd *rand.Rand) time.Duration {
	if rnd.Float64() < s.UrgentShare {
		return s.UrgentTimeout
	}
	return s.Timeout
}
