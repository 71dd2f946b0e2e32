package requesttrace

import (
	"math"
	"math/rand"
	"time"
)

// Shape holds the parameters of a generated trace.
type Shape struct {
	Length time.Duration
	// Rate is the mean number of requests per second.
	Rate float64
	// Callers is the number of callers. Caller k sends requests at a rate proportional to (50+k)^-Skew. A Skew below
	// 1.001 counts as 1.001, because the Zipf generator needs more than 1.
	Callers int
	Skew    float64
	// Service times have a log-normal distribution with the mean MeanServiceTime. ServiceTimeSigma is the standard
	// deviation of their logarithm.
	MeanServiceTime  time.Duration
	ServiceTimeSigma float64
	// Timeout is the timeout of the callers, except for the fraction UrgentShare of the requests, which have the
	// timeout UrgentTimeout.
	Timeout       time.Duration
	UrgentTimeout time.Duration
	UrgentShare   float64
}

// Generate returns a random trace with Poisson arrivals.
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
			ServiceTime: s.drawServiceTime(rnd),
			Timeout:     s.drawTimeout(rnd),
		})
	}
}

func (s Shape) drawServiceTime(rnd *rand.Rand) time.Duration {
	spread := math.Exp(s.ServiceTimeSigma*rnd.NormFloat64() - s.ServiceTimeSigma*s.ServiceTimeSigma/2)
	return time.Duration(float64(s.MeanServiceTime) * spread).Truncate(time.Microsecond)
}

func (s Shape) drawTimeout(rnd *rand.Rand) time.Duration {
	if rnd.Float64() < s.UrgentShare {
		return s.UrgentTimeout
	}
	return s.Timeout
}
