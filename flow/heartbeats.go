package flow

import "time"

// heartbeatBurst is how many heartbeats may be sent at once, as after a start or a change.
const heartbeatBurst = 50

// maxLooked bounds the agents that one call looks at, so that a large fleet costs little while none is due.
const maxLooked = 2000

// Heartbeat returns the next agent that is due for a heartbeat, and false when there is none.
func (d *Director) Heartbeat(now time.Duration) (IP, bool) {
	d.refill(now)
	for range min(len(d.order), maxLooked) {
		if d.budget < 1 {
			return IP{}, false
		}
		d.heartbeat = (d.heartbeat + 1) % len(d.order)
		a := d.order[d.heartbeat]
		if now < a.next {
			continue
		}
		interval := d.config.HeartbeatInterval
		switch {
		case a.doubtful(now, d.config.UnresponsiveAfter):
			interval = d.config.RetryInterval
		case a.place != d.config.Place:
			interval = d.config.RemoteInterval
		}
		a.next = now + interval
		a.asked(now)
		d.budget--
		return a.ip, true
	}
	return IP{}, false
}

// refill adds the heartbeats that the time since the last call allows.
func (d *Director) refill(now time.Duration) {
	most := float64(d.config.MaxHeartbeats)
	d.budget = min(d.budget+(now-d.ticked).Seconds()*most, heartbeatBurst)
	d.ticked = now
}

// Sweep forgets the hints of silent flows. It is to be called about once a second.
func (d *Director) Sweep(now time.Duration) {
	d.hints.sweep(now)
	d.forgetAgents(now)
}

// Flows returns the number of flows whose owner is remembered.
func (d *Director) Flows() int {
	return d.hints.lru.Len()
}

// HeartbeatAll makes a heartbeat to every agent due, so that news of the view spreads at once.
func (d *Director) HeartbeatAll() {
	for _, a := range d.order {
		a.next = 0
	}
}
