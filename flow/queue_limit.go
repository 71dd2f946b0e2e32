package flow

import (
	"slices"
	"time"
)

const (
	// rejections is how many requests in a row a server must have rejected within rejectWindow for the longest of their
	// waits to count as its limit. A single one may come from a request that the agent counts although it has ended.
	rejections   = 4
	rejectWindow = time.Second
	// limitProbeInterval is the time without a rejection after which the limits are raised by a tenth and one request, in
	// case the server takes more by now. Each probe may cost a request another attempt.
	limitProbeInterval = 2 * time.Second
	limitProbeFactor   = 1.1
	// maxWaitLimit bounds a wait that is raised again and again, which would overflow otherwise. It exceeds the timeout of
	// any route.
	maxWaitLimit = time.Minute
	// minRejectTime separates a rejection on arrival, for which the queue has no room, from one after a wait. The agent is
	// on the same VM, so this is far more than a round trip.
	minRejectTime = 5 * time.Millisecond
)

// queueLimit learns from the requests that a server rejects how many it holds at once and how long it lets them wait. The
// client of a rejected request needs another attempt, and may have none left.
type queueLimit struct {
	// requests is the number of running and waiting requests beyond which the server rejects one on arrival, and wait is
	// the time after which it rejects one that waits; zero if none was rejected.
	requests int
	wait     time.Duration
	recent   [rejections]rejection
	changed  time.Duration
}

// rejection is a request that was rejected after a wait, beside earlier ones that had no answer.
type rejection struct {
	at, waited time.Duration
	ahead      int
}

// rejected records that the server answered a request although earlier ones filled its slots. A server runs requests in
// order, so it has rejected this one.
func (q *queueLimit) rejected(now, waited time.Duration, ahead int) {
	copy(q.recent[1:], q.recent[:rejections-1])
	q.recent[0] = rejection{at: now, waited: waited, ahead: ahead}
	if oldest := q.recent[rejections-1]; oldest.at == 0 || now-oldest.at > rejectWindow {
		return
	}
	q.changed = now
	byWait := func(a, b rejection) int { return int(a.waited - b.waited) }
	longest := slices.MaxFunc(q.recent[:], byWait)
	if longest.waited <= minRejectTime {
		if q.requests == 0 || longest.ahead < q.requests {
			q.requests = longest.ahead
		}
		return
	}
	if q.wait == 0 || longest.waited < q.wait {
		q.wait = longest.waited
	}
}

// probe raises the limits after a time without a rejection.
func (q *queueLimit) probe(now time.Duration) {
	if now-q.changed < limitProbeInterval {
		return
	}
	q.changed = now
	if q.requests > 0 {
		q.requests++
	}
	q.wait = min(maxWaitLimit, time.Duration(limitProbeFactor*float64(q.wait)))
}

// exceeded reports whether the server would reject a new request that finds the given number of others and would wait
// for the given time.
func (q *queueLimit) exceeded(outstanding int, wait time.Duration) bool {
	return q.requests > 0 && outstanding >= q.requests || q.wait > 0 && wait > q.wait
}

// within returns the smaller of a time that a request may wait and the time that the server lets it wait.
func (q *queueLimit) within(wait time.Duration) time.Duration {
	if q.wait > 0 {
		return min(wait, q.wait)
	}
	return wait
}

// waiting returns the smaller of a number of requests that may wait and the number for which the server has room.
func (q *queueLimit) waiting(queue, slots int) int {
	if q.requests > 0 {
		return min(queue, max(0, q.requests-slots))
	}
	return queue
}
