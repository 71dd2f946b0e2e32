// Command bramley-balancer forwards datagrams from callers to the agents of the upstreams.
package main

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/balancer"
	"github.com/bramleyrack/bramleyrack/internal/options"
	"github.com/bramleyrack/bramleyrack/internal/peer"
	"github.com/bramleyrack/bramleyrack/internal/platformclient"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/internal/tracing"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
	"github.com/bramleyrack/bramleyrack/internal/view"
	"github.com/bramleyrack/bramleyrack/placement"
)

const program = "bramley-balancer"

// config holds the command-line options.
type config struct {
	options.Daemon
	agentListen netip.AddrPort
	bind        map[string]netip.AddrPort
	retention   time.Duration
	batch       int
	linger      time.Duration
}

func main() {
	c := parse(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, c); err != nil {
		telemetry.Failure("stop", err)
		os.Exit(1)
	}
	telemetry.Event("stop")
}

func parse(args []string) config {
	var c config
	set := options.New(program)
	set.Daemon(&c.Daemon)
	set.AddrPort(&c.agentListen, "agent-listen", "", "address that agents return datagrams to")
	set.Bindings(&c.bind, "bind", "", "listen address of a service if it differs from the address in the settings tree")
	set.Duration(&c.retention, "retention", 0, "how long an upstream that was removed from the settings is kept for its open flows; 0 means 12h")
	set.Int(&c.batch, "batch", 0, "datagrams per system call; 0 means 32")
	set.Duration(&c.linger, "linger", 10*time.Second, "maximum time to keep forwarding after a stop signal while the fabric still sends packets")
	set.Require("agent-listen")
	set.MustParse(args)
	return c
}

func run(ctx context.Context, c config) error {
	shutdown, err := tracing.Start(ctx, program, c.Trace)
	if err != nil {
		return errors.Trace(err)
	}
	defer shutdown(context.WithoutCancel(ctx))
	keys, err := secrets.Load(os.Getenv, secrets.PartConnectionID, secrets.PartPeer)
	if err != nil {
		return errors.Annotate(err, "loading secrets")
	}
	codec, err := placement.NewCodec(keys.ConnectionID[0], keys.ConnectionID[1])
	if err != nil {
		return errors.Trace(err)
	}
	stopCtx := ctx
	runCtx, cancel := context.WithCancel(context.WithoutCancel(stopCtx))
	defer cancel()
	group, ctx := errgroup.WithContext(runCtx)
	meter := &traffic.Meter{}
	v, err := startView(ctx, c, keys, meter)
	if err != nil {
		return errors.Trace(err)
	}
	var onPlaced func(start, end time.Time, flow uint64, service, server uint32)
	if c.Trace != "none" {
		onPlaced = tracing.RecordPlacement
	}
	b, err := balancer.New(balancer.Config{
		View:        v,
		Codec:       codec,
		AgentListen: c.agentListen,
		Bind:        c.bind,
		Retention:   c.retention,
		BatchSize:   c.batch,
		Event:       telemetry.Event,
		OnPlaced:    onPlaced,
	})
	if err != nil {
		return errors.Trace(err)
	}
	stop := linger(stopCtx, cancel, c.linger, func() uint64 { return receivedPackets(b) })
	defer stop()
	telemetry.Gauge("balancer", func() any { return b.Counters() })
	telemetry.Gauge("revision", func() any { return v.Revision() })
	telemetry.Event("start", "vm", c.VM, "place", c.Place, "agents", b.AgentAddress())
	group.Go(func() error { return b.Run(ctx) })
	group.Go(func() error { return peer.Serve(ctx, c.PeerListen, keys.PeerServer, &peerService{View: v}) })
	if c.Operator.IsValid() {
		group.Go(func() error { return telemetry.ServeOperator(ctx, c.Operator, ready(stopCtx, v, b)) })
	}
	err = group.Wait()
	<-v.Done()
	return err
}

// peerService serves the calls of peers from the view. It does not implement the calls for requests,
// because a balancer executes none.
type peerService struct {
	*view.View
}

// Status returns the identity, state and load of the process.
func (s *peerService) Status(context.Context, *bramleyv1.StatusRequest) (*bramleyv1.StatusResponse, error) {
	return s.View.Status(), nil
}

// ready returns the readiness check. It fails as soon as the stop signal arrives, so that the fabric
// stops routing packets here while the balancer still forwards.
func ready(stopCtx context.Context, v *view.View, b *balancer.Balancer) func() error {
	return func() error {
		if stopCtx.Err() != nil {
			return errors.New("process is leaving")
		}
		if err := v.Ready(); err != nil {
			return err
		}
		return b.Ready()
	}
}

func startView(ctx context.Context, c config, keys *secrets.Keys, meter *traffic.Meter) (*view.View, error) {
	return view.Start(ctx, view.Config{
		Identity: &bramleyv1.Identity{
			Vm:          c.VM,
			Place:       c.Place,
			Role:        bramleyv1.VMRole_VM_ROLE_ENTRY,
			Incarnation: uint64(time.Now().UnixNano()),
			PeerAddress: c.PeerListen.String(),
		},
		Platform: platformclient.New(platformclient.Config{URL: c.Platform, Meter: meter}),
		Peers:    peer.NewPool(peer.PoolConfig{TLS: keys.PeerClient, Meter: meter}),
		Seeds:    c.Seeds(),
		Meter:    meter,
		Event:    telemetry.Event,
	})
}
