package flow

import (
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

const (
	// coldBurst is how many new flows a cold server may get at once. In any second it gets at most its rate and this
	// burst, which is below the hard limit of 1.5 × rate + 5 for every rate.
	coldBurst = 2
	// unprovenFactor multiplies the rate while a server is only suspected to be cold because its agent has just started.
	// This loses less capacity when only agents restart, and still keeps the hard limit.
	unprovenFactor = 1.5
	// minColdRate is the lowest rate that an agent reports, since zero means that there is no limit.
	minColdRate = 0.01
	// maxEndedRuns bounds the runs of the server that are remembered as ended. The store shows an ended run only for
	// a few seconds after the next one began.
	maxEndedRuns = 4
)

// coldStart decides whether the server beside an agent has warmed up, and how many new flows it may get until then.
type coldStart struct {
	service registry.Service
	// started is when the agent started, and registration how long a server takes at most to write its entry. unproven
	// is set from then on until it is known that the server did not start together with the agent, as after a power
	// failure.
	started, registration time.Duration
	unproven              bool
	bucket                tokenBucket
	// limited is set while the bucket limits the new flows.
	limited bool
	// run is the run of the server that the latest entry describes, and warmAt when that run has warmed up.
	run      uint64
	runKnown bool
	warmAt   time.Duration
	// endedRuns holds the latest runs that are over. Their entries are ignored.
	endedRuns []uint64
	// down is set while the server is known not to be running. restarted is set from then on until an entry of a later
	// run is seen, and downSince is when it was found to be down.
	down, restarted bool
	downSince       time.Duration
	// assumedUntil is the end of the cold start that is assumed because no entry describes the run.
	assumedUntil time.Duration
}

func newColdStart(started, registration time.Duration) coldStart {
	return coldStart{started: started, registration: registration, unproven: true}
}

// confirm records that the store held the view at the given time. Once it would hold the entry of a run that began
// together with the agent, the run of the entry is the present one.
func (c *coldStart) confirm(confirmed time.Duration) {
	if c.runKnown && confirmed >= c.started+c.registration {
		c.unproven = false
	}
}

// holdsOlderFlow records that the server has sent a packet of a flow that it was not given by this run of the agent. The
// server is therefore older than the agent, as the entry states.
func (c *coldStart) holdsOlderFlow() {
	if c.runKnown {
		c.unproven = false
	}
}

// observe handles the server's entry in a view that the store confirmed at the given time. Entries of ended runs and of
// runs that began before the server was found to be down are ignored: they say nothing about the present run. An
// entry that the store still states after a cold start is not ignored any more: its server has a cold start of another
// length. observe reports whether the server has started anew.
func (c *coldStart) observe(confirmed time.Duration, entry *registry.Upstream) (newRun bool) {
	if slices.Contains(c.endedRuns, entry.Incarnation) {
		return false
	}
	if !c.runKnown || entry.Incarnation != c.run {
		older := c.restarted && c.beganBy(confirmed, entry) < c.downSince
		if older && confirmed < c.downSince+c.service.ColdStart {
			return false
		}
		newRun = c.runKnown || c.restarted
		if c.runKnown {
			c.endRun(c.run)
		}
		c.unproven = c.unproven && !newRun
		c.run, c.runKnown = entry.Incarnation, true
		if !older {
			c.down, c.restarted, c.assumedUntil = false, false, 0
		}
	}
	c.warmAt = entry.WarmAt
	return newRun
}

// beganBy returns the latest time at which the run of an entry can have begun.
func (c *coldStart) beganBy(confirmed time.Duration, entry *registry.Upstream) time.Duration {
	if entry.WarmAt > 0 {
		return entry.WarmAt - c.service.ColdStart
	}
	return confirmed - c.service.ColdStart
}

func (c *coldStart) endRun(run uint64) {
	if slices.Contains(c.endedRuns, run) {
		return
	}
	c.endedRuns = append(c.endedRuns, run)
	if len(c.endedRuns) > maxEndedRuns {
		c.endedRuns = c.endedRuns[1:]
	}
}

// serverDown records that the server is not running. The run of its entry, if there is one, is over.
func (c *coldStart) serverDown(now time.Duration, entry *registry.Upstream) {
	c.down, c.restarted, c.downSince = true, true, now
	c.unproven = false
	if entry != nil {
		c.endRun(entry.Incarnation)
	}
	c.update(now)
}

// answered records that the server has sent a packet. After it was down it is a new run, which has just begun as far as
// the agent knows.
func (c *coldStart) answered(now time.Duration) {
	if c.down && c.restarted {
		c.assumedUntil = now + c.service.ColdStart
	}
	c.down = false
}

// cold reports whether the server has not warmed up. remaining is the time until it has, or the whole cold start while
// the server is down.
func (c *coldStart) cold(now time.Duration) (remaining time.Duration, cold bool) {
	if c.down {
		return c.service.ColdStart, true
	}
	until := max(c.assumedUntil, c.warmAt)
	if c.unproven && c.service.ColdRate > 0 {
		until = max(until, c.started+c.service.ColdStart)
	}
	remaining = until - now
	return max(0, remaining), remaining > 0
}

// onlyUnproven reports whether the only sign of a cold start is that the server may have started with the agent.
func (c *coldStart) onlyUnproven(now time.Duration) bool {
	return c.unproven && !c.down && now >= max(c.assumedUntil, c.warmAt)
}

// update starts or ends the limit on new flows. The budget starts empty, because the number of flows that the server
// got before, for example from an earlier run of the agent, is not known.
func (c *coldStart) update(now time.Duration) {
	_, cold := c.cold(now)
	rate := c.service.ColdRate
	if c.onlyUnproven(now) {
		rate *= unprovenFactor
	}
	limited := cold && rate > 0
	if limited && !c.limited {
		c.bucket = tokenBucket{burst: coldBurst, refilled: now}
	}
	if limited && c.bucket.perSecond != rate {
		c.bucket.available(now)
		c.bucket.perSecond = rate
	}
	c.limited = limited
}

// allows reports whether the server may be given an opening packet now.
func (c *coldStart) allows(now time.Duration) bool {
	c.update(now)
	return !c.limited || c.bucket.available(now) >= 1
}

// sent counts an opening packet or a further request of an open flow that the server is given.
func (c *coldStart) sent(now time.Duration) {
	c.update(now)
	if c.limited {
		c.bucket.overdraw(now)
	}
}

// rateLeft returns how many new flows the server may get in the next second, or zero if there is no limit.
func (c *coldStart) rateLeft(now time.Duration) float64 {
	c.update(now)
	if !c.limited {
		return 0
	}
	return max(minColdRate, c.service.ColdRate+c.bucket.available(now))
}

// found counts the request of a flow that turned out to be held by the server.
func (c *coldStart) found(now time.Duration, f *trackedFlow) {
	if f.state == searchDelivered && f.work == requested {
		c.sent(now)
	}
}

// countRequest counts a request of a flow that the server holds against the cold rate. The opening packet covers the
// first request. Requests of flows that the server may not hold are not counted: after the loss of many servers, the
// searches of their clients would use up the budget of those that have restarted.
func (t *Tracker) countRequest(now time.Duration, f *trackedFlow) {
	if f.state == open && f.work != requested && !f.counted {
		t.cold.sent(now)
	}
	f.counted = false
}

// Cold reports whether the server has not warmed up, with the limit on its new flows per second, which is zero if there
// is none, and the expected time until it has warmed up.
func (t *Tracker) Cold(now time.Duration) (rate float64, remaining time.Duration, cold bool) {
	remaining, cold = t.cold.cold(now)
	return t.cold.service.ColdRate, remaining, cold
}

// setCold adopts what a view states about the warm-up of the server.
func (t *Tracker) setCold(view *registry.View) {
	if view.Configuration != nil {
		t.cold.service = view.Configuration.Services[t.config.Service]
	}
	t.Confirm(view.Confirmed)
	t.cold.update(max(t.started, t.load.now))
}

// Confirm records that the store held the view in force at the given time. The server's entry is examined again, since one
// that was ignored counts if the store still states it later.
func (t *Tracker) Confirm(confirmed time.Duration) {
	if t.entry != nil && t.cold.observe(confirmed, t.entry) {
		t.server.restarted()
		t.load.speed.forget()
	}
	t.cold.confirm(confirmed)
}

// observeAnswer looks in a packet from the server for evidence that the server is older than the agent.
func (t *Tracker) observeAnswer(p *Packet) {
	if !t.cold.unproven || p.Kind == Accepting || p.Kind == Resetting {
		return
	}
	if f, known := t.flows.Peek(p.Key); !known || f.state == searchDelivered {
		t.cold.holdsOlderFlow()
	}
}
