package flowbalancer

import (
	"sync/atomic"

	"github.com/bramleyrack/bramleyrack/flow"
)

// counters holds the metrics of a balancer. The event loop updates them while Counters reads them.
type counters struct {
	clientPackets atomic.Uint64
	malformed     atomic.Uint64
	actions       [flow.Reset + 1]atomic.Uint64
	opened        atomic.Uint64
	searched      atomic.Uint64
	hedged        atomic.Uint64
	reported      atomic.Uint64
	heartbeats    atomic.Uint64
	writeFailures atomic.Uint64
	evacuated     atomic.Uint64
	cold          atomic.Uint64
	// stale counts the opening packets that were refused because their clients may have given up.
	stale atomic.Uint64
	flows atomic.Int64
}

// Counters returns the counts since the start and the current number of flows, by metric name.
func (b *Balancer) Counters() map[string]uint64 {
	c := &b.counts
	counts := map[string]uint64{
		"client_packets":        c.clientPackets.Load(),
		"malformed":             c.malformed.Load(),
		"opened":                c.opened.Load(),
		"searched":              c.searched.Load(),
		"hedged":                c.hedged.Load(),
		"reported":              c.reported.Load(),
		"heartbeats":            c.heartbeats.Load(),
		"write_failures":        c.writeFailures.Load(),
		"turned_away_evacuated": c.evacuated.Load(),
		"turned_away_cold":      c.cold.Load(),
		"stale_packets":         c.stale.Load(),
		"flows":                 uint64(c.flows.Load()),
	}
	for action := range c.actions {
		counts["action_"+flow.Action(action).String()] = c.actions[action].Load()
	}
	return counts
}
