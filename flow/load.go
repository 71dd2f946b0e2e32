package flow

import (
	"math"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// load is what an agent knows of the load of its server.
type load struct {
	config KeeperConfig
	slots  int
	// busy is the number of requests that run, wait or are expected, and flows that of open flows.
	busy, flows int
	// reserved holds the flows that were opened and have sent no request yet, the oldest first.
	reserved []*held
	// mean is the time that the server works on a request that does not wait, over samples, the last of which was
	// taken at measured.
	mean     time.Duration
	samples  int
	measured time.Duration
	// tried is when the server was last tried although it seemed too slow.
	tried time.Duration
}

func newLoad(config KeeperConfig) load {
	return load{config: config, slots: 1}
}

const (
	// sampleWeight is the least weight of one sample in the mean service time.
	sampleWeight = 0.05
	// forgetAfter is the time after which a mean counts for less than a third beside a new sample.
	forgetAfter = time.Second
)

// full reports whether a new request would have to wait for a slot.
func (l *load) full() bool {
	return l.busy >= l.slots
}

// expected returns how long a new request is expected to wait and to be worked on. patience serves as the measure
// as long as none was taken, as right after a start, when servers are cold.
func (l *load) expected(patience time.Duration) time.Duration {
	service := l.mean
	if l.samples == 0 {
		service = time.Duration(unknownShare * float64(patience))
	}
	turns := float64(max(0, l.busy+1-l.slots)) / float64(l.slots)
	return service + time.Duration(turns*float64(service))
}

// retry reports whether an idle server is to be tried that seems too slow.
func (l *load) retry(now time.Duration) bool {
	if l.busy > 0 || now-l.tried < l.config.RetryInterval {
		return false
	}
	l.tried = now
	return true
}

// reserve counts a new flow as busy for as long as its first request may take to come.
func (l *load) reserve(now time.Duration, h *held) {
	if h.asked || h.busy {
		return
	}
	h.since = now
	l.setBusy(h, true)
	l.reserved = append(l.reserved, h)
}

// release gives back what was reserved for requests that did not come.
func (l *load) release(now time.Duration) {
	for len(l.reserved) > 0 && now-l.reserved[0].since > l.config.ReserveFor {
		if h := l.reserved[0]; !h.asked {
			l.setBusy(h, false)
		}
		l.reserved = l.reserved[1:]
	}
}

// started notes a request.
func (l *load) started(now time.Duration, h *held) {
	h.asked = true
	h.since = now
	l.setBusy(h, true)
	h.alone = l.busy <= l.slots
}

// answered notes that the server began to answer the request of a flow.
func (l *load) answered(now time.Duration, h *held) {
	l.setBusy(h, false)
	if h.asked && h.alone {
		l.measure(now, now-h.since)
	}
}

// measure takes the time of a request that did not wait into the mean. The first samples weigh alike; later ones
// weigh more the rarer they are.
func (l *load) measure(now, took time.Duration) {
	l.samples++
	rare := 1 - math.Exp(-float64(now-l.measured)/float64(forgetAfter))
	weight := max(sampleWeight, rare, 1/float64(l.samples))
	l.mean += time.Duration(weight * float64(took-l.mean))
	l.measured = now
}

func (l *load) setBusy(h *held, busy bool) {
	if h.busy == busy {
		return
	}
	h.busy = busy
	if busy {
		l.busy++
		return
	}
	l.busy--
}

// patience is the time that waiting and service of a request of a route may take together. The rest of its
// target is for the way and for requests that take longer than the mean. Less urgent routes are refused earlier,
// so that there is room for the urgent ones. A route that is not known yet is nil.
func patience(r *registry.Route) time.Duration {
	if r == nil || r.Target == 0 {
		return unknownPatience
	}
	share := patienceShare - patienceStep*float64(min(r.Priority, maxPriority))
	return time.Duration(share * float64(r.Target))
}

const (
	// patienceShare is the part of its target that the most urgent route may use, and patienceStep what each
	// step of priority takes away, up to maxPriority.
	patienceShare = 0.9
	patienceStep  = 0.1
	maxPriority   = 4
	// unknownPatience is that of a route without a target; it bounds what a server lets wait.
	unknownPatience = time.Second
	// unknownShare is the part of its patience that a request is taken to need before any was measured.
	unknownShare = 0.45
)
