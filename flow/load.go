package flow

import (
	"math"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// load is what an agent knows of the load of its server.
type load struct {
	config TrackerConfig
	slots  int
	// flows is the number of open flows.
	flows int
	// requests holds the flows with requests that run or wait, in the order in which the server got them. It runs
	// the first ones, as many as it has slots.
	requests []*held
	// reserved holds the flows that were opened, the oldest first; expected of them have sent no request yet.
	reserved []*held
	expected int
	// mean is the time that the server works on a request, over samples, the last of which was taken at measured.
	mean     time.Duration
	samples  int
	measured time.Duration
	// tried is when the server was last tried although it seemed too slow.
	tried time.Duration
	// outcomes judges what became of the requests.
	outcomes outcomes
	// now is the latest time that was passed in.
	now time.Duration
}

// work is what the server has to do for a flow.
type work uint8

const (
	// idle means that nothing is to be done.
	idle work = iota
	// expected means that the first request is about to come.
	expected
	// requested means that a request runs or waits.
	requested
)

func newLoad(config TrackerConfig) load {
	return load{config: config, slots: 1}
}

const (
	// sampleWeight is the least weight of one sample in the mean service time.
	sampleWeight = 0.05
	// fewSamples is how many requests must have been measured for their mean to count alone; before that, a guess
	// counts as guessSamples more.
	fewSamples   = 20
	guessSamples = 2
	// leastOfPeers is the part of the service time of its peers that a request is taken to need at least.
	leastOfPeers = 0.5
	// forgetAfter is the time after which a mean counts for less than a third beside a new sample.
	forgetAfter = time.Second
)

// busy returns the number of requests that run, wait or are expected.
func (l *load) busy() int {
	return len(l.requests) + l.expected
}

// full reports whether a new request would have to wait for a slot.
func (l *load) full() bool {
	return l.busy() >= l.slots
}

// expects returns how long a new request is expected to wait and to be worked on.
func (l *load) expects(patience time.Duration) time.Duration {
	service := max(l.service(patience), time.Duration(leastOfPeers*float64(l.outcomes.peers.ServiceTime)))
	turns := float64(max(0, l.busy()+1-l.slots)) / float64(l.slots)
	return service + time.Duration(turns*float64(service))
}

// service returns how long the server is expected to work on a request. Before many were measured, as right after a
// start, when servers are cold, the patience of the route serves as a few more.
func (l *load) service(patience time.Duration) time.Duration {
	if l.samples >= fewSamples {
		return l.mean
	}
	n := float64(l.samples)
	guess := unknownShare * float64(patience)
	return time.Duration((n*float64(l.mean) + guessSamples*guess) / (n + guessSamples))
}

// retry reports whether an idle server is to be tried that seems too slow.
func (l *load) retry(now time.Duration) bool {
	if l.busy() > 0 || now-l.tried < l.config.SlowTrialInterval {
		return false
	}
	l.tried = now
	return true
}

// reserve counts a new flow as busy for as long as its first request may take to come.
func (l *load) reserve(now time.Duration, h *held) {
	if h.asked || h.work != idle {
		return
	}
	h.work, h.since = expected, now
	l.expected++
	l.reserved = append(l.reserved, h)
}

// release gives back what was reserved for requests that did not come.
func (l *load) release(now time.Duration) {
	l.now = now
	for len(l.reserved) > 0 {
		h := l.reserved[0]
		if h.work == expected && now-h.since <= l.config.ReservationTimeout {
			return
		}
		if h.work == expected {
			l.end(h)
		}
		l.reserved = l.reserved[1:]
	}
}

// start notes a packet of a request. The server begins with it when it has the whole request and a free slot.
func (l *load) start(now time.Duration, h *held) {
	l.now = now
	h.asked = true
	if h.work == requested {
		if l.runs(h) {
			h.began = now
		}
		return
	}
	if h.work == expected {
		l.expected--
	}
	h.work, h.since, h.began, h.late = requested, now, now, false
	l.requests = append(l.requests, h)
}

// answer notes that the server began to answer the request of a flow.
func (l *load) answer(now time.Duration, h *held) {
	l.now = now
	if l.runs(h) && !h.late && l.outcomes.answered(now, now-h.began) {
		l.measure(now, now-h.began)
	}
	l.end(h)
}

// runs reports whether the server works on the request of a flow.
func (l *load) runs(h *held) bool {
	return h.work == requested && slices.Index(l.requests, h) < l.slots
}

// reset notes that the server has reset a flow.
func (l *load) reset(now time.Duration, h *held) {
	l.now = now
	if l.runs(h) && !h.late {
		l.outcomes.failed(now)
	}
	l.end(h)
}

// end notes that nothing is to be done for a flow any more. The next request that waits gets its slot.
func (l *load) end(h *held) {
	switch h.work {
	case expected:
		l.expected--
	case requested:
		i := slices.Index(l.requests, h)
		l.requests = slices.Delete(l.requests, i, i+1)
		if i < l.slots && len(l.requests) >= l.slots {
			l.requests[l.slots-1].began = l.now
		}
	}
	h.work = idle
}

// forget ends the requests that have run or waited for too long.
func (l *load) forget(now time.Duration) {
	for len(l.requests) > 0 && now-l.requests[0].since > l.config.RequestTimeout {
		l.end(l.requests[0])
	}
}

// look notes the requests that have run for so long that they seem to have failed.
func (l *load) look(now time.Duration) {
	for _, h := range l.requests[:min(len(l.requests), l.slots)] {
		if !h.late && l.outcomes.late(now-h.began) {
			h.late = true
			l.outcomes.failed(now)
		}
	}
}

// measure takes the time of a request into the mean. The first samples weigh alike; later ones weigh more the rarer
// they are.
func (l *load) measure(now, took time.Duration) {
	l.samples++
	rare := 1 - math.Exp(-float64(now-l.measured)/float64(forgetAfter))
	weight := max(sampleWeight, rare, 1/float64(l.samples))
	l.mean += time.Duration(weight * float64(took-l.mean))
	l.measured = now
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
