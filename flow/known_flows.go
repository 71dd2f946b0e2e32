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

// knowsAllFlows reports whether the agent tracks every flow of its server that has not been idle for too long. It does not
// shortly after its start, after it had to drop a flow, and after a configuration has raised the idle time-out.
func (t *Tracker) knowsAllFlows(now time.Duration) bool {
	return t.routes != nil && now-t.completeSince > t.idleTimeout
}

// forget removes a flow that the server may still hold.
func (t *Tracker) forget(key Key, f *trackedFlow) {
	t.completeSince = max(t.completeSince, f.lastSeen)
	t.run.whole = false
	t.flows.Remove(key)
}

// denyWide handles a packet of a search of all services whose flow the agent does not track. The server may hold the flow
// if the agent has not tracked all flows of it, but it must not get packets of services that may not be its own. After the
// loss of all processes, the packets of such a flow reach no agent, so an agent that has restarted does not learn of it while
// its client uses it. The agent then knows that only once the flow is older than MaxFlowAge.
func (t *Tracker) denyWide(now time.Duration, request Request) Verdict {
	if t.run.whole || t.knowsAllFlows(now) && now-t.started > t.config.MaxFlowAge {
		return t.deny(request, "server is not known to hold the flow")
	}
	request.Changed = outdated
	return t.deny(request, "agent does not know all flows of its server")
}
