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

func (l *loop) tick(ctx context.Context) {
	if suspended := l.config.Clock.DetectSuspension(); suspended > 0 {
		l.config.Event("resumed", "suspended", suspended)
	}
	now := l.config.Clock.Now()
	l.detectPause(now)
	l.lastTick = now
	l.updateView(now)
	l.logAccepting(now)
	l.logSuspect(now)
	l.logCold(now)
	l.checkServer(now)
	l.handleWaiting(now)
	l.announce(now)
	l.contactSeed(now)
	if l.tracker.NeedsProcessCheck(now) {
		l.checker.start(ctx, now)
	}
	if now-l.lastSweep >= sweepInterval {
		l.sweep(now)
		l.publishServer(now)
	}
}

// checkServer resets the flows to which a silent server owes an answer, so that their clients can retry, and continues
// the searches without it.
func (l *loop) checkServer(now time.Duration) {
	if l.tracker.Check(now) {
		l.resetLostFlows("server_silent", l.tracker.EndStalled())
	}
	for {
		v, p, raw := l.tracker.NextUnanswered(now)
		if p == nil {
			return
		}
		l.apply(now, p, raw, v)
	}
}

// resetLostFlows logs and counts lost flows and resets each with its sequence number.
func (l *loop) resetLostFlows(event string, lost map[flow.Key]uint32) {
	l.agent.counts.lost.Add(uint64(len(lost)))
	l.config.Event(event, "flows_reset", len(lost))
	for key, seq := range lost {
		l.sendReset(key, seq)
	}
	l.logAccepting(l.config.Clock.Now())
}

func (l *loop) sweep(now time.Duration) {
	l.lastSweep = now
	l.tracker.Sweep(now)
	l.balancers.Expire(now)
	status := l.tracker.Status(now)
	l.agent.counts.flows.Store(int64(status.Flows))
	l.agent.counts.busy.Store(int64(status.Busy))
	turnedAway := l.tracker.TurnedAway()
	l.agent.counts.evacuated.Store(turnedAway.Evacuated)
	l.agent.counts.cold.Store(turnedAway.Cold)
	for key, sent := range l.openingSentAt {
		if now-sent > sweepInterval {
			delete(l.openingSentAt, key)
		}
	}
}

// handleProcessCheck resets the flows of a server that is not running, so that their clients can retry immediately.
func (l *loop) handleProcessCheck(running bool) {
	if running {
		return
	}
	l.resetLostFlows("server_down", l.tracker.ServerDown())
	l.handleWaiting(l.config.Clock.Now())
}

// processChecker checks in a separate goroutine whether the server process is running.
type processChecker struct {
	address   string
	results   chan bool
	lastStart time.Duration
}

func newProcessChecker(server netip.AddrPort) processChecker {
	return processChecker{address: server.String(), results: make(chan bool, 1)}
}

// start opens a TCP connection to the server. Only a refused connection proves that the server is not running.
func (c *processChecker) start(ctx context.Context, now time.Duration) {
	if now-c.lastStart < processCheckInterval {
		return
	}
	c.lastStart = now
	address, results := c.address, c.results
	go func() {
		ctx, cancel := context.WithTimeout(ctx, processCheckTimeout)
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
