package flowagent

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/flow"
)

// tick does what is due.
func (l *loop) tick(ctx context.Context) {
	if suspended := l.config.Clock.DetectSuspension(); suspended > 0 {
		l.config.Event("resumed", "suspended", suspended)
	}
	now := l.config.Clock.Now()
	l.adopt(now)
	l.noteAccepting(now)
	l.noteSuspect(now)
	l.look(now)
	if l.keeper.NeedsProcessCheck(now) {
		l.checker.ask(ctx, now)
	}
	if now-l.swept >= sweepInterval {
		l.sweep(now)
	}
}

// look looks for answers of the server. Flows that it owes one are reset when it says nothing at all, so that their
// clients can try again, and searches go on without it.
func (l *loop) look(now time.Duration) {
	if l.keeper.Check(now) {
		l.end("server_silent", l.keeper.EndStalled())
	}
	for {
		v, p, raw := l.keeper.NextUnanswered(now)
		if p == nil {
			return
		}
		l.apply(now, p, raw, v)
	}
}

// end resets flows that are lost.
func (l *loop) end(event string, lost map[flow.Key]uint32) {
	l.agent.counts.lost.Add(uint64(len(lost)))
	l.config.Event(event, "flows_reset", len(lost))
	for key, seq := range lost {
		l.reset(key, seq)
	}
	l.noteAccepting(l.config.Clock.Now())
}

func (l *loop) sweep(now time.Duration) {
	l.swept = now
	l.keeper.Sweep(now)
	word := l.keeper.Status(now)
	l.agent.counts.flows.Store(int64(word.Flows))
	l.agent.counts.busy.Store(int64(word.Busy))
	for key, asked := range l.askedAt {
		if now-asked > sweepInterval {
			delete(l.askedAt, key)
		}
	}
}

// checked takes in whether the server runs. The flows of one that does not are reset, so that its clients
// can try again at once.
func (l *loop) checked(running bool) {
	if running {
		return
	}
	l.end("server_down", l.keeper.ServerDown())
}

// checker asks the system whether the server runs, in a goroutine of its own.
type checker struct {
	address string
	results chan bool
	last    time.Duration
}

func newChecker(server netip.AddrPort) checker {
	return checker{address: server.String(), results: make(chan bool, 1)}
}

// ask opens a connection to the server. Only a refused one proves that the server does not run.
func (c *checker) ask(ctx context.Context, now time.Duration) {
	if now-c.last < checkInterval {
		return
	}
	c.last = now
	address, results := c.address, c.results
	go func() {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			conn.Close()
		}
		select {
		case results <- !errors.Is(err, syscall.ECONNREFUSED):
		default:
		}
	}()
}
