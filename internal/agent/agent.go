// Package agent is the process beside an upstream. It owns flows, by ending QUIC, and requests, by
// the executor; balancers and other agents reach it by datagrams and peer links.
package agent

import (
	"context"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/sync/errgroup"

	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/internal/peer"
	"github.com/bramleyrack/bramleyrack/internal/platform"
	"github.com/bramleyrack/bramleyrack/internal/request"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
	"github.com/bramleyrack/bramleyrack/internal/view"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// Config holds the settings of an agent.
type Config struct {
	// VM and Place name the machine and its availability zone.
	VM    string
	Place string
	// Platform is the base URL of the platform's configuration service.
	Platform string
	// Service and Upstream name what the agent stands beside, as in the tree of settings.
	Service  string
	Upstream string
	// PeerListen is where the agent serves its peers; the tree must name the same address.
	PeerListen netip.AddrPort
	// Operator serves metrics and health; the zero value serves none.
	Operator netip.AddrPort
	// Seeds are peers to ask for settings while the platform is down.
	Seeds []string
	Keys  *secrets.Keys
}

const (
	// jumpAfter is the gap between two ticks that counts as a pause of the process.
	jumpAfter = time.Second
	// confirmDelay lets the view notice a pause before it is asked whether it is confirmed.
	confirmDelay = 300 * time.Millisecond
	// confirmInterval is the time between two such questions.
	confirmInterval = 50 * time.Millisecond
	// idleFactor is how many feed timeouts a silent connection stays open.
	idleFactor = 2
)

// Agent is one running agent.
type Agent struct {
	config Config
	self   placement.Owner
	// incarnation names this run of the process to its peers.
	incarnation uint64
	upstream    settings.Upstream
	meter       *traffic.Meter
	view        *view.View
	pool        *peer.Pool
	peers       *peers
	executor    *request.Executor
	life        *lifecycle
	health      *health
	metrics     *metrics
	socket      *net.UDPConn
	conn        *virtualConn
	in          *inbound
	out         *outbound
	quic        *quic.Transport
	listener    *quic.EarlyListener
	http        *http3.Server
}

// Run serves until ctx ends, then stops without cutting a request.
func Run(ctx context.Context, config Config) error {
	// Links and the view outlive ctx, since a planned stop still needs them.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a, err := start(running, ctx, config)
	if err != nil {
		return errors.Trace(err)
	}
	group, running := errgroup.WithContext(running)
	a.serve(running, group)
	telemetry.Event("start", "vm", config.VM, "upstream", config.Upstream, "server", a.self.Server, "incarnation", a.self.Incarnation)
	select {
	case <-ctx.Done():
		a.stop()
	case <-running.Done():
	}
	cancel()
	a.close()
	return group.Wait()
}

// start builds the agent once the settings name its upstream.
func start(running, ctx context.Context, config Config) (*Agent, error) {
	life, err := newLifecycle()
	if err != nil {
		return nil, errors.Trace(err)
	}
	a := &Agent{config: config, meter: &traffic.Meter{}, metrics: newMetrics(), life: life}
	a.pool = peer.NewPool(peer.PoolConfig{TLS: config.Keys.PeerClient, Meter: a.meter})
	if err := a.startView(running, ctx); err != nil {
		return nil, errors.Trace(err)
	}
	a.peers = &peers{view: a.view, pool: a.pool, service: a.self.Service, server: a.self.Server}
	client := bramleyv1connect.NewUpstreamServiceClient(newUpstreamTransport(), a.upstream.URL, traced()...)
	a.startExecutor(client)
	a.health, err = newHealth(client, a.executor, a.leaving, func() time.Duration { return a.policy().SlowStart })
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := a.listen(); err != nil {
		return nil, errors.Trace(err)
	}
	a.http = a.newServer(client)
	return a, nil
}

func (a *Agent) startExecutor(client bramleyv1connect.UpstreamServiceClient) {
	a.executor = request.New(request.Config{
		Service:        a.self.Service,
		Server:         a.self.Server,
		Incarnation:    a.incarnation,
		Keys:           a.config.Keys.Ticket,
		Upstream:       client,
		Peers:          a.peers,
		Policy:         a.policy,
		Now:            time.Now,
		Rand:           rand.New(rand.NewSource(time.Now().UnixNano())),
		PauseThreshold: jumpAfter,
		OnPause:        a.confirm,
	})
	a.gauges()
}

func (a *Agent) gauges() {
	telemetry.Gauge("revision", func() any { return a.view.Revision() })
	telemetry.Gauge("state", func() any { return a.state().String() })
	telemetry.Gauge("requests", func() any { return a.executor.Load() })
}

// listen opens the socket and the QUIC transport above it.
func (a *Agent) listen() error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a.upstream.AgentAddress))
	if err != nil {
		return errors.Annotate(err, "opening the agent's address")
	}
	if err := socket.SetReadBuffer(receiveBuffer); err != nil {
		telemetry.Failure("receive_buffer", err)
	}
	codec, err := placement.NewCodec(a.config.Keys.ConnectionID[0], a.config.Keys.ConnectionID[1])
	if err != nil {
		return errors.Trace(err)
	}
	rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
	path := placement.NewReplyPath(placement.DefaultReplyPathConfig())
	a.socket = socket
	a.out = newOutbound(socket, a.self, a.view.Revision, a.peers.silent, path, rnd, a.metrics)
	a.conn = newVirtualConn(socket.LocalAddr(), a.out)
	a.in = a.newInbound(codec)
	return a.listenQUIC(codec)
}

