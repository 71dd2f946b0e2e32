package flow

import (
	"math"
	"time"
)

// PeerStats is what a balancer tells an agent of the servers of its service.
type PeerStats struct {
	// ServiceTime is the median of their mean service times; zero if too few are known.
	ServiceTime time.Duration
	// FailureRate is the median of their shares of requests that seem to have failed.
	FailureRate float64
}

// outcomes judges a server by what becomes of its requests. The payload is not the system's to read, so a request
// seems to have failed if its answer comes much sooner than those of the server's peers, if it comes not at all, or if
// the server resets the flow.
type outcomes struct {
	// peers is what the last balancer told of the other servers, and compared when the first one did.
	peers    PeerStats
	compared time.Duration
	// failing is the share of requests that seem to have failed, over samples, the last of which came at last.
	failing float64
	samples int
	last    time.Duration
	// suspect says that the server fails more than its peers, and good counts the requests in a row that were
	// answered since.
	suspect bool
	good    int
	// cleared is when the server last ceased to be suspect, and relapses how often it soon became so again.
	cleared  time.Duration
	relapses int
	// tried is when a suspect server was last tried.
	tried time.Duration
}

const (
	// outcomeWeight is the least weight of one request in the share that fails.
	outcomeWeight = 1.0 / 16
	// outcomeMemory is the time after which earlier requests count for less than a third beside a new one.
	outcomeMemory = 4 * time.Second
	// leastOutcomes is how many requests must have ended before a server is judged.
	leastOutcomes = 8
	// suspectAbove is how much more of its requests than its peers a suspect server fails.
	suspectAbove = 0.2
	// deviations is how many standard deviations count as chance.
	deviations = 3
	// compareFor is how long a server goes by its peers before it is judged by them, so that they have seen the same
	// requests.
	compareFor = 2 * time.Second
	// goodInRow is how many requests in a row a suspect server must answer to count as well again. Each relapse
	// doubles it, maxRelapses times, until the server was well for forgiveAfter.
	goodInRow    = 5
	maxRelapses  = 3
	forgiveAfter = 20 * time.Second
	// tryInterval is the time between two flows that a suspect server is tried with.
	tryInterval = 400 * time.Millisecond
	// tooSoon is the part of the peers' service time below which an answer seems to be an error.
	tooSoon = 1.0 / 8
	// tooLate is how many times the peers' service time a request may run, and tooLateLeast the least time.
	tooLate      = 10
	tooLateLeast = 500 * time.Millisecond
)

// heard takes in what a balancer says of the other servers. One that knows too few says nothing.
func (o *outcomes) heard(now time.Duration, peers PeerStats) {
	if peers.ServiceTime == 0 {
		return
	}
	if o.compared == 0 {
		o.compared = now
	}
	o.peers = peers
}

// answered notes that a request was answered after it was worked on for a time, and reports whether that seems to be
// a good answer.
func (o *outcomes) answered(now, took time.Duration) (good bool) {
	good = float64(took) >= tooSoon*float64(o.peers.ServiceTime)
	o.note(now, !good)
	return good
}

// failed notes that a request will not be answered.
func (o *outcomes) failed(now time.Duration) {
	o.note(now, true)
}

// late reports whether a request that has run for a time seems to have failed.
func (o *outcomes) late(ran time.Duration) bool {
	return ran > max(tooLateLeast, tooLate*o.peers.ServiceTime)
}

func (o *outcomes) note(now time.Duration, bad bool) {
	o.samples++
	rare := 1 - math.Exp(-float64(now-o.last)/float64(outcomeMemory))
	weight := max(outcomeWeight, rare, 1/float64(o.samples))
	value := 0.0
	if bad {
		value = 1
	}
	o.failing += weight * (value - o.failing)
	o.last = now
	if o.suspect {
		o.clear(now, bad)
		return
	}
	judged := o.samples >= leastOutcomes && o.compared > 0 && now-o.compared > compareFor
	if bad && judged && o.failing > o.peers.FailureRate+suspectAbove+o.chance() {
		o.accuse(now)
	}
}

// accuse makes the server suspect. One that becomes so again soon must answer more requests to count as well.
func (o *outcomes) accuse(now time.Duration) {
	o.relapses = min(o.relapses+1, maxRelapses)
	if o.cleared == 0 || now-o.cleared > forgiveAfter {
		o.relapses = 0
	}
	o.suspect, o.good = true, 0
}

// clear lets a suspect server count as well after enough good requests in a row, or when its peers fail as much.
func (o *outcomes) clear(now time.Duration, bad bool) {
	o.good++
	if bad {
		o.good = 0
	}
	if o.good < goodInRow<<o.relapses && o.failing > o.peers.FailureRate+suspectAbove/2 {
		return
	}
	o.suspect, o.samples, o.failing, o.cleared = false, 0, o.peers.FailureRate, now
}

// chance returns how far the share that fails may be off by chance if the server fails as its peers do.
func (o *outcomes) chance() float64 {
	variance := o.peers.FailureRate * (1 - o.peers.FailureRate)
	return deviations * math.Sqrt(variance*max(outcomeWeight/(2-outcomeWeight), 1/float64(o.samples)))
}

// try reports whether a suspect server is to be tried with a flow.
func (o *outcomes) try(now time.Duration) bool {
	if now-o.tried < tryInterval {
		return false
	}
	o.tried = now
	return true
}
