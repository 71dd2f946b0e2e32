package flow

import "time"

const (
	// queueProbeInterval is the time without a rejected request after which the limit of a server's queue is raised by
	// one, in case the server takes more by now. Each probe may cost one request another attempt.
	queueProbeInterval = 2 * time.Second
	// maxRejectTime is the time within which a server rejects a request for which its queue has no room. The agent is
	// on the same VM, so this is far more than a round trip.
	maxRejectTime = 5 * time.Millisecond
)

// queueLimit learns how many requests a server holds at once, running and waiting. A server rejects a request beyond
// that at once; its client then needs another attempt, and may have none left.
type queueLimit struct {
	// limit is zero until the server has rejected a request.
	limit   int
	changed time.Duration
}

// answered records that the server answered a request while the given number of earlier requests had no answer. A
// server runs requests in order, so one that it answers at once although earlier ones fill its slots was rejected.
func (q *queueLimit) answered(now, took time.Duration, ahead, slots int) (rejected bool) {
	if ahead < slots || took > maxRejectTime {
		return false
	}
	if q.limit == 0 || ahead < q.limit {
		q.limit = ahead
	}
	q.changed = now
	return true
}

// full reports whether the server would reject one more request beside the outstanding ones.
func (q *queueLimit) full(now time.Duration, outstanding int) bool {
	if q.limit == 0 {
		return false
	}
	if now-q.changed >= queueProbeInterval {
		q.limit++
		q.changed = now
	}
	return outstanding >= q.limit
}
