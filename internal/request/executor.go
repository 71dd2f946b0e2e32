package request

import (
	"context"
	"sync/atomic"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/ticket"
)

// Executor executes the requests for one upstream. It is safe for concurrent use.
type Executor struct {
	config   Config
	sealer   *ticket.Sealer
	commands chan func(*core)
	// offers queues the servers to inform of a free slot.
	offers        chan uint32
	droppedOffers atomic.Uint64
	stop          chan struct{}
	stopped       chan struct{}
}

// New starts an Executor, which runs until Close. It panics if a key does not have the length of a ticket key.
func New(config Config) *Executor {
	sealer, err := ticket.NewSealer(config.Keys[0], config.Keys[1])
	if err != nil {
		panic(err)
	}
	if config.Deadline <= 0 {
		config.Deadline = defaultDeadline
	}
	if config.Peers == nil {
		config.Peers = noPeers{}
	}
	e := &Executor{
		config:   config,
		sealer:   sealer,
		commands: make(chan func(*core), commandBuffer),
		offers:   make(chan uint32, offerBuffer),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	go e.loop(newCore(config, sealer, config.Now()))
	go e.sendOffers()
	return e
}

// Close stops the executor. Requests that are still running end with an unknown outcome.
func (e *Executor) Close() {
	close(e.stop)
	<-e.stopped
}

// loop owns the core and runs commands and ticks one at a time, so that the core needs no lock.
func (e *Executor) loop(c *core) {
	defer close(e.stopped)
	defer c.cancelAll()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := e.config.Now()
	for {
		select {
		case <-e.stop:
			return
		case command := <-e.commands:
			last = e.detectPause(c, last)
			command(c)
			if server, ok := c.nextOffer(); ok {
				e.queueOffer(server)
			}
		case <-ticker.C:
			last = e.detectPause(c, last)
			c.tick(e.config.Policy())
		}
	}
}

// detectPause reads the clock and checks for a pause since the last iteration of the loop. After a pause the view of
// settings and peers may be outdated, so requests that are not idempotent are refused until SetViewConfirmed(true).
func (e *Executor) detectPause(c *core, last time.Time) time.Time {
	now := e.config.Now()
	c.now = now
	if !e.paused(last, now) {
		return now
	}
	c.viewUnconfirmed = true
	if e.config.OnPause != nil {
		go e.config.OnPause()
	}
	return now
}

// paused reports whether the gap between two times that normally follow each other closely is a pause.
func (e *Executor) paused(before, now time.Time) bool {
	return e.config.PauseThreshold > 0 && now.Sub(before) > e.config.PauseThreshold
}

// do runs a command in the loop and waits for its completion. An error means that the command did not run and will
// not run.
func (e *Executor) do(ctx context.Context, command func(*core)) error {
	done := make(chan struct{})
	wrapped := func(c *core) {
		command(c)
		close(done)
	}
	select {
	case e.commands <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	case <-e.stopped:
		return ErrClosed
	}
	select {
	case <-done:
		return nil
	case <-e.stopped:
		return closedError(done)
	}
}

// closedError returns nil if a command completed before the loop stopped, and otherwise ErrClosed.
func closedError(done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	default:
		return ErrClosed
	}
}

// Incarnation returns the incarnation under which the executor issues tickets.
func (e *Executor) Incarnation() uint64 {
	return e.config.Incarnation
}

func (e *Executor) identity() *bramleyv1.Identity {
	return &bramleyv1.Identity{
		Service:     e.config.Service,
		Server:      e.config.Server,
		Incarnation: e.config.Incarnation,
	}
}

// Load returns the number of busy slots, slots and queued requests of the upstream.
func (e *Executor) Load() *bramleyv1.Load {
	load := &bramleyv1.Load{}
	_ = e.do(context.Background(), func(c *core) { load = c.load() })
	return load
}

// SetViewConfirmed sets whether the view of settings and peers is confirmed after a pause of the process. While it is
// not confirmed, only idempotent requests of this server's callers start.
func (e *Executor) SetViewConfirmed(confirmed bool) {
	_ = e.do(context.Background(), func(c *core) { c.viewUnconfirmed = !confirmed })
}

// SetAccepting sets whether the local upstream receives new requests. While it must not, for example because it is
// draining, the executor issues no tickets and can only delegate new requests.
func (e *Executor) SetAccepting(accepting bool) {
	_ = e.do(context.Background(), func(c *core) { c.accepting = accepting })
}

// UpstreamStarted restarts the slow start after the upstream has become healthy.
func (e *Executor) UpstreamStarted() {
	_ = e.do(context.Background(), func(c *core) {
		c.upstreamStartedAt = c.now
		c.tick(e.config.Policy())
	})
}

// noPeers implements Peers for a service with only one server.
type noPeers struct{}

// Execute always returns ErrNotDelivered.
func (noPeers) Execute(context.Context, uint32, *bramleyv1.ExecuteRequest) (*bramleyv1.ExecuteResponse, error) {
	return nil, ErrNotDelivered
}

// Offer does nothing.
func (noPeers) Offer(context.Context, uint32, *bramleyv1.OfferRequest) error {
	return nil
}

// Loads returns no peers.
func (noPeers) Loads() []PeerLoad {
	return nil
}
