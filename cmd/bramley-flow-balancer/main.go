// Command bramley-flow-balancer forwards the packets of opaque flows on an entry VM of the users' platform.
package main

import (
	"context"
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

// config holds the options of the program.
type config struct {
	operator             netip.AddrPort
	minLinger, maxLinger time.Duration
}

func main() {
	c := parse(os.Args[1:])
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := run(stop, c); err != nil {
		telemetry.Failure("stop", err)
		os.Exit(1)
	}
}

func parse(args []string) config {
	var c config
	set := options.New(program)
	set.AddrPort(&c.operator, "operator", "", "address of metrics and health for operators")
	set.Duration(&c.minLinger, "min-linger", 1200*time.Millisecond, "how long a stop goes on forwarding at least, for routers that poll twice a second")
	set.Duration(&c.maxLinger, "max-linger", 4*time.Second, "how long a stop goes on forwarding at most")
	set.MustParse(args)
	return c
}

func run(stop context.Context, c config) error {
	p, err := platform.NewProcess()
	if err != nil {
		return errors.Trace(err)
	}
	b, err := flowbalancer.New(flowbalancer.Config{
		View:             p.View,
		Clock:            p.Clock,
		Codec:            platform.PacketCodec{},
		ClientAddress:    p.Settings.ClientAddress,
		PeerAddress:      p.Settings.PeerAddress,
		ProcessID:        p.ProcessID,
		Director:         flow.DefaultDirectorConfig(p.Settings.Place),
		MinLinger:        c.minLinger,
		MaxLinger:        c.maxLinger,
		Event:            telemetry.Event,
		RecordReportTime: telemetry.NewHistogram("flow_answered_us").Record,
	})
	if err != nil {
		return errors.Trace(err)
	}
	telemetry.Gauge("balancer", func() any { return b.Counters() })
	return p.Run(stop, c.operator, b.Ready, b.Run)
}
