package balancer

import (
	"net/netip"
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// View provides the current settings.
type View interface {
	// Current returns the newest accepted settings, or nil before the first revision.
	Current() *settings.Tree
	// Observe records that the process at the address peer has a higher revision.
	Observe(revision uint64, peer string)
}

// Config configures a Balancer.
type Config struct {
	// View is required.
	View View
	// Codec decodes the owners of flows from connection IDs. It is required.
	Codec *placement.Codec
	// AgentListen is the address of the agent-facing socket. Agents send returned packets to it, so its IP
	// must be specified and reachable by them.
	AgentListen netip.AddrPort
	// Bind maps the name of a service to the address to listen on, if packets arrive at another
	// address than the one in the settings.
	Bind map[string]netip.AddrPort
	// Liveness configures the detection of dead agents. Its zero value means the defaults.
	Liveness placement.LivenessConfig
	// Retention is how long an upstream that was removed from the settings is kept for its open
	// flows. Long values cost memory for each upstream. Zero means 12 h.
	Retention time.Duration
	// BatchSize is the maximum number of packets per read or write system call. Zero means 32.
	BatchSize int
	// ReadBuffer is the size of the receive buffer of each socket, in bytes. Zero means 4 MiB.
	ReadBuffer int
	// Event logs an event with alternating keys and values. Nil disables logging.
	Event func(op string, kv ...any)
	// OnPlaced is called after an agent was chosen for the first packet of a flow, for tracing. Nil
	// disables it, which saves reading the clock for each packet.
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
