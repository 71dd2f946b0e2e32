package requesttrace

import (
	"math/rand"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
)

// call is one request of the trace with its tries.
type call struct {
	request Request
	id      uint64
	tries   int
	// sent is when the last try began.
	sent time.Duration
	// over is set when the caller has an outcome.
	over bool
}

func (c *call) deadline() time.Duration {
	return c.request.At + c.request.Timeout
}

// simulation is one replay.
type simulation struct {
	clock
	config   Config
	rnd      *rand.Rand
	servers  []*server
	flows    map[int]int
	budgets  map[int]*admission.RetryBudget
	turn     int
	answers  []time.Duration
	refusals []time.Duration
	work     time.Duration
	shortest time.Duration
	result   Report
}

func newSimulation(c Config, rnd *rand.Rand) *simulation {
	s := &simulation{config: c, rnd: rnd, flows: make(map[int]int), budgets: make(map[int]*admission.RetryBudget)}
	for number := range c.Servers {
		s.servers = append(s.servers, newServer(s, number))
	}
	return s
}

// send lets a caller try its request.
func (s *simulation) send(c *call) {
	c.tries++
	c.sent = s.now
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
		s.turn++
		return s.servers[s.turn%len(s.servers)]
	}
	return s.servers[s.flow(c.request.Caller)]
}

// flow returns the server that holds the flow of a caller. Flows are spread evenly.
func (s *simulation) flow(caller int) int {
	number, ok := s.flows[caller]
	if !ok {
		number = len(s.flows) % len(s.servers)
		s.flows[caller] = number
	}
	return number
}

// mix is a hash of a request's key.
func mix(id uint64) uint64 {
	id = (id ^ id>>30) * 0xbf58476d1ce4e5b9
	id = (id ^ id>>27) * 0x94d049bb133111eb
	return id ^ id>>31
}

// timeout is the end of the patience of a caller of a FIFO service. The caller tries again at once, as naive
// callers do.
func (s *simulation) timeout(c *call) {
	if c.over {
		return
	}
	if c.tries >= s.config.MaxAttempts {
		c.over = true
		s.result.Late++
		return
	}
	s.send(c)
}

// answered tells the caller that its request has run.
func (s *simulation) answered(c *call) {
	s.after(s.config.CallerDelay, func() {
		if c.over || s.late(c) {
			s.result.Wasted++
			s.endLate(c)
			return
		}
		c.over = true
		s.result.Good++
		if s.now <= s.length {
			s.work += c.request.ServiceTime
		}
		s.answers = append(s.answers, s.now-c.request.At)
		if s.urgent(c.request) {
			s.result.GoodUrgent++
		}
		s.budget(c.request.Caller).Success()
	})
}

// late reports whether an answer comes after the caller's patience. A caller of a FIFO service starts its
// patience anew with each try, and takes the answer of any try.
func (s *simulation) late(c *call) bool {
	return s.config.Dispatch == Admission && s.now > c.deadline()
}

func (s *simulation) endLate(c *call) {
	if c.over {
		return
	}
	c.over = true
	s.result.Late++
}

// refused tells the caller that its request did not run and when to come back.
func (s *simulation) refused(c *call, retryAfter time.Duration) {
	s.after(s.config.CallerDelay, func() {
		s.refusals = append(s.refusals, s.now-c.sent)
		if s.now+retryAfter < c.deadline() && s.budget(c.request.Caller).Take() {
			s.after(retryAfter, func() { s.send(c) })
			return
		}
		c.over = true
		s.result.Refused++
	})
}

// callerBurst is how many retries a caller may save up.
const callerBurst = 3

func (s *simulation) budget(caller int) *admission.RetryBudget {
	b, ok := s.budgets[caller]
	if !ok {
		b = admission.NewRetryBudget(s.config.RetryShare, callerBurst)
		s.budgets[caller] = b
	}
	return b
}

func (s *simulation) publishLoads() {
	for _, server := range s.servers {
		server.publish()
	}
}

func (s *simulation) report(offered int) Report {
	r := s.result
	r.Offered = offered
	r.RefusalP50 = percentile(s.refusals, 0.5)
	capacity := float64(s.length) * float64(s.config.Servers*s.config.Slots)
	if capacity > 0 {
		r.Goodput = float64(s.work) / capacity
	}
	r.Imbalance = s.imbalance()
	r.P50 = percentile(s.answers, 0.5)
	r.P99 = percentile(s.answers, 0.99)
	r.P999 = percentile(s.answers, 0.999)
	r.RefusalP99 = percentile(s.refusals, 0.99)
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

// countUrgent finds the shortest patience and how many requests have it.
func (s *simulation) countUrgent(trace []Request) {
	for _, r := range trace {
		if s.shortest == 0 || r.Timeout < s.shortest {
			s.shortest = r.Timeout
			s.result.Urgent = 0
		}
		if s.urgent(r) {
			s.result.Urgent++
		}
	}
}

// urgent reports whether a request has the shortest patience, and work that fits into it.
func (s *simulation) urgent(r Request) bool {
	return r.Timeout == s.shortest && r.ServiceTime+2*s.config.CallerDelay <= r.Timeout
}
