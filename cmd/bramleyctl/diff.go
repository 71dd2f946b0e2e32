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

// change is a change of one field from the same old to the same new value in one or more parts of the tree.
type change struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
	// For lists the affected services, or the affected upstreams as SERVICE.PLACE.UPSTREAM.
	For []string `json:"for"`
}

func (*diffCommand) Name() string { return "diff" }
func (*diffCommand) Synopsis() string {
	return "show the changes between two settings trees and what they affect"
}

func (*diffCommand) Usage() string {
	return `diff [-o text|json] OLD NEW
  Shows the effective values that differ between two settings trees, and the services and upstreams
  that each change affects. Exits with 0 if the trees do not differ and with 1 if they do.
`
}

func (c *diffCommand) SetFlags(f *flag.FlagSet) { c.output.setFlags(f) }

func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	if f.NArg() != 2 {
		return c.term.usage(c.Name(), "want exactly two files")
	}
	_, before, err := readTree(f.Arg(0))
	if err != nil {
		return c.term.fail(c.Name(), err)
	}
	_, after, err := readTree(f.Arg(1))
	if err != nil {
		return c.term.fail(c.Name(), err)
	}
	changes := groupChanges(settings.Diff(before, after))
	c.print(changes)
	return exitStatus(len(changes) == 0)
}

// groupChanges joins equal changes of one field, since a change at a high level of the tree affects many upstreams.
func groupChanges(changes []settings.Change) []change {
	var grouped []change
	for _, ch := range changes {
		owner, field := splitPath(ch.Path)
		i := slices.IndexFunc(grouped, func(g change) bool {
			return g.Field == field && g.Old == ch.Old && g.New == ch.New
		})
		if i < 0 {
			i = len(grouped)
			grouped = append(grouped, change{Field: field, Old: ch.Old, New: ch.New})
		}
		grouped[i].For = append(grouped[i].For, owner)
	}
	return grouped
}

// splitPath splits the path of a changed value into its field and the part of the tree that the field
// belongs to.
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
	for _, ch := range changes {
		line := settings.Change{Path: ch.Field, Old: ch.Old, New: ch.New}
		fmt.Fprintf(c.term.out, "%s\n    for %s\n", line, strings.Join(ch.For, " "))
	}
}
