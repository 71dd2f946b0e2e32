// Command bramley-flow-agent runs beside a server on the users' platform and delivers to it the packets
// of flows with opaque payloads.
package main

import (
	"context"
	"math/rand"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/flowagent"
	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
	"github.com/bramleyrack/bramleyrack/internal/options"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/platform"
)

const program = "bramley-flow-agent"

func main() {
	operator := parse(os.Args[1:])
	stopCtx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := run(stopCtx, operator); err != nil {
		telemetry.Failure("stop", err)
		os.Exit(1)
	}
}

func parse(args []string) netip.AddrPort {
	var operator netip.AddrPort
	set := options.New(program)
	set.AddrPort(&operator, "operator", "", "address of metrics and health for operators")
	set.MustParse(args)
	return operator
}

func run(stopCtx context.Context, operator netip.AddrPort) error {
	p, err := platform.NewProcess()
	if err != nil {
		return errors.Trace(err)
	}
	tracker := flow.DefaultTrackerConfig(p.Settings.Service, flow.EndpointOf(p.Settings.Server))
	tracker.Place = p.Settings.Place
	tracker.MaxFlowAge = p.Settings.MaxFlowAge
	tracker.StartTime = uint64(p.Clock.StartTime().UnixMilli())
	a, err := flowagent.New(flowagent.Config{
		View:              p.View,
		Clock:             p.Clock,
		Codec:             platform.PacketCodec{},
		ServerCodec:       platform.PacketCodec{FromServer: true},
		PeerAddress:       p.Settings.PeerAddress,
		OutboundAddress:   p.Settings.OutboundAddress,
		Server:            p.Settings.Server,
		ClientPort:        p.Settings.ClientPort,
		ProcessID:         p.ProcessID,
		Rand:              rand.New(rand.NewSource(int64(p.ProcessID))),
		Seeds:             p.Seeds,
		Tracker:           tracker,
		Event:             telemetry.Event,
		RecordAnswerTime:  telemetry.NewHistogram("flow_accepted_us").Record,
		RecordOpeningWait: telemetry.NewHistogram("opening_held_us").Record,
		RecordRequestWait: telemetry.NewHistogram("request_held_us").Record,
	})
	if err != nil {
		return errors.Trace(err)
	}
	telemetry.Gauge("agent", func() any { return a.Counters() })
	telemetry.Gauge(nodestatus.ServerVariable, func() any { return a.ServerStatus() })
	return p.Run(stopCtx, operator, a.Ready, a.Run, a.ExplainEndpoint())
}
