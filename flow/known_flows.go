package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// startTolerance is how much earlier than the agent a server may have started, in milliseconds, that counts as started
// together with it. After a power failure an agent starts some tens of milliseconds after its server. It must be below the
// time until a process that ended is started again, since the earlier process may have given the server flows.
const startTolerance = 100

// serverRun is what is known about the present run of the server beside an agent.
type serverRun struct {
	// incarnation is the run that was examined last.
	incarnation uint64
	// whole is set if the agent has tracked all flows of the run since it began.
	whole bool
}

// observe examines the first entry of a run that is seen together with a configuration. startTime is the Unix millisecond at
// which the agent started. The agent has tracked the whole run if the run is not older than the agent by the clock of their
// VM, and if the store agrees: the entry was created after the configuration in force, or has replaced that of an earlier
// run since the agent started. Either sign alone can be wrong: the clock may have been set back, the store may have lost the
// entry for a while, and the first view of an agent may be old.
func (r *serverRun) observe(entry *registry.Upstream, c *registry.Configuration, startTime uint64) {
	if entry == nil || c == nil || entry.Incarnation == r.incarnation {
		return
	}
	replaced := r.incarnation != 0
	r.incarnation = entry.Incarnation
	r.whole = startTime > 0 && entry.Incarnation+startTolerance >= startTime &&
		(replaced || c.Revision > 0 && entry.Created > c.Revision)
}

// knowsAllFlows reports whether the agent tracks every flow that its server may hold, so that it can deny a flow without
// asking: it has followed the server's present run since that began, or for as long as a flow can live. A shorter time
// proves nothing, since a client may have used its flow meanwhile without any packet that reached this agent. The agent
// knows less after it had to drop a flow, and nothing without a configuration.
func (t *Tracker) knowsAllFlows(now time.Duration) bool {
	return t.routes != nil && (t.run.whole || now-t.completeSince > t.config.MaxFlowAge)
}

// forget removes a flow, which the server may still hold unless it has ended.
func (t *Tracker) forget(key Key, f *trackedFlow) {
	if f.state != ended {
		t.completeSince = max(t.completeSince, f.lastSeen)
		t.run.whole = false
	}
	t.flows.Remove(key)
}
