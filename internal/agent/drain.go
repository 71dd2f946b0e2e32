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
	// handOverTimeout limits one message of a hand-over.
	handOverTimeout = 2 * time.Second
	// announceDelay gives heartbeats time to tell the peers that this agent is leaving. By default,
	// heartbeats with a peer are 600 ms apart on average.
	announceDelay = 700 * time.Millisecond
)

// drain performs a planned stop: it refuses new work, moves feeds to other agents, waits for running
// requests, and hands over the ticket records. Draining takes at most the drain timeout, not counting
// the hand-over.
func (a *Agent) drain() {
	a.lifecycle.fire(eventStop)
	a.executor.SetAccepting(false)
	telemetry.Event("stopping", "flows", a.metrics.flows.Value())
	ctx, cancel := context.WithTimeout(context.Background(), a.policy().DrainTimeout)
	defer cancel()
	sleep(ctx, announceDelay)
	a.lifecycle.moveFeeds()
	group := errgroup.Group{}
	group.Go(func() error { return a.http.Shutdown(ctx) })
	group.Go(func() error { return a.executor.Drain(ctx) })
	if err := group.Wait(); err != nil {
		telemetry.Failure("drain", err)
	}
	if err := a.handOver(); err != nil {
		telemetry.Failure("hand_over", err, "outcome", "unknown")
	}
	a.lifecycle.fire(eventDrained)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// handOver sends the ticket records to the first live agent of the service that accepts them.
func (a *Agent) handOver() error {
	from := a.view.Identity()
	err := errors.New("no live agent of the service to hand the ticket records over to")
	for _, address := range a.peers.successors() {
		err = a.executor.HandOver(context.Background(), from, a.sendRecords(address))
		if err == nil {
			telemetry.Event("handed_over", "to", address)
			return nil
		}
	}
	return err
}

// sendRecords returns a function that sends one message of a hand-over to the peer at address.
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

// recoverFromPause waits after a pause of the process until the view is confirmed again. Only then
// may the executor start requests that are not idempotent.
func (a *Agent) recoverFromPause() {
	a.lifecycle.fire(eventPaused)
	telemetry.Event("paused")
	a.lifecycle.fire(eventPaused)
	time.Sleep(confirmDelay)
	for a.view.Ready() != nil {
		time.Sleep(confirmInterval)
	}
	a.executor.SetViewConfirmed(true)
	a.lifecycle.fire(eventConfirmed)
	a.lifecycle.fire(eventConfirmed)
	telemetry.Event("settled")
}

// newUpstreamHTTPClient returns the HTTP client for the upstream. It sends each request only once,
// since a request that is not idempotent must not run twice.
func newUpstreamHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}}
}

// tracingClientOptions returns the options that propagate the trace context to the upstream.
func tracingClientOptions() []connect.ClientOption {
	interceptor, err := tracing.ConnectInterceptor()
	if err != nil {
		return nil
	}
	return []connect.ClientOption{connect.WithInterceptors(interceptor)}
}

// tracingHandlerOptions returns the options that extract the trace context from callers' requests.
func tracingHandlerOptions() []connect.HandlerOption {
	interceptor, err := tracing.ConnectInterceptor()
	if err != nil {
		return nil
	}
	return []connect.HandlerOption{connect.WithInterceptors(interceptor)}
}
