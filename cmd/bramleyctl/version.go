package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/bramleyrack/bramleyrack/internal/options"
	"github.com/google/subcommands"
)

type versionCommand struct {
	term terminal
}

func (*versionCommand) Name() string             { return "version" }
func (*versionCommand) Synopsis() string         { return "print the version" }
func (*versionCommand) Usage() string            { return "version\n  Prints the version of this program.\n" }
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Fprintln(c.term.out, options.Version("bramleyctl"))
	return subcommands.ExitSuccess
}