func (a *Agent) newInbound(codec *placement.Codec) *inbound {
	return &inbound{
		socket:    a.socket,
		self:      a.self,
		codec:     codec,
		acceptor:  placement.NewAcceptor(a.acceptorConfig(), 0),
		around:    a,
		conn:      a.conn,
		resetter:  newResetter(a.resetKey()),
		out:       a.out,
		metrics:   a.metrics,
		start:     time.Now(),
		lastHeard: map[netip.AddrPort]time.Duration{},
	}
}

func (a *Agent) acceptorConfig() placement.AcceptorConfig {
	policy := a.policy()
	config := placement.DefaultAcceptorConfig(a.self.Server)
	config.Slack = policy.FlowSlack
	config.SlowStart = policy.SlowStart
	config.DeadAfter = policy.DeadAfter
	config.ResetAfter = policy.ResetAfter
	return config
}

func (a *Agent) resetKey() quic.StatelessResetKey {
	var key quic.StatelessResetKey
	copy(key[:], a.config.Keys.Reset)
	return key
}

func (a *Agent) listenQUIC(codec *placement.Codec) error {
	reset := a.resetKey()
	a.quic = &quic.Transport{
		Conn:                  a.conn,
		ConnectionIDGenerator: &connectionIDs{codec: codec, owner: a.self},
		StatelessResetKey:     &reset,
	}
	policy := a.policy()
	config := &quic.Config{
		MaxIdleTimeout:  idleFactor * policy.FeedTimeout,
		KeepAlivePeriod: policy.FeedHeartbeat,
		// Packets must leave room for the header between balancer and agent.
		InitialPacketSize:       1200,
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
		MaxIncomingStreams:      1024,
	}
	listener, err := a.quic.ListenEarly(http3.ConfigureTLSConfig(a.config.Keys.Server), config)
	if err != nil {
		return errors.Annotate(err, "listening for QUIC")
	}
	a.listener = listener
	return nil
}

func (a *Agent) newServer(client bramleyv1connect.UpstreamServiceClient) *http3.Server {
	service := &callService{
		executor:  a.executor,
		upstream:  client,
		policy:    a.policy,
		accepting: a.accepting,
		stopping:  a.life.stopping(),
		number:    a.self.Server,
		metrics:   a.metrics,
	}
	mux := http.NewServeMux()
	mux.Handle(bramleyv1connect.NewCallServiceHandler(service, tracedHandler()...))
	return &http3.Server{Handler: mux, ConnContext: a.countFlow}
}

// countFlow counts a connection until it ends.
func (a *Agent) countFlow(ctx context.Context, conn *quic.Conn) context.Context {
	a.metrics.flows.Add(1)
	a.metrics.flowsTotal.Add(1)
	context.AfterFunc(conn.Context(), func() { a.metrics.flows.Add(-1) })
	return ctx
}

// serve starts one goroutine for each duty.
func (a *Agent) serve(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return a.in.run(ctx) })
	group.Go(func() error { return a.out.run(ctx) })
	group.Go(func() error { return ignoreClosed(ctx, a.http.ServeListener(a.listener)) })
	group.Go(func() error { return a.health.run(ctx) })
	group.Go(func() error { return a.follow(ctx) })
	group.Go(func() error {
		impl := &peerService{View: a.view, executor: a.executor, load: a.protoLoad}
		return peer.Serve(ctx, a.config.PeerListen, a.config.Keys.PeerServer, impl)
	})
	if a.config.Operator.IsValid() {
		group.Go(func() error { return telemetry.ServeOperator(ctx, a.config.Operator, a.ready) })
	}
}

func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, quic.ErrServerClosed) {
		return nil
	}
	return err
}

// close releases what serve uses.
func (a *Agent) close() {
	_ = a.http.Close()
	_ = a.quic.Close()
	_ = a.conn.Close()
	_ = a.socket.Close()
	a.executor.Close()
	_ = a.pool.Close()
}

func (a *Agent) newPlatform() *platform.Client {
	return platform.New(platform.Config{URL: a.config.Platform, Meter: a.meter})
}
