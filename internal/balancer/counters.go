package balancer

import (
	"sync/atomic"

	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/internal/udp"
)

// counters holds the metrics of a balancer. All except refusalDrops count packets.
type counters struct {
	routes           [routing.NumKinds]atomic.Uint64
	returned         atomic.Uint64
	malformedReturns atomic.Uint64
	unknownReturns   atomic.Uint64
	writeFailures    atomic.Uint64
	probes           atomic.Uint64
	refusalDrops     atomic.Uint64
}

// addWriteFailures adds the failures of a writer since the last call and resets its count.
func (c *counters) addWriteFailures(w *udp.Writer) {
	if failed := w.ResetFailed(); failed > 0 {
		c.writeFailures.Add(failed)
	}
}

// Counters returns the metrics by name, counted since the start of the balancer.
func (b *Balancer) Counters() map[string]uint64 {
	c := b.counts
	counts := map[string]uint64{
		"returned":          c.returned.Load(),
		"malformed_returns": c.malformedReturns.Load(),
		"unknown_returns":   c.unknownReturns.Load(),
		"write_failures":    c.writeFailures.Load(),
		"probes":            c.probes.Load(),
		"refusal_drops":     c.refusalDrops.Load(),
	}
	for kind := range routing.NumKinds {
		counts["route_"+kind.String()] = c.routes[kind].Load()
	}
	return counts
}
