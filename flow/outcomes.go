package flow

import (
	"math"
	"time"
)

// PeerStats holds the medians over the servers of a service, which a balancer sends to the service's agents.
type PeerStats struct {
	// ServiceTime is the median of their mean service times, or zero if too few are known.
	ServiceTime time.Duration
	// FailureRate is the median of their apparent failure rates.
	FailureRate float64
	// RouteTimes are the medians of their times per route. Only some heartbeats hold them.
	RouteTimes RouteTimes
}

// outcomes detects a failing server from the outcomes of its requests. The payload is opaque, so a request counts
// as failed if its answer comes much sooner than those of the server's peers, if no answer comes, or if the server
// resets the flow.
type outcomes struct {
	// peers holds the most recent medians from any balancer, and comparedSince is when the first ones arrived.
	peers         PeerStats
	comparedSince time.Duration
	// failureRate is the weighted share of requests that count as failed, over samples requests, the last of which
	// ended at lastSample.
	failureRate float64
	samples     int
	lastSample  time.Duration
	// suspect is set while the server fails more of its requests than its peers, and goodStreak counts the requests
	// since then that were answered well in a row.
	suspect    bool
	goodStreak int
	// clearedAt is when the server last ceased to be suspect, and relapses counts how often it became suspect again
	// soon after.
	clearedAt time.Duration
	relapses  int
	// lastTrial is when a suspect server was last given a flow as a trial.
	lastTrial time.Duration
}

const (
	// minOutcomeWeight is the lowest weight of one request in the failure rate.
	minOutcomeWeight = 1.0 / 16
	// outcomeDecay is the time constant with which earlier requests lose weight in the failure rate.
	outcomeDecay = 4 * time.Second
	// minOutcomes is how many requests must have ended before a server can become suspect.
	minOutcomes = 8
	// suspectMargin is how far the failure rate must exceed that of the peers for a server to become suspect.
	suspectMargin = 0.2
	// noiseSigmas is how many standard deviations above the peers' failure rate are attributed to chance.
	noiseSigmas = 3
	// comparisonDelay is how long a server must have known its peers' medians before it can become suspect, so that
	// its samples and theirs cover the same requests.
	comparisonDelay = 2 * time.Second
	// recoveryStreak is how many requests in a row a suspect server must answer well to be cleared. Each relapse
	// doubles it, at most maxRelapses times; a server that stays clear for relapseWindow starts over.
	recoveryStreak = 5
	maxRelapses    = 3
	relapseWindow  = 20 * time.Second
	// suspectTrialInterval is the time between two flows that a suspect server is given as a trial.
	suspectTrialInterval = 400 * time.Millisecond
	// fastErrorFraction is the fraction of the peers' service time below which an answer counts as an error.
	fastErrorFraction = 1.0 / 8
	// lateFactor is the multiple of the peers' service time after which a running request counts as failed, but not
	// before minLate.
	lateFactor = 10
	minLate    = 500 * time.Millisecond
)

// setPeers stores the medians from a balancer. A balancer that knows too few servers sends none.
func (o *outcomes) setPeers(now time.Duration, peers PeerStats) {
	if peers.ServiceTime == 0 {
		return
	}
	if o.comparedSince == 0 {
		o.comparedSince = now
	}
	o.peers = peers
}

// answered records that a request was answered after the server worked on it for the given time. It reports whether
// the answer counts as good.
func (o *outcomes) answered(now, took time.Duration) (good bool) {
	good = float64(took) >= fastErrorFraction*float64(o.peers.ServiceTime)
	o.record(now, !good)
	return good
}

// failed records that a request will not be answered.
func (o *outcomes) failed(now time.Duration) {
	o.record(now, true)
}

// isLate reports whether a request that has been running for the given time at a server of the given speed counts as
// failed.
func (o *outcomes) isLate(ran time.Duration, speed float64) bool {
	return ran > lateLimit(o.peers.ServiceTime, speed)
}

func (o *outcomes) record(now time.Duration, bad bool) {
	o.samples++
	ageWeight := 1 - math.Exp(-float64(now-o.lastSample)/float64(outcomeDecay))
	weight := max(minOutcomeWeight, ageWeight, 1/float64(o.samples))
	value := 0.0
	if bad {
		value = 1
	}
	o.failureRate += weight * (value - o.failureRate)
	o.lastSample = now
	if o.suspect {
		o.tryClear(now, bad)
		return
	}
	mayJudge := o.samples >= minOutcomes && o.comparedSince > 0 && now-o.comparedSince > comparisonDelay
	if bad && mayJudge && o.failureRate > o.peers.FailureRate+suspectMargin+o.noiseMargin() {
		o.markSuspect(now)
	}
}

// markSuspect makes the server suspect. If it was cleared only recently, it needs a longer streak of good requests
// to recover.
func (o *outcomes) markSuspect(now time.Duration) {
	o.relapses = min(o.relapses+1, maxRelapses)
	if o.clearedAt == 0 || now-o.clearedAt > relapseWindow {
		o.relapses = 0
	}
	o.suspect, o.goodStreak = true, 0
}

// tryClear ends the suspicion after a long enough streak of good requests, or if the peers fail about as often.
func (o *outcomes) tryClear(now time.Duration, bad bool) {
	o.goodStreak++
	if bad {
		o.goodStreak = 0
	}
	if o.goodStreak < recoveryStreak<<o.relapses && o.failureRate > o.peers.FailureRate+suspectMargin/2 {
		return
	}
	o.suspect, o.samples, o.failureRate, o.clearedAt = false, 0, o.peers.FailureRate, now
}

// noiseMargin returns how far the measured failure rate may deviate by chance if the true rate is that of the
// peers.
func (o *outcomes) noiseMargin() float64 {
	variance := o.peers.FailureRate * (1 - o.peers.FailureRate)
	return noiseSigmas * math.Sqrt(variance*max(minOutcomeWeight/(2-minOutcomeWeight), 1/float64(o.samples)))
}

// allowTrial reports whether a suspect server may be given a flow now as a trial.
func (o *outcomes) allowTrial(now time.Duration) bool {
	if now-o.lastTrial < suspectTrialInterval {
		return false
	}
	o.lastTrial = now
	return true
}
