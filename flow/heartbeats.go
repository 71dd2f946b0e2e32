package flow

import "time"

// heartbeatBurst is how many heartbeats may be sent at once, for example after a start or a change of the view.
const heartbeatBurst = 50

// maxScanned bounds the agents that one call examines, so that a call stays cheap in a large fleet when no
// heartbeat is due.
const maxScanned = 2000

// Heartbeat returns the next agent to which a heartbeat is due, or false if there is none.
func (d *Director) Heartbeat(now time.Duration) (IP, bool) {
	if d.heartbeats.available(now) < 1 {
		return IP{}, false
	}
	for range min(len(d.sortedAgents), maxScanned) {
		d.heartbeatCursor = (d.heartbeatCursor + 1) % len(d.sortedAgents)
		a := d.sortedAgents[d.heartbeatCursor]
		if now < a.nextHeartbeat {
			continue
		}
		interval := d.config.HeartbeatInterval
		switch {
		case a.unresponsive(now, d.config.UnresponsiveAfter):
			interval = d.config.RetryInterval
		case a.place != d.config.Place:
			interval = d.config.RemoteInterval
		}
		a.nextHeartbeat = now + interval
		a.expectReply(now)
		if d.awaitingSince == 0 {
			d.awaitingSince = now
		}
		d.heartbeats.take(now, 1)
		return a.ip, true
	}
	return IP{}, false
}

// Isolated reports whether no agent has answered for so long that the balancer is probably cut off from all of them. Its
// clients are then better served by other balancers.
func (d *Director) Isolated(now time.Duration) bool {
	return len(d.sortedAgents) > 0 && d.awaitingSince > 0 && now-d.awaitingSince > d.config.IsolatedAfter
}

// Sweep removes the hints of idle flows and the agents that are no longer needed. Call it about once a second.
func (d *Director) Sweep(now time.Duration) {
	d.hints.expire(now)
	d.pruneAgents(now)
}

// Agents returns the number of agents that get heartbeats.
func (d *Director) Agents() int {
	return len(d.sortedAgents)
}

// Flows returns the number of flows with a cached owner.
func (d *Director) Flows() int {
	return d.hints.lru.Len()
}

// HeartbeatAll makes a heartbeat to every agent due immediately, so that a new view spreads without delay.
func (d *Director) HeartbeatAll() {
	for _, a := range d.sortedAgents {
		a.nextHeartbeat = 0
	}
}
