// Package flowagent is the daemon beside a server of opaque flows. It hands the server its packets, sends the
// server's packets to clients, and knows which flows the server holds. One goroutine owns all decisions.
package flowagent

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

// Config holds the settings of an Agent.
type Config struct {
	View  View
	Clock *clock.Clock
	// Codec reads the packets of clients, and ServerCodec those of the server.
	Codec, ServerCodec flow.Codec
	// PeerAddress is where balancers and agents reach this process; all of them use the same port.
	PeerAddress netip.AddrPort
	// FromServer is where the server sends its packets, and Server where it receives them.
	FromServer, Server netip.AddrPort
	// ClientPort is the port at which the packets for a client are sent to its address.
	ClientPort uint16
	// ProcessID identifies the process to its peers by the time of its start, in nanoseconds since 1970.
	ProcessID uint64
	Tracker   flow.TrackerConfig
	// Event logs what happens, as alternating keys and values.
	Event func(op string, kv ...any)
	// RecordAnswerTime records how long the server took to answer an opening packet.
	RecordAnswerTime func(time.Duration)
}

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is the time between two searches for silent flows.
	sweepInterval = time.Second
	// lingerFor is how long a stopping agent hands on what is under way, after it has told its balancers.
	lingerFor = 30 * time.Millisecond
	// balancerMemory is how long a balancer that was not heard counts as one to be told of news.
	balancerMemory = 5 * time.Second
	// readBuffer is the receive buffer of each socket, in bytes.
	readBuffer = 1 << 20
	// checkTimeout bounds the question whether the server runs.
	checkTimeout = 300 * time.Millisecond
	// checkInterval is the time between two such questions.
	checkInterval = 300 * time.Millisecond
)

// Agent is one running agent.
type Agent struct {
	config  Config
	nodes   *udp.Socket
	server  *udp.Socket
	leaving atomic.Bool
	counts  counters
}

// New opens the sockets.
func New(config Config) (*Agent, error) {
	nodes, err := udp.Listen(config.PeerAddress, readBuffer)
	if err != nil {
		return nil, errors.Annotatef(err, "socket towards balancers at %s", config.PeerAddress)
	}
	server, err := udp.Listen(config.FromServer, readBuffer)
	if err != nil {
		nodes.Close()
		return nil, errors.Annotatef(err, "socket towards the server at %s", config.FromServer)
	}
	return &Agent{config: config, nodes: nodes, server: server}, nil
}

// Ready returns nil when the agent can decide about flows.
func (a *Agent) Ready() error {
	view := a.config.View.Current()
	switch {
	case a.leaving.Load():
		return errors.New("process is leaving")
	case view == nil:
		return errors.New("no view yet")
	case view.Configuration == nil:
		return errors.New("no configuration yet")
	}
	return nil
}

// Run serves until stop ends, and then tells its balancers.
func (a *Agent) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	batches := make(chan *packetreader.Batch)
	group.Go(func() error { return packetreader.Read(ctx, a.nodes, fromNodes, batches) })
	group.Go(func() error { return packetreader.Read(ctx, a.server, fromServer, batches) })
	group.Go(func() error {
		defer a.nodes.Close()
		defer a.server.Close()
		defer cancel()
		newLoop(a).run(ctx, stop, batches)
		return nil
	})
	return group.Wait()
}

// The sources of a batch.
const (
	fromNodes = iota
	fromServer
)

// sockAddr returns the address in the form that a socket takes.
func sockAddr(ip flow.IP, port uint16) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IP(ip[:]), Port: int(port)}
}
