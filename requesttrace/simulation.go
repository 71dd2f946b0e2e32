package requesttrace

import (
	"math/rand"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
)

// call is a request of the trace with the state of its attempts.
type call struct {
	request  Request
	id       uint64
	attempts int
	// lastSent is the time of the last attempt.
	lastSent time.Duration
	// done is set once the outcome for the caller is decided.
	done bool
}

func (c *call) deadline() time.Duration {
	return c.request.At + c.request.Timeout
}

// simulation is the state of a replay.
type simulation struct {
	clock
	config           Config
	rnd              *rand.Rand
	servers          []*server
	flows            map[int]int
	budgets          map[int]*admission.RetryBudget
	nextServer       int
	latencies        []time.Duration
	refusalLatencies []time.Duration
	goodServiceTime  time.Duration
	minTimeout       time.Duration
	result           Report
}

func newSimulation(c Config, rnd *rand.Rand) *simulation {
	s := &simulation{config: c, rnd: rnd, flows: make(map[int]int), budgets: make(map[int]*admission.RetryBudget)}
	for number := range c.Servers {
		s.servers = append(s.servers, newServer(s, number))
	}
	return s
}

// send starts an attempt of a call.
func (s *simulation) send(c *call) {
	c.attempts++
	c.lastSent = s.now
	s.result.Attempts++
	target := s.target(c)
	s.after(s.config.CallerDelay, func() { target.receive(c) })
	if s.config.Dispatch != Admission {
		s.after(c.request.Timeout, func() { s.timeout(c) })
	}
}

func (s *simulation) target(c *call) *server {
	switch s.config.Dispatch {
	case HashFIFO:
		return s.servers[mix(c.id)%uint64(len(s.servers))]
	case RoundRobinFIFO:
		s.nextServer++
		return s.servers[s.nextServer%len(s.servers)]
	}
	return s.servers[s.flow(c.request.Caller)]
}

// flow returns the number of the server that owns the flow of a caller. Flows are assigned to the servers in turn.
func (s *simulation) flow(caller int) int {
	number, ok := s.flows[caller]
	if !ok {
		number = len(s.flows) % len(s.servers)
		s.flows[caller] = number
	}
	return number
}

// mix hashes the ID of a request with the finalizer of SplitMix64.
func mix(id uint64) uint64 {
	id = (id ^ id>>30) * 0xbf58476d1ce4e5b9
	id = (id ^ id>>27) * 0x94d049bb133111eb
	return id ^ id>>31
}

// timeout handles the timeout of an attempt under a FIFO dispatch policy. The caller retries immediately, as naive
// clients do, without backoff or a retry budget.
func (s *simulation) timeout(c *call) {
	if c.done {
		return
	}
	if c.attempts >= s.config.MaxAttempts {
		c.done = true
		s.result.Late++
		return
	}
	s.send(c)
}

// sendAnswer sends the answer of a call to its caller.
func (s *simulation) sendAnswer(c *call) {
	s.after(s.config.CallerDelay, func() {
		if c.done || s.late(c) {
			s.result.Wasted++
			s.endLate(c)
			return
		}
		c.done = true
		s.result.Good++
		if s.now <= s.traceEnd {
			s.goodServiceTime += c.request.ServiceTime
		}
		s.latencies = append(s.latencies, s.now-c.request.At)
		if s.urgent(c.request) {
			s.result.GoodUrgent++
		}
		s.budget(c.request.Caller).Success()
	})
}

// late reports whether an answer arrives after the deadline of the caller. Under a FIFO dispatch policy the timeout
// restarts with each attempt, and the caller accepts the answer of any attempt.
func (s *simulation) late(c *call) bool {
	return s.config.Dispatch == Admission && s.now > c.deadline()
}

func (s *simulation) endLate(c *call) {
	if c.done {
		return
	}
	c.done = true
	s.result.Late++
}

// sendRefusal tells the caller that its request did not run and after which delay to retry.
func (s *simulation) sendRefusal(c *call, retryAfter time.Duration) {
	s.after(s.config.CallerDelay, func() {
		s.refusalLatencies = append(s.refusalLatencies, s.now-c.lastSent)
		if s.now+retryAfter < c.deadline() && s.budget(c.request.Caller).Take() {
			s.after(retryAfter, func() { s.send(c) })
			return
		}
		c.done = true
		s.result.Refused++
	})
}

// callerRetryBurst is the maximum number of unused retries that a caller accumulates.
const callerRetryBurst = 3

func (s *simulation) budget(caller int) *admission.RetryBudget {
	b, ok := s.budgets[caller]
	if !ok {
		b = admission.NewRetryBudget(s.config.RetryShare, callerRetryBurst)
		s.budgets[caller] = b
	}
	return b
}

func (s *simulation) reportLoads() {
	for _, server := range s.servers {
		server.reportLoad()
	}
}

func (s *simulation) report(offered int) Report {
	r := s.result
	r.Offered = offered
	r.RefusalP50 = percentile(s.refusalLatencies, 0.5)
	capacity := float64(s.traceEnd) * float64(s.config.Servers*s.config.Slots)
	if capacity > 0 {
		r.Goodput = float64(s.goodServiceTime) / capacity
	}
	r.Imbalance = s.imbalance()
	r.P50 = percentile(s.latencies, 0.5)
	r.P99 = percentile(s.latencies, 0.99)
	r.P999 = percentile(s.latencies, 0.999)
	r.RefusalP99 = percentile(s.refusalLatencies, 0.99)
	return r
}

func (s *simulation) imbalance() float64 {
	var most, total time.Duration
	for _, server := range s.servers {
		most = max(most, server.busyTime)
		total += server.busyTime
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(s.servers)) / float64(total)
}

func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(share*float64(len(values))), len(values)-1)]
}

// countUrgent finds the shortest timeout in the trace and counts the urgent requests.
func (s *simulation) countUrgent(trace []Request) {
	for _, r := range trace {
		if s.minTimeout == 0 || r.Timeout < s.minTimeout {
			s.minTimeout = r.Timeout
			s.result.Urgent = 0
		}
		if s.urgent(r) {
			s.result.Urgent++
		}
	}
}

// urgent reports whether a request has the shortest timeout in the trace and an idle service could answer it in time.
func (s *simulation) urgent(r Request) bool {
	return r.Timeout == s.minTimeout && r.ServiceTime+2*s.config.CallerDelay <= r.Timeout
}
