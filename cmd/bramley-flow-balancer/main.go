// Command bramley-flow-balancer runs on an entry VM of the users' platform and forwards the packets of flows
// with opaque payloads to the agents.
package main

import (
	"context"
	"math"
	"math/rand"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/flowbalancer"
	"github.com/bramleyrack/bramleyrack/internal/options"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/platform"
)

const program = "bramley-flow-balancer"

// config holds the command-line options.
type config struct {
	operator             netip.AddrPort
	minLinger, maxLinger time.Duration
}

func main() {
	c := parse(os.Args[1:])
	stopCtx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := run(stopCtx, c); err != nil {
		telemetry.Failure("stop", err)
		os.Exit(1)
	}
}

func parse(args []string) config {
	var c config
	set := options.New(program)
	set.AddrPort(&c.operator, "operator", "", "address of metrics and health for operators")
	set.Duration(&c.minLinger, "min-linger", 1200*time.Millisecond, "minimum time to keep forwarding after a stop signal, so that routers that poll twice a second notice it")
	set.Duration(&c.maxLinger, "max-linger", 4*time.Second, "maximum time to keep forwarding after a stop signal")
	set.MustParse(args)
	return c
}

func run(stopCtx context.Context, c config) error {
	p, err := platform.NewProcess()
	if err != nil {
		return errors.Trace(err)
	}
	director := flow.DefaultDirectorConfig(p.Settings.Place)
	director.MaxFlowAge = p.Settings.MaxFlowAge
	rnd := rand.New(rand.NewSource(int64(p.ProcessID)))
	director.HeartbeatStart = rnd.Intn(math.MaxInt32)
	if p.Settings.LinkRate > 0 {
		director.MaxSearchBytes = flow.SearchBytes(p.Settings.LinkRate)
	}
	b, err := flowbalancer.New(flowbalancer.Config{
		View:             p.View,
		Clock:            p.Clock,
		Codec:            platform.PacketCodec{},
		ClientAddress:    p.Settings.ClientAddress,
		PeerAddress:      p.Settings.PeerAddress,
		ProcessID:        p.ProcessID,
		Director:         director,
		Seeds:            p.Seeds,
		Rand:             rnd,
		MinLinger:        c.minLinger,
		MaxLinger:        c.maxLinger,
		Event:            telemetry.Event,
		RecordReportTime: telemetry.NewHistogram("flow_answered_us").Record,
	})
	if err != nil {
		return errors.Trace(err)
	}
	telemetry.Gauge("balancer", func() any { return b.Counters() })
	return p.Run(stopCtx, c.operator, b.Ready, b.Run, b.ExplainEndpoint())
}
