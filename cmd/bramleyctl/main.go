// Command bramleyctl is the command-line tool for operators. It checks and compares settings trees,
// queries the status of running processes, reads their logs, replays traces and generates keys.
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
	commander.Explain = explainWithExitCodes(commander.Explain)
	register(commander, terminal{out: os.Stdout, err: os.Stderr})
	flag.CommandLine.Usage = func() { commander.Explain(os.Stderr) }
	flag.Parse()
	return commander.Execute(ctx)
}

func register(commander *subcommands.Commander, term terminal) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&versionCommand{term: term}, "")
	commander.Register(&validateCommand{term: term}, "settings trees")
	commander.Register(&settingsCommand{term: term}, "settings trees")
	commander.Register(&diffCommand{term: term}, "settings trees")
	commander.Register(newExplainCommand(term), "settings trees")
	commander.Register(newStatusCommand(term), "running processes")
	commander.Register(&nodesCommand{term: term}, "running processes")
	commander.Register(&explainFlowCommand{term: term}, "running processes")
	commander.Register(&flowCommand{term: term}, "logs")
	commander.Register(&replayCommand{term: term}, "traces")
	commander.Register(&keygenCommand{term: term}, "secrets")
}
