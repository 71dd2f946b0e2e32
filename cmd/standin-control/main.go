// Command standin-control drives the stand-ins in tests and demonstrations and joins their figures
// to the closing line.
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

// exit reports an error, if any, and returns the status of the command.
func exit(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, strings.TrimSpace(err.Error()))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// list splits a comma-separated list and drops empty items.
func list(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}
