package balancer

import (
	"net/netip"
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// View gives the settings in force.
type View interface {
	// Current returns the newest accepted tree, or nil before the first.
	Current() *settings.Tree
	// Observe reports that the process at peer has a higher revision.
	Observe(revision uint64, peer string)
}

// Config holds the settings of a Balancer.
type Config struct {
	// View is where the settings come from.
	View View
	// Codec decodes the owners of flows.
	Codec *placement.Codec
	// AgentListen is the address of the socket towards agents. Agents return packets to it, so it must
	// name an IP that they can reach.
	AgentListen netip.AddrPort
	// Bind replaces the address of a service, by its name, where packets arrive on another one.
	Bind map[string]netip.AddrPort
	// Liveness tunes the detection of dead agents; its zero value takes the default.
	Liveness placement.LivenessConfig
	// Retention is how long an upstream that the settings no longer name stays known for its open
	// flows. Long values cost memory for each upstream. Zero means 12 h.
	Retention time.Duration
	// BatchSize is the number of packets read or written by one system call. Zero means 32.
	BatchSize int
	// ReadBuffer is the size of the receive buffer of each socket, in bytes. Zero means 4 MiB.
	ReadBuffer int
	// Event reports what happens, as alternating keys and values; nil reports nothing.
	Event func(op string, kv ...any)
	// OnPlaced reports the choice of an agent for the first packet of a flow; nil reports nothing and
	// saves the reading of the clock.
	OnPlaced func(start, end time.Time, flow uint64, service, server uint32)
}

const (
	defaultRetention  = 12 * time.Hour
	defaultBatch      = 32
	defaultReadBuffer = 4 << 20
)

func withDefaults(c Config) Config {
	if c.Liveness == (placement.LivenessConfig{}) {
		c.Liveness = placement.DefaultLivenessConfig()
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.BatchSize == 0 {
		c.BatchSize = defaultBatch
	}
	if c.ReadBuffer == 0 {
		c.ReadBuffer = defaultReadBuffer
	}
	if c.Event == nil {
		c.Event = func(string, ...any) {}
	}
	return c
}
