package requesttrace

import (
	"math/rand"
	"time"
)

// Dispatch is a way to bring requests to servers.
type Dispatch int

const (
	// Admission is package admission: the server of the flow decides, sheds and delegates.
	Admission Dispatch = iota
	// FlowFIFO runs requests at the server of the flow, first come first served, without shedding.
	FlowFIFO
	// HashFIFO runs each request at the server that its key hashes to.
	HashFIFO
	// RoundRobinFIFO runs requests at each server in turn.
	RoundRobinFIFO
)

// String returns the name of the dispatch.
func (d Dispatch) String() string {
	return [...]string{"admission", "flow-fifo", "hash-fifo", "round-robin-fifo"}[d]
}

// Config describes the service that a trace is replayed against.
type Config struct {
	Dispatch    Dispatch
	Servers     int
	Slots       int
	QueueLength int
	// CallerDelay is the time between caller and server, one way.
	CallerDelay time.Duration
	// PeerDelay is the time between two servers, one way.
	PeerDelay time.Duration
	// ReportInterval is the time between two load reports of a server to its peers.
	ReportInterval time.Duration
	// RetryAfter is the mean time after which a refused caller is told to come back.
	RetryAfter time.Duration
	// RetryShare is the share of successes that may be added as retries.
	RetryShare float64
	// MaxAttempts bounds the tries of a caller of a FIFO service, which retries when its patience is over.
	MaxAttempts int
	Seed        int64
}

// Report is the outcome of a replay.
type Report struct {
	// Offered counts the requests of the trace, Attempts what reached a server, Good the answers in time.
	Offered  int
	Attempts int
	Good     int
	// Refused counts requests that ended with a refusal, Late those without an answer in time.
	Refused int
	Late    int
	// Runs counts the runs at upstreams, and Wasted those whose answer came too late for the caller.
	Runs   int
	Wasted int
	// Delegated counts runs at a peer, Declined the delegations that the peer refused.
	Delegated int
	Declined  int
	// Offers counts the slots that a server has offered to a peer that it had declined.
	Offers int
	// Goodput is the work of the good answers until the end of the trace over the capacity of all slots.
	Goodput float64
	// Imbalance is the largest over the mean busy slot time of the servers.
	Imbalance float64
	// Answer times of good answers.
	P50, P99, P999 time.Duration
	// Times from a try to its refusal.
	RefusalP50, RefusalP99 time.Duration
	// Urgent counts the requests with the shortest patience that an idle service could answer in time,
	// GoodUrgent those of them answered in time.
	Urgent     int
	GoodUrgent int
}

// Replay runs a trace to its end. The same trace and config give the same report.
func Replay(trace []Request, c Config) Report {
	s := newSimulation(c, rand.New(rand.NewSource(c.Seed)))
	s.countUrgent(trace)
	for i := range trace {
		call := &call{request: trace[i], id: uint64(i)}
		s.at(trace[i].At, func() { s.send(call) })
	}
	if len(trace) > 0 {
		s.length = trace[len(trace)-1].At
	}
	s.every(c.ReportInterval, s.publishLoads)
	s.run()
	return s.report(len(trace))
}
