// Package traffic counts and shapes the control traffic of a process.
package traffic

import "sync/atomic"

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

// Meter counts bytes by purpose. A nil Meter counts nothing.
type Meter struct {
	bytes [purposes]atomic.Uint64
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
