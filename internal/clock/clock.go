// Package clock provides a clock that includes the time during which the machine is suspended. Go's monotonic clock
// stops during suspension.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since it was created. It is safe for concurrent use.
type Clock struct {
	start time.Time
	// bootAtStart is the time since the machine booted, as of start.
	bootAtStart time.Duration
	// suspended is the time in nanoseconds that the machine was suspended from start to the last call of
	// DetectSuspension.
	suspended atomic.Int64
}

// New returns a clock that reads zero now.
func New() *Clock {
	return &Clock{start: time.Now(), bootAtStart: sinceBoot()}
}

// StartTime returns the time of day at which the clock was created.
func (c *Clock) StartTime() time.Time {
	return c.start
}

// sinceBoot returns the time since the machine booted, including suspension.
func sinceBoot() time.Duration {
	var t unix.Timespec
	// The call fails only if the kernel doesn't know the clock; Linux has CLOCK_BOOTTIME since 2.6.39.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Now returns the time since the clock was created. It includes a suspension only after the next call of
// DetectSuspension.
func (c *Clock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// DetectSuspension compares the time since boot with the monotonic clock and adds the difference to Now. It returns how
// long the machine was suspended since the last call.
func (c *Clock) DetectSuspension() time.Duration {
	suspended := max(0, sinceBoot()-c.bootAtStart-time.Since(c.start))
	return max(0, suspended-time.Duration(c.suspended.Swap(int64(suspended))))
}
