package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"github.com/bramleyrack/bramleyrack/settings"
)

type diffCommand struct {
	term   terminal
	output output
}

// change is one field that changes in the same way for one or more parts of the tree.
type change struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
	// For lists the services, or upstreams as SERVICE.PLACE.UPSTREAM, that the change is for.
	For []string `json:"for"`
}

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "show what changes between two trees, and for whom" }

func (*diffCommand) Usage() string {
	return `diff [-o text|json] OLD NEW
  Shows the effective values that differ between two trees, and the services and upstreams that each
  change is for. Exits with 0 if nothing differs and with 1 if something does.
`
}

func (c *diffCommand) SetFlags(f *flag.FlagSet) { c.output.setFlags(f) }

func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	if f.NArg() != 2 {
		return c.term.usage(c.Name(), "want two files")
	}
	_, before, err := readTree(f.Arg(0))
	if err != nil {
		return c.term.fail(c.Name(), err)
	}
	_, after, err := readTree(f.Arg(1))
	if err != nil {
		return c.term.fail(c.Name(), err)
	}
	changes := group(settings.Diff(before, after))
	c.print(changes)
	return exitStatus(len(changes) == 0)
}

// group joins equal changes of one field, since a change high in the tree is for many upstreams.
func group(changes []settings.Change) []change {
	var grouped []change
	for _, each := range changes {
		owner, field := splitPath(each.Path)
		i := slices.IndexFunc(grouped, func(g change) bool {
			return g.Field == field && g.Old == each.Old && g.New == each.New
		})
		if i < 0 {
			i = len(grouped)
			grouped = append(grouped, change{Field: field, Old: each.Old, New: each.New})
		}
		grouped[i].For = append(grouped[i].For, owner)
	}
	return grouped
}

func splitPath(path string) (owner, field string) {
	i := strings.LastIndexByte(path, '.')
	if i < 0 {
		return "tree", path
	}
	return path[:i], path[i+1:]
}

func (c *diffCommand) print(changes []change) {
	if c.output.isJSON() {
		if changes == nil {
			changes = []change{}
		}
		c.term.json(changes)
		return
	}
	for _, each := range changes {
		line := settings.Change{Path: each.Field, Old: each.Old, New: each.New}
		fmt.Fprintf(c.term.out, "%s\n    for %s\n", line, strings.Join(each.For, " "))
	}
}
