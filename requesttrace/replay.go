package requesttrace

import (
	"math/rand"
	"time"
)

// Dispatch is a policy that selects the server of each request.
type Dispatch int

const (
	// Admission uses package admission: the server of the caller's flow runs, queues, delegates or sheds the request.
	Admission Dispatch = iota
	// FlowFIFO runs requests at the server of the caller's flow, first come first served, without shedding.
	FlowFIFO
	// HashFIFO runs each request at the server that its key hashes to.
	HashFIFO
	// RoundRobinFIFO runs requests at the servers in turn.
	RoundRobinFIFO
)

// String returns the name of the policy.
func (d Dispatch) String() string {
	return [...]string{"admission", "flow-fifo", "hash-fifo", "round-robin-fifo"}[d]
}

// Config describes the service that a trace is replayed against.
type Config struct {
	Dispatch    Dispatch
	Servers     int
	Slots       int
	QueueLength int
	// CallerDelay is the one-way delay between a caller and a server.
	CallerDelay time.Duration
	// PeerDelay is the one-way delay between two servers.
	PeerDelay time.Duration
	// ReportInterval is the interval at which a server reports its load to its peers.
	ReportInterval time.Duration
	// RetryAfter is the mean delay after which a refused caller is told to retry.
	RetryAfter time.Duration
	// RetryShare is the number of retries that each success earns, at callers and at servers.
	RetryShare float64
	// MaxAttempts is the maximum number of attempts per request under a FIFO dispatch policy, where callers retry on
	// timeout.
	MaxAttempts int
	Seed        int64
}

// Report holds the results of a replay.
type Report struct {
	// Offered counts the requests of the trace, Attempts the attempts that callers sent, and Good the requests answered
	// in time.
	Offered  int
	Attempts int
	Good     int
	// Refused counts requests that ended with a refusal, and Late those without an answer in time.
	Refused int
	Late    int
	// Runs counts the runs at upstreams, and Wasted those whose answer the caller no longer needed: it was too late or
	// another attempt had been answered.
	Runs   int
	Wasted int
	// Delegated counts runs at a peer, and Declined the delegations that the peer declined for lack of a free slot.
	Delegated int
	Declined  int
	// Offers counts the free slots that servers offered to a peer whose delegation they had declined.
	Offers int
	// Goodput is the service time of the requests answered in time up to the last arrival of the trace, divided by the
	// capacity of all slots over that time.
	Goodput float64
	// Imbalance is the ratio of the maximum to the mean busy slot time of the servers.
	Imbalance float64
	// P50, P99 and P999 are percentiles of the time from At to the answer of the requests answered in time.
	P50, P99, P999 time.Duration
	// RefusalP50 and RefusalP99 are percentiles of the time from an attempt to its refusal.
	RefusalP50, RefusalP99 time.Duration
	// Urgent counts the requests with the shortest timeout that an idle service could answer in time, and GoodUrgent
	// those of them that were answered in time.
	Urgent     int
	GoodUrgent int
}

// Replay replays a trace until no request is pending. It is deterministic for a given trace and config.
func Replay(trace []Request, c Config) Report {
	s := newSimulation(c, rand.New(rand.NewSource(c.Seed)))
	s.countUrgent(trace)
	for i := range trace {
		call := &call{request: trace[i], id: uint64(i)}
		s.at(trace[i].At, func() { s.send(call) })
	}
	if len(trace) > 0 {
		s.traceEnd = trace[len(trace)-1].At
	}
	s.every(c.ReportInterval, s.reportLoads)
	s.run()
	return s.report(len(trace))
}
