// Command bramley-agent runs beside an upstream and owns its flows and requests.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/internal/agent"
	"github.com/bramleyrack/bramleyrack/internal/options"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
)

const program = "bramley-agent"

func main() {
	config, trace := parse(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, config, trace); err != nil {
		telemetry.Failure("stop", err)
		os.Exit(1)
	}
	telemetry.Event("stop")
}

func parse(args []string) (agent.Config, string) {
	var c agent.Config
	var seeds, trace string
	set := options.New(program)
	set.String(&c.VM, "vm", "", "name of this VM")
	set.String(&c.Place, "place", "", "availability zone of this VM")
	set.String(&c.Platform, "platform", "", "base URL of the platform's configuration service")
	set.String(&c.Service, "service", "", "name of the service in the settings")
	set.String(&c.Upstream, "upstream", "", "name of the upstream in the settings")
	set.AddrPort(&c.PeerListen, "peer-listen", "", "address that this process serves its peers on")
	set.AddrPort(&c.Operator, "operator", "", "address of metrics and health for operators")
	set.String(&seeds, "seeds", "", "addresses of peers to ask while the platform is down, separated by commas")
	set.String(&trace, "trace", "none", "exporter of traces: none, stderr or otlp")
	set.Require("vm", "place", "platform", "service", "upstream", "peer-listen")
	set.MustParse(args)
	c.Seeds = strings.FieldsFunc(seeds, func(r rune) bool { return r == ',' })
	return c, trace
}

func run(ctx context.Context, config agent.Config, trace string) error {
	shutdown, err := telemetry.StartTracing(ctx, program, trace)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = shutdown(context.WithoutCancel(ctx)) }()
	config.Keys, err = secrets.Load(os.Getenv)
	if err != nil {
		return errors.Annotate(err, "loading secrets")
	}
	return errors.Trace(agent.Run(ctx, config))
}
