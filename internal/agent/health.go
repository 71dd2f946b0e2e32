package agent

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/statechart"
)

const (
	// healthInterval is the time between two health checks of the upstream.
	healthInterval = 250 * time.Millisecond
	healthTimeout  = time.Second
	// healthFailures is the number of consecutive failed checks after which the upstream counts as down.
	healthFailures = 3
)

// Events of the state chart of the upstream.
const (
	eventHealthy   statechart.Event = "healthy"
	eventUnhealthy statechart.Event = "unhealthy"
	eventWarmed    statechart.Event = "warmed"
	eventLeave     statechart.Event = "leave"
	eventStay      statechart.Event = "stay"
)

// States of the state chart of the upstream that the code depends on.
const (
	stateDown        statechart.State = "down"
	stateWarming     statechart.State = "warming"
	stateLeavingDown statechart.State = "leaving_down"
)

// startObserver is notified when the upstream has become healthy.
type startObserver interface {
	UpstreamStarted()
}

// healthChecker tracks whether the upstream accepts work, by periodic health checks and a state chart.
// It ignores the load that the upstream reports.
type healthChecker struct {
	client   bramleyv1connect.UpstreamServiceClient
	observer startObserver
	// leaving reports whether the upstream is leaving, and slowStart returns its slow-start period.
	leaving   func() bool
	slowStart func() time.Duration
	machine   *statechart.Machine
	// state is a copy of the state of machine that other goroutines may read.
	state atomic.Value
	// failures counts consecutive failed checks.
	failures     int
	warmingSince time.Time
}

func newHealthChecker(client bramleyv1connect.UpstreamServiceClient, observer startObserver, leaving func() bool, slowStart func() time.Duration) (*healthChecker, error) {
	chart, err := statechart.Builtin(statechart.Upstream)
	if err != nil {
		return nil, errors.Annotate(err, "loading the state chart of the upstream")
	}
	h := &healthChecker{client: client, observer: observer, leaving: leaving, slowStart: slowStart, machine: chart.NewMachine()}
	h.state.Store(h.machine.State())
	return h, nil
}

// current returns the state of the upstream. It may be called from any goroutine.
func (h *healthChecker) current() statechart.State { return h.state.Load().(statechart.State) }

// accepting reports whether the upstream itself accepts work. It does not consider whether the
// upstream is leaving, which Agent.leaving determines for each decision.
func (h *healthChecker) accepting() bool {
	state := h.current()
	return state != stateDown && state != stateLeavingDown
}

func (h *healthChecker) run(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		h.observe(time.Now(), h.check(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (h *healthChecker) check(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	answer, err := h.client.Health(ctx, connect.NewRequest(&bramleyv1.HealthRequest{}))
	return err == nil && answer.Msg.GetAccepting()
}

// observe applies the result of a health check and the current settings to the state chart.
func (h *healthChecker) observe(now time.Time, up bool) {
	if h.leaving() {
		h.fire(now, eventLeave)
	} else {
		h.fire(now, eventStay)
	}
	if up {
		h.failures = 0
		h.fire(now, eventHealthy)
	} else if h.failures++; h.failures >= healthFailures {
		h.fire(now, eventUnhealthy)
	}
	if now.Sub(h.warmingSince) >= h.slowStart() {
		h.fire(now, eventWarmed)
	}
}

// fire applies an event. An event that the state chart rejects is logged and changes nothing.
func (h *healthChecker) fire(now time.Time, event statechart.Event) {
	before := h.machine.State()
	if err := h.machine.Fire(event); err != nil {
		telemetry.Failure("upstream_event", err)
		return
	}
	after := h.machine.State()
	if after == before {
		return
	}
	h.state.Store(after)
	telemetry.Event("upstream", "state", after, "was", before, "event", event)
	if after == stateWarming {
		h.warmingSince = now
		h.observer.UpstreamStarted()
	}
}
