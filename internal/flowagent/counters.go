package flowagent

import (
	"sync/atomic"

	"github.com/bramleyrack/bramleyrack/flow"
)

// counters holds the metrics of an agent. The event loop updates them while Counters reads them.
type counters struct {
	nodePackets   atomic.Uint64
	serverPackets atomic.Uint64
	malformed     atomic.Uint64
	actions       [flow.Wait + 1]atomic.Uint64
	held          atomic.Uint64
	refused       atomic.Uint64
	// refusals counts the refused flows by reason.
	refusals      [flow.RefusedGroup + 1]atomic.Uint64
	announced     atomic.Uint64
	lost          atomic.Uint64
	writeFailures atomic.Uint64
	evacuated     atomic.Uint64
	cold          atomic.Uint64
	// stale counts the packets that were not passed on because their clients may have given up.
	stale atomic.Uint64
	// waiting counts the opening packets that wait for a slot now, waited those that have waited, and waitedTooLong those
	// that were refused after it.
	waiting               atomic.Int64
	waited, waitedTooLong atomic.Uint64
	// requestsHeld counts the requests on open flows that are held now, and the others those since the start.
	requestsHeld                                                  atomic.Int64
	requestsHeldTotal, requestsHeldOverdue, requestsHeldAbandoned atomic.Uint64
	flows                                                         atomic.Int64
	busy                                                          atomic.Int64
}

// Counters returns the counts since the start and the current gauges, by metric name.
func (a *Agent) Counters() map[string]uint64 {
	c := &a.counts
	counts := map[string]uint64{
		"node_packets":          c.nodePackets.Load(),
		"server_packets":        c.serverPackets.Load(),
		"malformed":             c.malformed.Load(),
		"held":                  c.held.Load(),
		"refused":               c.refused.Load(),
		"announced":             c.announced.Load(),
		"lost":                  c.lost.Load(),
		"write_failures":        c.writeFailures.Load(),
		"turned_away_evacuated": c.evacuated.Load(),
		"turned_away_cold":      c.cold.Load(),
		"stale_packets":         c.stale.Load(),
		"waiting":               uint64(c.waiting.Load()),
		"waited":                c.waited.Load(),
		"waited_too_long":       c.waitedTooLong.Load(),
		"requests_held":         uint64(c.requestsHeld.Load()),
		"requests_held_total":   c.requestsHeldTotal.Load(),
		"requests_held_overdue": c.requestsHeldOverdue.Load(),
		"requests_abandoned":    c.requestsHeldAbandoned.Load(),
		"flows":                 uint64(c.flows.Load()),
		"busy":                  uint64(c.busy.Load()),
	}
	for action := range c.actions {
		counts["action_"+flow.Action(action).String()] = c.actions[action].Load()
	}
	for reason := flow.RefusedBusy; reason <= flow.RefusedGroup; reason++ {
		counts["refused_"+reason.String()] = c.refusals[reason].Load()
	}
	return counts
}

// recordHeld publishes the counts of what the agent holds.
func (c *counters) recordHeld(h flow.HeldCounts) {
	c.waiting.Store(int64(h.Openings))
	c.waited.Store(h.TotalOpenings)
	c.waitedTooLong.Store(h.TooLong)
	c.requestsHeld.Store(int64(h.Requests))
	c.requestsHeldTotal.Store(h.TotalRequests)
	c.requestsHeldOverdue.Store(h.Overdue)
	c.requestsHeldAbandoned.Store(h.Abandoned)
}

// record counts a decision.
func (c *counters) record(v *flow.Verdict) {
	c.actions[v.Action].Add(1)
	if v.Refusal != flow.NotRefused {
		c.refusals[v.Refusal].Add(1)
	}
}
