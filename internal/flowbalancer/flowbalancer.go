// Package flowbalancer implements the daemon on an entry VM that forwards the packets of opaque flows. A single
// goroutine, the event loop, makes all decisions; two readers pass it the datagrams from clients and from agents.
package flowbalancer

import (
	"context"
	"math/rand"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/internal/explain"
	"github.com/bramleyrack/bramleyrack/internal/packetreader"
	"github.com/bramleyrack/bramleyrack/internal/udp"
	"github.com/bramleyrack/bramleyrack/registry"
)

// View provides the routes and upstreams in force.
type View interface {
	// Current returns the view in force, or nil if none has been received yet.
	Current() *registry.View
	// Updates receives a value after the content of the view has changed.
	Updates() <-chan struct{}
	// Observe handles the freshness of its own view that a peer has sent.
	Observe(f registry.Freshness, peer netip.AddrPort)
}

// Config holds the settings of a Balancer.
type Config struct {
	View  View
	Clock *clock.Clock
	Codec flow.Codec
	// ClientAddress is the address on which packets from clients arrive. Packets for a client are sent to its IP address and
	// the same port.
	ClientAddress netip.AddrPort
	// PeerAddress is the address on which the process receives datagrams from agents and balancers. All processes use the
	// same port.
	PeerAddress netip.AddrPort
	// ProcessID identifies this run of the process to its peers.
	ProcessID uint64
	// Seeds returns the balancers to contact before any agent is known.
	Seeds    func() []netip.AddrPort
	Rand     *rand.Rand
	Director flow.DirectorConfig
	// MinLinger and MaxLinger bound how long a stopping balancer continues to forward. The minimum leaves the routers time
	// to notice that it is not ready.
	MinLinger, MaxLinger time.Duration
	// Event logs an event with alternating keys and values.
	Event func(op string, kv ...any)
	// RecordReportTime records how long it took until an agent reported on a new flow.
	RecordReportTime func(time.Duration)
}

const (
	// tickInterval is the time between two runs of the periodic work. It bounds the delay with which a due hedge is
	// sent.
	tickInterval = 20 * time.Millisecond
	// sweepInterval is the time between two removals of idle flows.
	sweepInterval = time.Second
	// healthLogInterval is the time between two checks for agents that have become unresponsive or responsive again.
	healthLogInterval = 100 * time.Millisecond
	// quietPeriod is how long clients must have sent no packet before a stopping balancer exits.
	quietPeriod = 400 * time.Millisecond
	// receiveBuffer is the size of each socket's receive buffer in bytes.
	receiveBuffer = 1 << 20
)

// Balancer is the daemon on one entry VM.
type Balancer struct {
	config  Config
	clients *udp.Socket
	nodes   *udp.Socket
	leaving atomic.Bool
	// isolated is set while no agent answers.
	isolated atomic.Bool
	counts   counters
	// questions are those of operators, which the event loop answers.
	questions explain.Questions[flow.Explanation]
}

// New opens the sockets.
func New(config Config) (*Balancer, error) {
	clients, err := udp.Listen(config.ClientAddress, receiveBuffer)
	if err != nil {
		return nil, errors.Annotatef(err, "listening for clients on %s", config.ClientAddress)
	}
	nodes, err := udp.Listen(config.PeerAddress, receiveBuffer)
	if err != nil {
		clients.Close()
		return nil, errors.Annotatef(err, "listening for agents and balancers on %s", config.PeerAddress)
	}
	return &Balancer{config: config, clients: clients, nodes: nodes, questions: explain.NewQuestions[flow.Explanation]()}, nil
}

// Ready returns nil if clients may send packets to this process, or else the reason why not.
func (b *Balancer) Ready() error {
	view := b.config.View.Current()
	switch {
	case b.leaving.Load():
		return errors.New("process is shutting down")
	case b.isolated.Load():
		return errors.New("no agent answers")
	case view == nil:
		return errors.New("no view received yet")
	case view.Configuration == nil:
		return errors.New("no configuration received yet")
	}
	return nil
}

// Run forwards packets until stop has ended and the routers no longer send packets here, and then closes the sockets.
func (b *Balancer) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	batches := make(chan *packetreader.Batch)
	group.Go(func() error { return packetreader.Read(ctx, b.clients, sourceClients, b.config.Clock.Now, batches) })
	group.Go(func() error { return packetreader.Read(ctx, b.nodes, sourceNodes, b.config.Clock.Now, batches) })
	group.Go(func() error {
		defer b.clients.Close()
		defer b.nodes.Close()
		defer cancel()
		newLoop(b).run(stop, batches)
		return nil
	})
	return group.Wait()
}

// The values of Batch.Source.
const (
	sourceClients = iota
	sourceNodes
)

// sockAddr converts an address to the type that the sockets take.
func sockAddr(ip flow.IP, port uint16) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IP(ip[:]), Port: int(port)}
}
