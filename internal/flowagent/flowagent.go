// Package flowagent implements the daemon that runs beside a server of opaque flows. It forwards packets from balancers
// and other agents to the server and the server's packets to clients, and tracks which flows the server holds. A single
// goroutine, the event loop, makes all decisions.
package flowagent

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

// Config holds the settings of an Agent.
type Config struct {
	View  View
	Clock *clock.Clock
	// Codec parses the packets of clients, and ServerCodec those of the server.
	Codec, ServerCodec flow.Codec
	// PeerAddress is the address on which the process receives datagrams from balancers and agents. All processes use the
	// same port.
	PeerAddress netip.AddrPort
	// OutboundAddress is the address to which the server sends its packets, and Server the one on which it receives them.
	OutboundAddress, Server netip.AddrPort
	// ClientPort is the port to which packets for a client are sent, at the client's IP address.
	ClientPort uint16
	// ProcessID identifies this run of the process to its peers.
	ProcessID uint64
	Tracker   flow.TrackerConfig
	Rand      *rand.Rand
	// Seeds returns the balancers to contact before any other is known.
	Seeds func() []netip.AddrPort
	// Event logs an event with alternating keys and values.
	Event func(op string, kv ...any)
	// RecordAnswerTime records how long the server took to answer an opening packet.
	RecordAnswerTime func(time.Duration)
	// RecordOpeningWait and RecordRequestWait record how long opening packets and requests on open flows were held before
	// the server got them.
	RecordOpeningWait, RecordRequestWait func(time.Duration)
}

const (
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is the time between two removals of idle flows.
	sweepInterval = time.Second
	// lingerTime is how long a stopping agent continues to forward packets in flight after it has notified its
	// balancers.
	lingerTime = 30 * time.Millisecond
	// receiveBuffer is the size of each socket's receive buffer in bytes.
	receiveBuffer = 1 << 20
	// processCheckTimeout bounds a check that the server process is running.
	processCheckTimeout = 300 * time.Millisecond
	// processCheckInterval is the minimum time between two such checks.
	processCheckInterval = 300 * time.Millisecond
	// downCheckInterval is that time while the server is known not to be running.
	downCheckInterval = time.Second
)

// Agent is the daemon beside one server.
type Agent struct {
	config  Config
	nodes   *udp.Socket
	server  *udp.Socket
	leaving atomic.Bool
	counts  counters
	state   atomic.Pointer[serverSnapshot]
	// questions are those of operators, which the event loop answers.
	questions explain.Questions[flow.AgentExplanation]
}

// New opens the sockets.
func New(config Config) (*Agent, error) {
	nodes, err := udp.Listen(config.PeerAddress, receiveBuffer)
	if err != nil {
		return nil, errors.Annotatef(err, "listening for balancers and agents on %s", config.PeerAddress)
	}
	server, err := udp.Listen(config.OutboundAddress, receiveBuffer)
	if err != nil {
		nodes.Close()
		return nil, errors.Annotatef(err, "listening for the server on %s", config.OutboundAddress)
	}
	return &Agent{config: config, nodes: nodes, server: server, questions: explain.NewQuestions[flow.AgentExplanation]()}, nil
}

// Ready returns nil if the agent can decide on flows, or else the reason why not.
func (a *Agent) Ready() error {
	view := a.config.View.Current()
	switch {
	case a.leaving.Load():
		return errors.New("process is shutting down")
	case view == nil:
		return errors.New("no view received yet")
	case view.Configuration == nil:
		return errors.New("no configuration received yet")
	}
	return nil
}

// Run forwards packets until stop ends, and then notifies the balancers and closes the sockets.
func (a *Agent) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	batches := make(chan *packetreader.Batch)
	group.Go(func() error { return packetreader.Read(ctx, a.nodes, sourceNodes, a.config.Clock.Now, batches) })
	group.Go(func() error { return packetreader.Read(ctx, a.server, sourceServer, a.config.Clock.Now, batches) })
	group.Go(func() error {
		defer a.nodes.Close()
		defer a.server.Close()
		defer cancel()
		newLoop(a).run(ctx, stop, batches)
		return nil
	})
	return group.Wait()
}

// The values of Batch.Source.
const (
	sourceNodes = iota
	sourceServer
)

// sockAddr converts an address to the type that the sockets take.
func sockAddr(ip flow.IP, port uint16) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IP(ip[:]), Port: int(port)}
}
