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
	// healthInterval is the time between two questions to the upstream.
	healthInterval = 250 * time.Millisecond
	// healthTimeout bounds one question.
	healthTimeout = time.Second
	// healthFailures is how many questions in a row must fail before the upstream counts as down.
	healthFailures = 3
)

// The events of the upstream chart.
const (
	eventHealthy   statechart.Event = "healthy"
	eventUnhealthy statechart.Event = "unhealthy"
	eventWarmed    statechart.Event = "warmed"
	eventLeave     statechart.Event = "leave"
	eventStay      statechart.Event = "stay"
)

// The states of the upstream chart that decide something here.
const (
	stateDown        statechart.State = "down"
	stateWarming     statechart.State = "warming"
	stateLeavingDown statechart.State = "leaving_down"
)

// starter is told when the upstream starts to take work.
type starter interface {
	UpstreamStarted()
}

// health follows whether the upstream takes work. The upstream chart decides; what the upstream says
// of its load is not used.
type health struct {
	client   bramleyv1connect.UpstreamServiceClient
	executor starter
	// leaving and slowStart are what the settings in force say of the upstream.
	leaving   func() bool
	slowStart func() time.Duration
	machine   *statechart.Machine
	state     atomic.Value
	failures  int
	warmSince time.Time
}

func newHealth(client bramleyv1connect.UpstreamServiceClient, executor starter, leaving func() bool, slowStart func() time.Duration) (*health, error) {
	chart, err := statechart.Builtin(statechart.Upstream)
	if err != nil {
		return nil, errors.Annotate(err, "reading the upstream chart")
	}
	h := &health{client: client, executor: executor, leaving: leaving, slowStart: slowStart, machine: chart.NewMachine()}
	h.state.Store(h.machine.State())
	return h, nil
}

// current returns the state of the upstream.
func (h *health) current() statechart.State { return h.state.Load().(statechart.State) }

// accepting reports whether the upstream itself takes work. Whether it is leaving is for the settings
// to say, which are read at each decision.
func (h *health) accepting() bool {
	state := h.current()
	return state != stateDown && state != stateLeavingDown
}

func (h *health) run(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		h.observe(time.Now(), h.ask(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (h *health) ask(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	answer, err := h.client.Health(ctx, connect.NewRequest(&bramleyv1.HealthRequest{}))
	return err == nil && answer.Msg.GetAccepting()
}

// observe takes one answer of the upstream, and what the settings say of it.
func (h *health) observe(now time.Time, up bool) {
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
	if now.Sub(h.warmSince) >= h.slowStart() {
		h.fire(now, eventWarmed)
	}
}

func (h *health) fire(now time.Time, event statechart.Event) {
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
		h.warmSince = now
		h.executor.UpstreamStarted()
	}
}
