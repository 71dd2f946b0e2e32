package agent

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/internal/request"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
)

const (
	// healthInterval is the time between two questions to the upstream.
	healthInterval = 250 * time.Millisecond
	// healthTimeout bounds one question.
	healthTimeout = time.Second
	// healthFailures is how many questions in a row must fail before the upstream counts as down.
	healthFailures = 3
)

// health follows whether the upstream takes work. What the upstream says of its load is not used.
type health struct {
	client   bramleyv1connect.UpstreamServiceClient
	executor *request.Executor
	up       atomic.Bool
	failures int
}

func newHealth(client bramleyv1connect.UpstreamServiceClient, executor *request.Executor) *health {
	return &health{client: client, executor: executor}
}

func (h *health) accepting() bool { return h.up.Load() }

func (h *health) run(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		h.observe(h.ask(ctx))
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

func (h *health) observe(up bool) {
	if !up {
		h.failures++
		if h.failures >= healthFailures && h.up.Swap(false) {
			telemetry.Event("upstream_down", "failures", h.failures)
		}
		return
	}
	h.failures = 0
	if !h.up.Swap(true) {
		h.executor.UpstreamStarted()
		telemetry.Event("upstream_up")
	}
}
