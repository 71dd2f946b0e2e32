// Package traffic counts and rate-limits the control traffic of a process.
package traffic

import (
	"context"
	"sync"
	"sync/atomic"
)

// Purpose classifies control messages.
type Purpose int

// The purposes of control messages.
const (
	// Liveness is for heartbeats.
	Liveness Purpose = iota
	// Configuration is for published values.
	Configuration
	// Membership is for lists of VMs.
	Membership
	// Requests is for callers' requests that one agent forwards to another.
	Requests
	// HandOver is for the request records that a leaving agent transfers to its successor.
	HandOver
	// Status is for status queries of operators.
	Status
	// purposes is the number of purposes.
	purposes
)

var purposeNames = [purposes]string{"liveness", "configuration", "membership", "requests", "hand_over", "status"}

// String returns the name of the purpose as it appears in counters.
func (p Purpose) String() string {
	if p < 0 || p >= purposes {
		return "unknown"
	}
	return purposeNames[p]
}

// Meter counts bytes by purpose and delays messages that exceed the control traffic budget of the node. A nil Meter
// does neither. The zero Meter has the default budget.
type Meter struct {
	bytes  [purposes]atomic.Uint64
	once   sync.Once
	shaper *Shaper
}

// NewMeter returns a Meter with a budget other than the default.
func NewMeter(config ShaperConfig) *Meter {
	m := &Meter{}
	m.once.Do(func() { m.shaper = NewShaper(config) })
	return m
}

// Wait blocks until the budget admits a message of the given size or ctx is done.
func (m *Meter) Wait(ctx context.Context, purpose Purpose, bytes int) error {
	if m == nil {
		return nil
	}
	m.once.Do(func() { m.shaper = NewShaper(DefaultShaperConfig()) })
	return m.shaper.Wait(ctx, purpose, bytes)
}

// Add counts a message of the given size.
func (m *Meter) Add(purpose Purpose, bytes int) {
	if m == nil {
		return
	}
	m.bytes[purpose].Add(uint64(bytes))
}

// Bytes returns the number of bytes counted so far, by the name of the purpose.
func (m *Meter) Bytes() map[string]uint64 {
	counts := make(map[string]uint64, purposes)
	if m == nil {
		return counts
	}
	for p := range purposes {
		counts[p.String()] = m.bytes[p].Load()
	}
	return counts
}
