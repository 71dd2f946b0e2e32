// Package clock gives a time that goes on while the machine is suspended, as Go's monotonic clock does not.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its start. It is safe for concurrent use.
type Clock struct {
	start time.Time
	boot  time.Duration
	// suspended is how long the machine was suspended since the start, as of the last call of Check.
	suspended atomic.Int64
}

// New returns a clock that starts now.
func New() *Clock {
	return &Clock{start: time.Now(), boot: sinceBoot()}
}

// sinceBoot returns the time since the start of the machine, suspended or not.
func sinceBoot() time.Duration {
	var t unix.Timespec
	// The call fails only on an unknown clock; Linux has this one since 2.6.39.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Now returns the time since the start. A suspension is part of it from the next call of Check on.
func (c *Clock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// DetectSuspension looks for suspensions of the machine and returns how long it was suspended since the last call.
func (c *Clock) DetectSuspension() time.Duration {
	suspended := max(0, sinceBoot()-c.boot-time.Since(c.start))
	return max(0, suspended-time.Duration(c.suspended.Swap(int64(suspended))))
}
