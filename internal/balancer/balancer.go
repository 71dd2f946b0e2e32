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
	// listeners holds the sockets towards callers by the number of the service.
	listeners atomic.Pointer[map[uint32]*udp.Socket]
	counts    *counters
}

// New opens the socket towards agents.
func New(config Config) (*Balancer, error) {
	if config.View == nil || config.Codec == nil {
		return nil, errors.New("balancer needs a view and a codec")
	}
	if !config.AgentListen.IsValid() || config.AgentListen.Addr().IsUnspecified() {
		return nil, errors.NotValidf("address %q towards agents", config.AgentListen)
	}
	config = withDefaults(config)
	agents, err := udp.Listen(config.AgentListen, config.ReadBuffer)
	if err != nil {
		return nil, errors.Annotate(err, "socket towards agents")
	}
	b := &Balancer{config: config, start: time.Now(), agents: agents, counts: &counters{}}
	b.table.Store(routing.Empty())
	b.listeners.Store(&map[uint32]*udp.Socket{})
	return b, nil
}

// AgentAddress returns the address of the socket towards agents.
func (b *Balancer) AgentAddress() netip.AddrPort {
	return b.agents.LocalAddr()
}

// ServiceAddress returns the address that a service is received on, and false if it is not.
func (b *Balancer) ServiceAddress(service uint32) (netip.AddrPort, bool) {
	s := (*b.listeners.Load())[service]
	if s == nil {
		return netip.AddrPort{}, false
	}
	return s.LocalAddr(), true
}

// Ready returns nil when every service in force is received.
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

// Run forwards until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	returns := newReturner(b)
	group.Go(func() error { return ignoreClosed(ctx, returns.run()) })
	keeper := newKeeper(b, func(f *forwarder) {
		group.Go(func() error { return ignoreClosed(ctx, f.run()) })
	})
	group.Go(func() error { return keeper.run(ctx) })
	return group.Wait()
}

// now is the time since the start by the monotonic clock.
func (b *Balancer) now() time.Duration {
	return time.Since(b.start)
}
