package admission

import (
	"math"
	"time"
)

// Priorities is the number of priorities that are told apart. Less urgent ones count as the least urgent of them.
const Priorities = 8

// Class returns the index of a priority, from 0 for the most urgent to Priorities-1.
func Class(priority int) int {
	return max(0, min(priority, Priorities-1))
}

// Shares measures the work that an upstream does by priority, as exponentially weighted sums. In a shortage more urgent
// requests overtake others, so it says which part of its waiting budget a request may use: what the more urgent ones are
// expected to leave. The zero value is not usable. Shares is not safe for concurrent use.
type Shares struct {
	decay decay
	// floor is the smallest part.
	floor float64
	// served is the service time of finished requests by priority in seconds, and count is their number. Their ratio is
	// the mean service time.
	served, count [Priorities]float64
}

// NewShares returns Shares whose sums decay with the given time constant. No part is below floor.
func NewShares(constant time.Duration, floor float64) *Shares {
	return &Shares{decay: decay{constant: constant}, floor: floor}
}

// Clone returns a copy that shares no state with the original.
func (s *Shares) Clone() *Shares {
	c := *s
	return &c
}

// Work returns the expected work of a request. Until a request of its priority has finished, that is the assumed service
// time.
func (s *Shares) Work(priority int, assumed time.Duration) time.Duration {
	class := Class(priority)
	if s.count[class] == 0 {
		return assumed
	}
	return time.Duration(s.served[class] / s.count[class] * float64(time.Second))
}

// Observe records the service time of a finished request.
func (s *Shares) Observe(now time.Duration, priority int, serviceTime time.Duration) {
	s.rescale(now)
	class, weight := Class(priority), s.decay.weight(now)
	s.served[class] += weight * serviceTime.Seconds()
	s.count[class] += weight
}

// Part returns the part of its waiting budget that a request of the given priority may use in a shortage: what the share
// of the work done that was strictly more urgent leaves, but at least the floor. It is exactly 1 if nothing more urgent
// was done.
func (s *Shares) Part(priority int) float64 {
	urgent, total := 0.0, 0.0
	for class, served := range s.served {
		if class < Class(priority) {
			urgent += served
		}
		total += served
	}
	if urgent == 0 {
		return 1
	}
	return max(s.floor, 1-urgent/total)
}

// minSum is the sum below which earlier values count as zero after a rescale.
const minSum = 1e-12

func (s *Shares) rescale(now time.Duration) {
	factor := s.decay.rescale(now)
	if factor == 1 {
		return
	}
	scale(factor, s.served[:], s.count[:])
}

// scale multiplies all sums by a factor and clears those that have become insignificant.
func scale(factor float64, sums ...[]float64) {
	for _, values := range sums {
		for i := range values {
			values[i] *= factor
			if math.Abs(values[i]) < minSum {
				values[i] = 0
			}
		}
	}
}
