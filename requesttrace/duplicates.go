package requesttrace

import (
	"math/rand"
	"time"
)

// Deduplication is a way to recognize a duplicate of a request that has already been started.
type Deduplication int

const (
	// TicketOwner is the scheme of package ticket: the ticket names the one server that stores its state.
	TicketOwner Deduplication = iota
	// KeyAtReceiver stores an idempotency key chosen by the caller at the server that receives the request.
	KeyAtReceiver
	// KeyByHash stores the key at the server that ranks highest for it (rendezvous hashing) in the membership view of
	// the receiving server.
	KeyByHash
	// KeyWithLease stores the key at one fixed server, and drops the entry of a running request when its lease expires.
	KeyWithLease
)

// String returns the name of the scheme.
func (d Deduplication) String() string {
	return [...]string{"ticket-owner", "key-at-receiver", "key-by-hash", "key-with-lease"}[d]
}

// DuplicateConfig describes callers that send a duplicate of a request when its answer is lost.
type DuplicateConfig struct {
	Deduplication Deduplication
	Servers       int
	// LostAnswers is the fraction of requests whose caller sends a duplicate, at a random time within DuplicateWithin.
	LostAnswers     float64
	DuplicateWithin time.Duration
	// JoinAt is the time at which an additional server joins. Each server learns of it at a random time within
	// ViewSpread.
	JoinAt     time.Duration
	ViewSpread time.Duration
	// Lease is how long KeyWithLease keeps the entry of a request that is running.
	Lease time.Duration
	Seed  int64
}

// DuplicateReport counts duplicates and the requests that ran twice.
type DuplicateReport struct {
	Requests   int
	Duplicates int
	RanTwice   int
}

// ReplayDuplicates sends each request of a trace, and duplicates of some of them, to random servers.
func ReplayDuplicates(trace []Request, c DuplicateConfig) DuplicateReport {
	rnd := rand.New(rand.NewSource(c.Seed))
	views := newViews(c, rnd)
	report := DuplicateReport{Requests: len(trace)}
	for id, r := range trace {
		first := rnd.Intn(c.Servers)
		if rnd.Float64() >= c.LostAnswers {
			continue
		}
		report.Duplicates++
		second := rnd.Intn(c.Servers)
		duplicateAt := r.At + time.Duration(rnd.Int63n(int64(c.DuplicateWithin)))
		if !c.recognizes(views, uint64(id), r, first, second, duplicateAt) {
			report.RanTwice++
		}
	}
	return report
}

// recognizes reports whether the scheme recognizes the duplicate, so that the request does not run twice.
func (c DuplicateConfig) recognizes(views views, id uint64, r Request, first, second int, duplicateAt time.Duration) bool {
	switch c.Deduplication {
	case KeyAtReceiver:
		return first == second
	case KeyByHash:
		return views.owner(id, first, r.At) == views.owner(id, second, duplicateAt)
	case KeyWithLease:
		running := duplicateAt < r.At+r.ServiceTime
		return !running || duplicateAt < r.At+c.Lease
	}
	return true
}

// views holds the times at which the servers learn of the server that joins.
type views struct {
	joinKnownAt []time.Duration
	servers     int
}

func newViews(c DuplicateConfig, rnd *rand.Rand) views {
	v := views{servers: c.Servers}
	for range c.Servers {
		v.joinKnownAt = append(v.joinKnownAt, c.JoinAt+time.Duration(rnd.Int63n(int64(c.ViewSpread)+1)))
	}
	return v
}

// owner returns the server that ranks highest for a key in the membership view that the given server has at a time.
func (v views) owner(id uint64, server int, now time.Duration) int {
	known := v.servers
	if now >= v.joinKnownAt[server] {
		known++
	}
	best, highest := 0, uint64(0)
	for candidate := range known {
		if rank := mix(id ^ mix(uint64(candidate+1))); rank >= highest {
			best, highest = candidate, rank
		}
	}
	return best
}
