package flow

import (
	"math"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// load tracks the load of the server beside an agent.
type load struct {
	config TrackerConfig
	slots  int
	// flows is the number of open flows.
	flows int
	// requests holds the flows with running or waiting requests, in the order in which the server received them.
	// The server runs the first ones, up to the number of its slots.
	requests []*trackedFlow
	// reserved holds the flows that were opened, the oldest first. expected counts those whose first request is
	// still expected.
	reserved []*trackedFlow
	expected int
	// held is the number of requests on open flows that the agent holds until the server has room for them.
	held int
	// mean is the mean service time over samples requests, the last of which was measured at lastSample.
	mean       time.Duration
	samples    int
	lastSample time.Duration
	// lastTrial is when the server was last given a flow as a trial although it appeared to be too slow.
	lastTrial time.Duration
	outcomes  outcomes
	// now is the latest time that was passed to advance.
	now time.Duration
	// work measures the work for the open flows.
	work workMeter
	// speed measures how fast the server is.
	speed speedMeter
}

// work is the work that the server has to do for a flow.
type work uint8

const (
	// idle means that the server has no work for the flow.
	idle work = iota
	// expected means that the first request is about to arrive.
	expected
	// heldBack means that the agent holds a request until the server has room for it.
	heldBack
	// requested means that a request is running or waiting at the server.
	requested
)

func newLoad(config TrackerConfig) load {
	return load{config: config, slots: 1}
}

const (
	// minSampleWeight is the lowest weight of one sample in the mean service time.
	minSampleWeight = 0.05
	// minSamples is how many requests must have been measured for their mean to be used alone. Below that, an
	// assumed service time is included with the weight of guessSamples samples.
	minSamples   = 20
	guessSamples = 2
	// minPeerFraction is the fraction of the peers' service time that a request is expected to take at least.
	minPeerFraction = 0.5
	// meanDecay is the time constant with which the mean loses weight relative to a new sample.
	meanDecay = time.Second
	// lostFactor is the multiple of the mean service time after which a running request may be lost. A long request that
	// is taken for a lost one only makes the queue at the server longer by one.
	lostFactor = 3
	// queuePerSlots is the number of slots for which the server is given one request more than it can run at once, so that
	// a slot that becomes free finds the next request without a round trip to the agent. All others wait at the agent,
	// where urgent ones can overtake them.
	queuePerSlots = 4
)

// advance sets the time of the changes that follow, for example of a flow that is evicted. Call it before each of them.
func (l *load) advance(now time.Duration) {
	l.now = now
	l.work.advance(now, l.busy(), l.flows)
}

// busy returns the number of requests that are running, waiting, held or expected.
func (l *load) busy() int {
	return len(l.requests) + l.expected + l.held
}

// atServer returns the number of requests that the server has or that are expected on new flows.
func (l *load) atServer() int {
	return len(l.requests) + l.expected
}

// hasRoom reports whether the server is to be given another request now. Requests that have been running for so long that
// they may be lost leave their room to others.
func (l *load) hasRoom(now time.Duration) bool {
	room := l.slots + (l.slots+queuePerSlots-1)/queuePerSlots
	if len(l.requests) < room {
		return true
	}
	running := len(l.requests)
	for _, f := range l.requests[:l.slots] {
		if l.maybeLost(now, f) {
			running--
		}
	}
	return running < room
}

// maybeLost reports whether a running request has been running for so long that it may be lost.
func (l *load) maybeLost(now time.Duration, f *trackedFlow) bool {
	return l.samples >= minSamples && now-f.processingSince > lostFactor*l.mean
}

// expectedTime returns the expected time until a new request is answered that the given number of others precede.
func (l *load) expectedTime(budget time.Duration, ahead int) time.Duration {
	return l.roundTime(budget) + l.waitForSlot(budget, ahead)
}

// waitForSlot returns the expected wait of a new request for a slot, if the given number of others precede it.
func (l *load) waitForSlot(budget time.Duration, ahead int) time.Duration {
	rounds := float64(max(0, ahead+1-l.slots)) / float64(l.slots)
	return time.Duration(rounds * float64(l.roundTime(budget)))
}

// roundTime returns the expected time until a running request frees its slot.
func (l *load) roundTime(budget time.Duration) time.Duration {
	return max(l.serviceTime(budget), time.Duration(minPeerFraction*float64(l.outcomes.peers.ServiceTime)))
}

// serviceTime returns the expected service time of a request. After a start, when servers are cold and few requests
// were measured, a fraction of the route's latency budget serves as additional samples.
func (l *load) serviceTime(budget time.Duration) time.Duration {
	if l.samples >= minSamples {
		return l.mean
	}
	n := float64(l.samples)
	guess := guessFraction * float64(budget)
	return time.Duration((n*float64(l.mean) + guessSamples*guess) / (n + guessSamples))
}

// allowTrial reports whether an idle server that appears to be too slow may be given a flow now as a trial.
func (l *load) allowTrial(now time.Duration) bool {
	if l.busy() > 0 || now-l.lastTrial < l.config.SlowTrialInterval {
		return false
	}
	l.lastTrial = now
	return true
}

// reserve counts a new flow as busy until its first request arrives or ReservationTimeout has passed.
func (l *load) reserve(now time.Duration, f *trackedFlow) {
	if f.hasRequested || f.work != idle {
		return
	}
	f.work, f.workSince = expected, now
	l.expected++
	l.reserved = append(l.reserved, f)
}

// releaseExpired cancels the reservations of flows whose first request did not arrive in time.
func (l *load) releaseExpired(now time.Duration) {
	for len(l.reserved) > 0 {
		f := l.reserved[0]
		if f.work == expected && now-f.workSince <= l.config.ReservationTimeout {
			return
		}
		if f.work == expected {
			l.end(f)
		}
		l.reserved = l.reserved[1:]
	}
}

// start records a packet of a request. The server begins to process a request when it has received all of it and
// has a free slot.
func (l *load) start(now time.Duration, f *trackedFlow) {
	f.hasRequested = true
	switch f.work {
	case requested:
		if l.isRunning(f) {
			f.processingSince = now
		}
		return
	case expected:
		l.expected--
	case heldBack:
		l.held--
	}
	f.work, f.workSince, f.processingSince, f.late = requested, now, now, false
	l.requests = append(l.requests, f)
}

// hold records that the agent holds the request of a flow.
func (l *load) hold(now time.Duration, f *trackedFlow) {
	if f.work == expected {
		l.expected--
	}
	f.hasRequested, f.work, f.workSince = true, heldBack, now
	l.held++
}

// answer records that the server has begun to answer the request of a flow. It returns the service time of the request,
// or zero if it is not known or the answer does not count as good.
func (l *load) answer(now time.Duration, f *trackedFlow) (took time.Duration) {
	if l.isRunning(f) && !f.late && l.outcomes.answered(now, now-f.processingSince) {
		took = now - f.processingSince
		l.recordServiceTime(now, took)
	}
	l.end(f)
	return took
}

// isRunning reports whether the server is processing the request of a flow.
func (l *load) isRunning(f *trackedFlow) bool {
	return f.work == requested && slices.Index(l.requests, f) < l.slots
}

// reset records that the server has reset a flow.
func (l *load) reset(now time.Duration, f *trackedFlow) {
	if l.isRunning(f) && !f.late {
		l.outcomes.failed(now)
	}
	l.end(f)
}

// end records that the server has no more work for a flow. Its slot goes to the next waiting request.
func (l *load) end(f *trackedFlow) {
	switch f.work {
	case expected:
		l.expected--
	case heldBack:
		l.held--
	case requested:
		i := slices.Index(l.requests, f)
		l.requests = slices.Delete(l.requests, i, i+1)
		if i < l.slots && len(l.requests) >= l.slots {
			l.requests[l.slots-1].processingSince = l.now
		}
	}
	f.work = idle
}

// expire ends the requests that have been running or waiting for too long.
func (l *load) expire(now time.Duration) {
	for len(l.requests) > 0 && now-l.requests[0].workSince > l.config.RequestTimeout {
		l.end(l.requests[0])
	}
}

// checkLate counts as failed the requests that have been running for too long.
func (l *load) checkLate(now time.Duration) {
	speed := l.speed.speed(now)
	for _, f := range l.requests[:min(len(l.requests), l.slots)] {
		if !f.late && l.outcomes.isLate(now-f.processingSince, speed) {
			f.late = true
			l.outcomes.failed(now)
		}
	}
}

// recordServiceTime includes the service time of a request in the mean. The first samples have equal weight; after
// that, a sample has the more weight the longer ago the previous one was.
func (l *load) recordServiceTime(now, took time.Duration) {
	l.samples++
	ageWeight := 1 - math.Exp(-float64(now-l.lastSample)/float64(meanDecay))
	weight := max(minSampleWeight, ageWeight, 1/float64(l.samples))
	l.mean += time.Duration(weight * float64(took-l.mean))
	l.lastSample = now
}

// latencyBudget is the time that a request of a route may spend waiting and being processed. The rest of the
// route's target is left for the network and for requests that take longer than the mean. Routes of lower priority
// have a smaller budget, so that their requests are refused earlier and leave capacity to urgent ones. The route is
// nil if it is not known yet.
func latencyBudget(r *registry.Route) time.Duration {
	if r == nil || r.Target == 0 {
		return defaultBudget
	}
	fraction := budgetFraction - budgetStep*float64(min(r.Priority, maxPriority))
	return time.Duration(fraction * float64(r.Target))
}

const (
	// budgetFraction is the fraction of the target that is the budget of the most urgent route. Each priority step
	// reduces it by budgetStep, up to maxPriority steps.
	budgetFraction = 0.9
	budgetStep     = 0.1
	maxPriority    = 4
	// defaultBudget is the budget of a route without a target; it bounds how long requests wait at a server.
	defaultBudget = time.Second
	// guessFraction is the fraction of its budget that a request is assumed to take before any was measured.
	guessFraction = 0.45
)
