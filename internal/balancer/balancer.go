package balancer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/internal/udp"
)

// Balancer forwards datagrams between callers and agents.
type Balancer struct {
	config Config
	start  time.Time
	agents *udp.Socket
	table  atomic.Pointer[routing.Table]
	// listeners holds the caller-facing sockets by service number.
	listeners atomic.Pointer[map[uint32]*udp.Socket]
	counts    *counters
}

// New returns a Balancer with an open agent-facing socket. Run opens the caller-facing ones.
func New(config Config) (*Balancer, error) {
	if config.View == nil || config.Codec == nil {
		return nil, errors.New("balancer needs a view and a codec")
	}
	if !config.AgentListen.IsValid() || config.AgentListen.Addr().IsUnspecified() {
		return nil, errors.NotValidf("agent-facing address %q", config.AgentListen)
	}
	config = withDefaults(config)
	agents, err := udp.Listen(config.AgentListen, config.ReadBuffer)
	if err != nil {
		return nil, errors.Annotate(err, "opening the agent-facing socket")
	}
	b := &Balancer{config: config, start: time.Now(), agents: agents, counts: &counters{}}
	b.table.Store(routing.Empty())
	b.listeners.Store(&map[uint32]*udp.Socket{})
	return b, nil
}

// AgentAddress returns the address of the agent-facing socket.
func (b *Balancer) AgentAddress() netip.AddrPort {
	return b.agents.LocalAddr()
}

// ServiceAddress returns the address of the caller-facing socket of a service, or false if no
// socket is open for it.
func (b *Balancer) ServiceAddress(service uint32) (netip.AddrPort, bool) {
	s := (*b.listeners.Load())[service]
	if s == nil {
		return netip.AddrPort{}, false
	}
	return s.LocalAddr(), true
}

// Ready returns nil once settings are in force and a caller-facing socket is open for each of their
// services.
func (b *Balancer) Ready() error {
	tree := b.config.View.Current()
	if tree == nil {
		return errors.NotYetAvailablef("settings")
	}
	for i := range tree.Services {
		if _, ok := b.ServiceAddress(tree.Services[i].Number); !ok {
			return errors.NotYetAvailablef("socket of service %s", tree.Services[i].Name)
		}
	}
	return nil
}

// Run forwards datagrams until ctx ends or a socket fails.
func (b *Balancer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	returns := newReturner(b)
	group.Go(func() error { return ignoreClosed(ctx, returns.run()) })
	controller := newController(b, func(f *forwarder) {
		group.Go(func() error { return ignoreClosed(ctx, f.run()) })
	})
	group.Go(func() error { return controller.run(ctx) })
	return group.Wait()
}

// now returns the time since the start of the balancer, from the monotonic clock.
func (b *Balancer) now() time.Duration {
	return time.Since(b.start)
}
