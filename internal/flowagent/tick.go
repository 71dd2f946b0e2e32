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

// checkServer logs when the server becomes silent, and continues the searches that it has not answered.
func (l *loop) checkServer(now time.Duration) {
	if l.tracker.Check(now) {
		l.config.Event("server_silent", "flows", l.tracker.Status(now).Flows)
		l.logAccepting(now)
	}
	for {
		v, p, raw := l.tracker.NextUnanswered(now)
		if p == nil {
			return
		}
		l.apply(now, p, raw, v)
	}
}

// resetLostFlows logs and counts the flows that are lost because the server does not run, and resets each with its sequence
// number.
func (l *loop) resetLostFlows(lost map[flow.Key]uint32) {
	l.agent.counts.lost.Add(uint64(len(lost)))
	l.config.Event("server_down", "flows_reset", len(lost))
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
// so that their clients can retry immediately. A finding is out of date if the server has sent something since the check began.
func (l *loop) handleProcessCheck(c processCheck) {
	now := l.config.Clock.Now()
	switch {
	case c.state == processRunning && l.tracker.IsServerDown():
		l.tracker.ServerUp(now)
		l.config.Event("server_up")
		l.logAccepting(now)
	case c.state == processNotRunning && !l.tracker.IsServerDown() && !l.tracker.HeardSince(c.startedAt):
		l.resetLostFlows(l.tracker.ServerDown())
		l.checkServer(now)
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

// processCheck is the result of a check.
type processCheck struct {
	state     processState
	startedAt time.Duration
}

// processChecker checks in a separate goroutine whether the server process is running.
type processChecker struct {
	address   string
	results   chan processCheck
	lastStart time.Duration
}

func newProcessChecker(server netip.AddrPort) processChecker {
	return processChecker{address: server.String(), results: make(chan processCheck, 1)}
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
		case results <- processCheck{state, now}:
		default:
		}
	}()
}
