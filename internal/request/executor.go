package request

import (
	"context"
	"sync/atomic"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/ticket"
)

// Executor runs the requests of one upstream. It is safe for concurrent use.
type Executor struct {
	config   Config
	sealer   *ticket.Sealer
	commands chan func(*core)
	// offers holds the peers to tell of a free slot.
	offers        chan uint32
	droppedOffers atomic.Uint64
	stop          chan struct{}
	stopped       chan struct{}
}

// New starts an Executor. It panics if the first key is not a ticket key. Close ends it.
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

// Close ends the executor. Requests that still run end with an unknown outcome.
func (e *Executor) Close() {
	close(e.stop)
	<-e.stopped
}

// loop owns the core: every read and change of it is a command.
func (e *Executor) loop(c *core) {
	defer close(e.stopped)
	defer c.cancelAll()
	ticker := time.NewTicker(defaultTick)
	defer ticker.Stop()
	last := e.config.Now()
	for {
		select {
		case <-e.stop:
			return
		case command := <-e.commands:
			last = e.watch(c, last)
			command(c)
			if server, ok := c.nextOffer(); ok {
				e.queueOffer(server)
			}
		case <-ticker.C:
			last = e.watch(c, last)
			c.tick(e.config.Policy())
		}
	}
}

// watch compares the clock with the last time that the loop ran, and suspects the view after a pause.
func (e *Executor) watch(c *core, last time.Time) time.Time {
	now := e.config.Now()
	c.now = now
	if !e.paused(last, now) {
		return now
	}
	c.suspect = true
	if e.config.OnPause != nil {
		go e.config.OnPause()
	}
	return now
}

// paused reports whether the time between two close steps shows a pause of the process.
func (e *Executor) paused(before, now time.Time) bool {
	return e.config.PauseThreshold > 0 && now.Sub(before) > e.config.PauseThreshold
}

// do runs a command in the loop and waits until it has run. An error means that it never will.
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
		return ranBefore(done)
	}
}

// ranBefore settles a command of a loop that has stopped.
func ranBefore(done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	default:
		return ErrClosed
	}
}

// Incarnation returns the incarnation that owns the executor's tickets.
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

// Load returns the slots and the queue of the upstream.
func (e *Executor) Load() *bramleyv1.Load {
	load := &bramleyv1.Load{}
	_ = e.do(context.Background(), func(c *core) { load = c.load() })
	return load
}

// SetViewConfirmed tells the executor whether its view of the world is confirmed. While it is not, no request that
// is not idempotent starts.
func (e *Executor) SetViewConfirmed(confirmed bool) {
	_ = e.do(context.Background(), func(c *core) { c.suspect = !confirmed })
}

// SetAccepting tells the executor whether the upstream may get new work, as it may not while it drains.
func (e *Executor) SetAccepting(accepting bool) {
	_ = e.do(context.Background(), func(c *core) { c.accepting = accepting })
}

// UpstreamStarted begins the slow start of an upstream that has just come up.
func (e *Executor) UpstreamStarted() {
	_ = e.do(context.Background(), func(c *core) {
		c.warmSince = c.now
		c.tick(e.config.Policy())
	})
}

// noPeers is used by a service with one server.
type noPeers struct{}

// Execute reports that no peer was reached.
func (noPeers) Execute(context.Context, uint32, *bramleyv1.ExecuteRequest) (*bramleyv1.ExecuteResponse, error) {
	return nil, ErrNotDelivered
}

// Offer sends nothing.
func (noPeers) Offer(context.Context, uint32, *bramleyv1.OfferRequest) error {
	return nil
}

// Loads returns no peers.
func (noPeers) Loads() []PeerLoad {
	return nil
}
