// Command bramleyctl is the operators' tool: it checks trees of settings, shows what they mean, and
// asks the processes what they have in force.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	os.Exit(int(run()))
}

func run() subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	commander := subcommands.NewCommander(flag.CommandLine, "bramleyctl")
	commander.Explain = explainProgram(commander.Explain)
	register(commander, terminal{out: os.Stdout, err: os.Stderr})
	flag.CommandLine.Usage = func() { commander.Explain(os.Stderr) }
	flag.Parse()
	return commander.Execute(ctx)
}

func register(commander *subcommands.Commander, term terminal) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&versionCommand{term: term}, "")
	commander.Register(&validateCommand{term: term}, "trees of settings")
	commander.Register(&settingsCommand{term: term}, "trees of settings")
	commander.Register(&diffCommand{term: term}, "trees of settings")
	commander.Register(newExplainCommand(term), "trees of settings")
	commander.Register(newStatusCommand(term), "running processes")
	commander.Register(&flowCommand{term: term}, "logs")
	commander.Register(&replayCommand{term: term}, "traces")
	commander.Register(&keygenCommand{term: term}, "secrets")
}
