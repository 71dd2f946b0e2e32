package agent

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/internal/tracing"
)

const (
	// handOverTimeout bounds one message of a hand-over.
	handOverTimeout = 2 * time.Second
	// announceDelay lets a heartbeat tell the peers that this agent leaves.
	announceDelay = 700 * time.Millisecond
)

// stop is the planned stop: no new work, streams move, running work ends, records are handed over.
func (a *Agent) stop() {
	a.life.fire(eventStop)
	a.executor.SetAccepting(false)
	telemetry.Event("stopping", "flows", a.metrics.flows.Value())
	ctx, cancel := context.WithTimeout(context.Background(), a.policy().DrainTimeout)
	defer cancel()
	pause(ctx, announceDelay)
	a.life.endStreams()
	group := errgroup.Group{}
	group.Go(func() error { return a.http.Shutdown(ctx) })
	group.Go(func() error { return a.executor.Drain(ctx) })
	if err := group.Wait(); err != nil {
		telemetry.Failure("drain", err)
	}
	if err := a.handOver(); err != nil {
		telemetry.Failure("hand_over", err, "outcome", "unknown")
	}
	a.life.fire(eventDrained)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// handOver gives the records to the first live agent that takes them.
func (a *Agent) handOver() error {
	from := a.view.Identity()
	last := errors.New("no live agent of the service is known")
	for _, address := range a.peers.successors() {
		last = a.executor.HandOver(context.Background(), from, a.sendRecords(address))
		if last == nil {
			telemetry.Event("handed_over", "to", address)
			return nil
		}
	}
	return last
}

func (a *Agent) sendRecords(address string) func(context.Context, *bramleyv1.HandOverRequest) (*bramleyv1.HandOverResponse, error) {
	return func(ctx context.Context, req *bramleyv1.HandOverRequest) (*bramleyv1.HandOverResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
		defer cancel()
		client, err := a.pool.Client(ctx, address)
		if err != nil {
			return nil, err
		}
		return client.HandOver(ctx, req)
	}
}

// confirm settles the executor after a pause, once the view is confirmed again.
func (a *Agent) confirm() {
	a.life.fire(eventPaused)
	telemetry.Event("paused")
	a.life.fire(eventPaused)
	time.Sleep(confirmDelay)
	for a.view.Ready() != nil {
		time.Sleep(confirmInterval)
	}
	a.executor.SetViewConfirmed(true)
	a.life.fire(eventConfirmed)
	a.life.fire(eventConfirmed)
	telemetry.Event("settled")
}

// newUpstreamTransport returns a client that sends each request once.
func newUpstreamTransport() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}}
}

// traced returns the options that carry spans to the upstream.
func traced() []connect.ClientOption {
	interceptor, err := tracing.ConnectInterceptor()
	if err != nil {
		return nil
	}
	return []connect.ClientOption{connect.WithInterceptors(interceptor)}
}

// tracedHandler returns the options that take spans from callers.
func tracedHandler() []connect.HandlerOption {
	interceptor, err := tracing.ConnectInterceptor()
	if err != nil {
		return nil
	}
	return []connect.HandlerOption{connect.WithInterceptors(interceptor)}
}
