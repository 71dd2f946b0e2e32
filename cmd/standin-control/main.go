// Command standin-control controls the simulated platform and fabric in tests and demonstrations, and
// combines the results of callers and upstreams into a summary line.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, command := range []subcommands.Command{
		&readyCommand{}, &publishCommand{}, &revisionCommand{}, &vmCommand{}, &platformFaultsCommand{}, &platformStatsCommand{},
		&routesCommand{}, &fabricFaultsCommand{}, &silenceCommand{}, &flowsCommand{}, &verdictCommand{},
	} {
		subcommands.Register(command, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// exitStatus prints err to standard error, unless it is nil, and returns the exit status for it.
func exitStatus(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, strings.TrimSpace(err.Error()))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// splitList splits a comma-separated list and drops empty items.
func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}
