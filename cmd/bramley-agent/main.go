// Command bramley-agent runs beside an upstream, terminates its flows and executes their requests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/internal/agent"
	"github.com/bramleyrack/bramleyrack/internal/options"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/internal/tracing"
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

func parse(args []string) (config agent.Config, trace string) {
	var daemon options.Daemon
	set := options.New(program)
	set.Daemon(&daemon)
	set.String(&config.Service, "service", "", "name of the service in the settings tree")
	set.String(&config.Upstream, "upstream", "", "name of the upstream in the settings tree")
	set.Require("service", "upstream")
	set.MustParse(args)
	config.VM = daemon.VM
	config.Place = daemon.Place
	config.Platform = daemon.Platform
	config.PeerListen = daemon.PeerListen
	config.Operator = daemon.Operator
	config.Seeds = daemon.Seeds()
	return config, daemon.Trace
}

func run(ctx context.Context, config agent.Config, trace string) error {
	shutdown, err := tracing.Start(ctx, program, trace)
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
