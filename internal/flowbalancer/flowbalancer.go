// Package flowbalancer is the daemon on an entry VM that forwards the packets of opaque flows. One goroutine
// owns all decisions; readers hand it what comes from clients and from agents.
package flowbalancer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/internal/packetreader"
	"github.com/bramleyrack/bramleyrack/internal/udp"
	"github.com/bramleyrack/bramleyrack/registry"
)

// View gives the routes and upstreams in force.
type View interface {
	// Current returns the view in force, or nil before the first.
	Current() *registry.View
	// Updates receives a value after the content of the view has changed.
	Updates() <-chan struct{}
	// Observe reports the freshness that a peer has told of.
	Observe(f registry.Freshness, peer netip.AddrPort)
}

// Config holds the settings of a Balancer.
type Config struct {
	View  View
	Clock *clock.Clock
	Codec flow.Codec
	// ClientAddress is where the packets of clients arrive. Packets for a client go to its address at the same port.
	ClientAddress netip.AddrPort
	// PeerAddress is where agents and balancers reach this process; all of them use the same port.
	PeerAddress netip.AddrPort
	// ProcessID identifies the process to its peers by the time of its start, in nanoseconds since 1970.
	ProcessID uint64
	Director  flow.DirectorConfig
	// MinLinger is how long a stopping balancer forwards at least, so that the routers notice that it is not
	// ready; MaxLinger is how long at most.
	MinLinger, MaxLinger time.Duration
	// Event logs what happens, as alternating keys and values.
	Event func(op string, kv ...any)
	// RecordReportTime records how long an agent took to report a new flow.
	RecordReportTime func(time.Duration)
}

const (
	// tickInterval is the time between two looks at what is due. It bounds how late an opening packet is
	// sent again.
	tickInterval = 20 * time.Millisecond
	// sweepInterval is the time between two searches for silent flows.
	sweepInterval = time.Second
	// doubtInterval is the time between two looks for agents that do not answer, for the log.
	doubtInterval = 100 * time.Millisecond
	// quietFor is how long no packet of a client must come before a stopping balancer ends.
	quietFor = 400 * time.Millisecond
	// readBuffer is the receive buffer of each socket, in bytes.
	readBuffer = 1 << 20
)

// Balancer is one running balancer.
type Balancer struct {
	config  Config
	clients *udp.Socket
	nodes   *udp.Socket
	leaving atomic.Bool
	counts  counters
}

// New opens the sockets.
func New(config Config) (*Balancer, error) {
	clients, err := udp.Listen(config.ClientAddress, readBuffer)
	if err != nil {
		return nil, errors.Annotatef(err, "socket towards clients at %s", config.ClientAddress)
	}
	nodes, err := udp.Listen(config.PeerAddress, readBuffer)
	if err != nil {
		clients.Close()
		return nil, errors.Annotatef(err, "socket towards agents at %s", config.PeerAddress)
	}
	return &Balancer{config: config, clients: clients, nodes: nodes}, nil
}

// Ready returns nil when clients may send packets here.
func (b *Balancer) Ready() error {
	view := b.config.View.Current()
	switch {
	case b.leaving.Load():
		return errors.New("process is leaving")
	case view == nil:
		return errors.New("no view yet")
	case view.Configuration == nil:
		return errors.New("no configuration yet")
	}
	return nil
}

// Run forwards until stop ends and the routers have left this process out.
func (b *Balancer) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	batches := make(chan *packetreader.Batch)
	group.Go(func() error { return packetreader.Read(ctx, b.clients, fromClients, batches) })
	group.Go(func() error { return packetreader.Read(ctx, b.nodes, fromNodes, batches) })
	group.Go(func() error {
		defer b.clients.Close()
		defer b.nodes.Close()
		defer cancel()
		newLoop(b).run(stop, batches)
		return nil
	})
	return group.Wait()
}

// The sources of a batch.
const (
	fromClients = iota
	fromNodes
)

// sockAddr returns the address in the form that a socket takes.
func sockAddr(ip flow.IP, port uint16) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IP(ip[:]), Port: int(port)}
}
