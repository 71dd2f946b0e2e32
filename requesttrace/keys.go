package requesttrace

import (
	"math/rand"
	"time"
)

// Deduplication is a way to remember which requests have been started.
type Deduplication int

const (
	// TicketOwner is package ticket: the ticket names the one server that remembers it.
	TicketOwner Deduplication = iota
	// KeyAtReceiver keeps a key that the caller chose in the memory of the server that received the copy.
	KeyAtReceiver
	// KeyByHash keeps the key at the server that it ranks highest in the view of the receiving server.
	KeyByHash
	// KeyWithLease keeps the key at one fixed server, and forgets a started request when its lease ends.
	KeyWithLease
)

// String returns the name of the memory.
func (m Deduplication) String() string {
	return [...]string{"ticket-owner", "key-at-receiver", "key-by-hash", "key-with-lease"}[m]
}

// DuplicateConfig describes callers that send a copy of a request when its answer is lost.
type DuplicateConfig struct {
	Deduplication Deduplication
	Servers       int
	// LostAnswers is the share of requests whose caller sends a copy, within CopyWithin.
	LostAnswers     float64
	DuplicateWithin time.Duration
	// JoinAt is when a server joins, and each server learns of it within ViewSpread.
	JoinAt     time.Duration
	ViewSpread time.Duration
	// Lease is how long KeyWithLease protects a request that is running.
	Lease time.Duration
	Seed  int64
}

// DuplicateReport counts copies and the requests that ran twice.
type DuplicateReport struct {
	Requests   int
	Duplicates int
	RanTwice   int
}

// ReplayDuplicates sends each request of a trace, and some of them a second time, to servers at random.
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
		copied := r.At + time.Duration(rnd.Int63n(int64(c.DuplicateWithin)))
		if !c.remembers(views, uint64(id), r, first, second, copied) {
			report.RanTwice++
		}
	}
	return report
}

// remembers reports whether the memory that the copy reaches knows of the first run.
func (c DuplicateConfig) remembers(views views, id uint64, r Request, first, second int, copied time.Duration) bool {
	switch c.Deduplication {
	case KeyAtReceiver:
		return first == second
	case KeyByHash:
		return views.owner(id, first, r.At) == views.owner(id, second, copied)
	case KeyWithLease:
		running := copied < r.At+r.ServiceTime
		return !running || copied < r.At+c.Lease
	}
	return true
}

// views holds when each server learns of the server that joins.
type views struct {
	learns  []time.Duration
	servers int
}

func newViews(c DuplicateConfig, rnd *rand.Rand) views {
	v := views{servers: c.Servers}
	for range c.Servers {
		v.learns = append(v.learns, c.JoinAt+time.Duration(rnd.Int63n(int64(c.ViewSpread)+1)))
	}
	return v
}

// owner returns the server that a key ranks highest in the view of a server.
func (v views) owner(id uint64, server int, now time.Duration) int {
	known := v.servers
	if now >= v.learns[server] {
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
