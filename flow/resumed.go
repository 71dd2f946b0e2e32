package flow

import "time"

// Resumed records that the balancer continues after a pause of its own. What agents have sent meanwhile still waits in its
// sockets, so what they were sent before counts as sent now.
func (d *Director) Resumed(now time.Duration) {
	d.resumed = now
	for _, a := range d.agents {
		if a.waitingSince > 0 {
			a.waitingSince = now
		}
	}
	if d.awaitingSince > 0 {
		d.awaitingSince = now
	}
	for _, o := range d.openings.queue {
		o.due = max(o.due, now+d.config.HedgeAfter)
	}
}

// silence returns for how long the balancer could have heard from an agent and has not.
func (d *Director) silence(now time.Duration, a *agent) time.Duration {
	if a.lastHeard == 0 {
		return now
	}
	return now - max(a.lastHeard, d.resumed)
}
