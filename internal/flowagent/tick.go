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
	now := l.turn()
	l.updateView(now)
	l.logAccepting(now)
	l.logSuspect(now)
	l.logCold(now)
	l.checkServer(now)
	l.handleHeld(now)
	l.announce(now)
	l.contactSeed(now)
	if l.tracker.NeedsProcessCheck(now) {
		interval := processCheckInterval
		if l.tracker.IsServerDown() {
			interval = downCheckInterval
		}
		l.checker.start(ctx, now, interval)
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
	l.agent.counts.stale.Store(l.tracker.StalePackets())
	for key, sent := range l.openingSentAt {
		if now-sent > sweepInterval {
			delete(l.openingSentAt, key)
		}
	}
}

// handleProcessCheck handles the state of the server process. If the process is not running, it resets the server's flows,
// so that their clients can retry immediately.
func (l *loop) handleProcessCheck(state processState) {
	now := l.config.Clock.Now()
	switch {
	case state == processRunning && l.tracker.IsServerDown():
		l.tracker.ServerUp(now)
		l.config.Event("server_up")
		l.logAccepting(now)
	case state == processNotRunning && !l.tracker.IsServerDown():
		l.resetLostFlows("server_down", l.tracker.ServerDown())
		l.handleHeld(now)
	}
}

// processState is what an attempt to connect to the server shows about its process.
type processState uint8

const (
	// processUnknown means that the attempt failed otherwise, for example by its timeout.
	processUnknown processState = iota
	// processRunning means that the server accepted the connection.
	processRunning
	// processNotRunning means that the connection was refused.
	processNotRunning
)

// processChecker checks in a separate goroutine whether the server process is running.
type processChecker struct {
	address   string
	results   chan processState
	lastStart time.Duration
}

func newProcessChecker(server netip.AddrPort) processChecker {
	return processChecker{address: server.String(), results: make(chan processState, 1)}
}

// start opens a TCP connection to the server, unless the last attempt was less than interval ago.
func (c *processChecker) start(ctx context.Context, now, interval time.Duration) {
	if now-c.lastStart < interval {
		return
	}
	c.lastStart = now
	address, results := c.address, c.results
	go func() {
		ctx, cancel := context.WithTimeout(ctx, processCheckTimeout)
		defer cancel()
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		state := processUnknown
		switch {
		case err == nil:
			conn.Close()
			state = processRunning
		case errors.Is(err, syscall.ECONNREFUSED):
			state = processNotRunning
		}
		select {
		case results <- state:
		default:
		}
	}()
}
