// Package agent implements the daemon that runs beside an upstream. It terminates the QUIC connections of
// callers, so that it owns their flows, and runs their requests through the executor. Balancers reach it by
// datagrams, and other agents by datagrams and over peer links.
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
	"github.com/bramleyrack/bramleyrack/internal/platformclient"
	"github.com/bramleyrack/bramleyrack/internal/request"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
	"github.com/bramleyrack/bramleyrack/internal/view"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// Config configures an agent.
type Config struct {
	// VM is the name of the machine, and Place its availability zone.
	VM    string
	Place string
	// Platform is the base URL of the platform's configuration service.
	Platform string
	// Service and Upstream are the names in the settings of the upstream that the agent serves.
	Service  string
	Upstream string
	// PeerListen is the address for peers. The settings must contain the same address.
	PeerListen netip.AddrPort
	// Operator is the address for metrics and health checks. The zero value disables them.
	Operator netip.AddrPort
	// Seeds are peers to fetch the settings from while the platform is down.
	Seeds []string
	Keys  *secrets.Keys
}

const (
	// pauseThreshold is the gap between two iterations of the executor above which the process counts
	// as paused.
	pauseThreshold = time.Second
	// confirmDelay gives the view time to detect a pause, too. Until then, the view still counts as
	// confirmed. It is also the longest time between two updates of the executor.
	confirmDelay = 300 * time.Millisecond
	// confirmInterval is the time between two checks whether the view is confirmed.
	confirmInterval = 50 * time.Millisecond
	// idleTimeoutFactor is the idle timeout of a QUIC connection as a multiple of the feed timeout.
	idleTimeoutFactor = 2
)

// Agent is a running agent.
type Agent struct {
	config Config
	self   placement.Owner
	// incarnation identifies this run of the process to its peers.
	incarnation uint64
	upstream    settings.Upstream
	meter       *traffic.Meter
	view        *view.View
	pool        *peer.Pool
	peers       *peers
	executor    *request.Executor
	lifecycle   *lifecycle
	health      *healthChecker
	metrics     *metrics
	socket      *net.UDPConn
	conn        *virtualConn
	inbound     *inbound
	outbound    *outbound
	quic        *quic.Transport
	listener    *quic.EarlyListener
	http        *http3.Server
}

// Run serves until ctx ends, then drains the agent, so that no request is interrupted within the
// drain timeout.
func Run(ctx context.Context, config Config) error {
	// Peer links and the view outlive ctx, since draining needs them.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a, err := start(running, ctx, config)
	if err != nil {
		return errors.Trace(err)
	}
	group, running := errgroup.WithContext(running)
	a.startServing(running, group)
	telemetry.Event("start", "vm", config.VM, "upstream", config.Upstream, "server", a.self.Server, "incarnation", a.self.Incarnation)
	select {
	case <-ctx.Done():
		a.drain()
	case <-running.Done():
	}
	cancel()
	a.close()
	return group.Wait()
}

// start waits until the settings contain the upstream, then builds the agent. ctx ends the wait, and
// running ends the view.
func start(running, ctx context.Context, config Config) (*Agent, error) {
	lifecycle, err := newLifecycle()
	if err != nil {
		return nil, errors.Trace(err)
	}
	a := &Agent{config: config, meter: &traffic.Meter{}, metrics: newMetrics(), lifecycle: lifecycle}
	a.pool = peer.NewPool(peer.PoolConfig{TLS: config.Keys.PeerClient, Meter: a.meter})
	if err := a.startView(running, ctx); err != nil {
		return nil, errors.Trace(err)
	}
	a.peers = &peers{view: a.view, pool: a.pool, service: a.self.Service, server: a.self.Server}
	client := bramleyv1connect.NewUpstreamServiceClient(newUpstreamHTTPClient(), a.upstream.URL, tracingClientOptions()...)
	a.startExecutor(client)
	a.health, err = newHealthChecker(client, a.executor, a.leaving, func() time.Duration { return a.policy().SlowStart })
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
		PauseThreshold: pauseThreshold,
		OnPause:        a.recoverFromPause,
	})
	a.registerGauges()
}

func (a *Agent) registerGauges() {
	telemetry.Gauge("revision", func() any { return a.view.Revision() })
	telemetry.Gauge("state", func() any { return a.state().String() })
	telemetry.Gauge("requests", func() any { return a.executor.Load() })
}

// listen opens the UDP socket and starts the QUIC transport on it.
func (a *Agent) listen() error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a.upstream.AgentAddress))
	if err != nil {
		return errors.Annotate(err, "listening on the agent's UDP address")
	}
	if err := socket.SetReadBuffer(receiveBuffer); err != nil {
		telemetry.Failure("receive_buffer", err)
	}
	codec, err := placement.NewCodec(a.config.Keys.ConnectionID[0], a.config.Keys.ConnectionID[1])
	if err != nil {
		return errors.Trace(err)
	}
	rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
	replyPath := placement.NewReplyPath(placement.DefaultReplyPathConfig())
	a.socket = socket
	a.outbound = newOutbound(socket, a.self, a.view.Revision, a.peers.deadServers, replyPath, rnd, a.metrics)
	a.conn = newVirtualConn(socket.LocalAddr(), a.outbound)
	a.inbound = a.newInbound(codec)
	return a.listenQUIC(codec)
}

func (a *Agent) newInbound(codec *placement.Codec) *inbound {
	return &inbound{
		socket:    a.socket,
		self:      a.self,
		codec:     codec,
		acceptor:  placement.NewAcceptor(a.acceptorConfig(), 0),
		agent:     a,
		conn:      a.conn,
		resetter:  newResetter(a.resetKey()),
		outbound:  a.outbound,
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
		MaxIdleTimeout:  idleTimeoutFactor * policy.FeedTimeout,
		KeepAlivePeriod: policy.FeedHeartbeat,
		// Packets stay at the QUIC minimum of 1200 bytes, so that a datagram between balancer and agent
		// has room for its header.
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
		executor:    a.executor,
		upstream:    client,
		policy:      a.policy,
		accepting:   a.accepting,
		feedsMoving: a.lifecycle.feedsMoving(),
		server:      a.self.Server,
		metrics:     a.metrics,
	}
	mux := http.NewServeMux()
	mux.Handle(bramleyv1connect.NewCallServiceHandler(service, tracingHandlerOptions()...))
	return &http3.Server{Handler: mux, ConnContext: a.trackFlow}
}

// trackFlow counts a connection as an open flow until it ends.
func (a *Agent) trackFlow(ctx context.Context, conn *quic.Conn) context.Context {
	a.metrics.flows.Add(1)
	a.metrics.flowsTotal.Add(1)
	context.AfterFunc(conn.Context(), func() { a.metrics.flows.Add(-1) })
	return ctx
}

func (a *Agent) startServing(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return a.inbound.run(ctx) })
	group.Go(func() error { return a.outbound.run(ctx) })
	group.Go(func() error { return ignoreClosed(ctx, a.http.ServeListener(a.listener)) })
	group.Go(func() error { return a.health.run(ctx) })
	group.Go(func() error { return a.syncExecutor(ctx) })
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

// close releases the resources that the goroutines of startServing use.
func (a *Agent) close() {
	_ = a.http.Close()
	_ = a.quic.Close()
	_ = a.conn.Close()
	_ = a.socket.Close()
	a.executor.Close()
	_ = a.pool.Close()
}

func (a *Agent) newPlatform() *platformclient.Client {
	return platformclient.New(platformclient.Config{URL: a.config.Platform, Meter: a.meter})
}
