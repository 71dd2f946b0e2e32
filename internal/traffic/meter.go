// Package traffic counts and shapes the control traffic of a process.
package traffic

import (
	"context"
	"sync"
	"sync/atomic"
)

// Purpose says what a control message is for.
type Purpose int

// The purposes of control messages.
const (
	// Liveness is heartbeats.
	Liveness Purpose = iota
	// Configuration is published values.
	Configuration
	// Membership is lists of VMs.
	Membership
	// Requests is the passing of callers' requests between agents.
	Requests
	// HandOver is the records that a leaving agent gives away.
	HandOver
	// Status is the questions of operators.
	Status
	purposes
)

var purposeNames = [purposes]string{"liveness", "configuration", "membership", "requests", "hand_over", "status"}

// String returns the name of the purpose in counters.
func (p Purpose) String() string {
	if p < 0 || p >= purposes {
		return "unknown"
	}
	return purposeNames[p]
}

// Meter counts bytes by purpose and delays what exceeds the budget of the node. A nil Meter does
// neither. The zero Meter has the default budget.
type Meter struct {
	bytes  [purposes]atomic.Uint64
	once   sync.Once
	shaper *Shaper
}

// NewMeter returns a meter with the given budget.
func NewMeter(config ShaperConfig) *Meter {
	m := &Meter{}
	m.once.Do(func() { m.shaper = NewShaper(config) })
	return m
}

// Wait blocks until a message of so many bytes may be sent.
func (m *Meter) Wait(ctx context.Context, purpose Purpose, bytes int) error {
	if m == nil {
		return nil
	}
	m.once.Do(func() { m.shaper = NewShaper(DefaultShaperConfig()) })
	return m.shaper.Wait(ctx, purpose, bytes)
}

// Add counts the bytes of one message.
func (m *Meter) Add(purpose Purpose, bytes int) {
	if m == nil {
		return
	}
	m.bytes[purpose].Add(uint64(bytes))
}

// Bytes returns the bytes counted so far by the name of the purpose.
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
