package main

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

type validateCommand struct {
	term   terminal
	output output
}

// validation is the result for one file.
type validation struct {
	File     string        `json:"file"`
	Valid    bool          `json:"valid"`
	Services int           `json:"services"`
	Servers  int           `json:"upstreams"`
	Error    string        `json:"error,omitempty"`
	Findings []findingJSON `json:"findings,omitempty"`
}

type findingJSON struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "check trees of settings and report every finding" }

func (*validateCommand) Usage() string {
	return `validate [-o text|json] FILE...
  Checks each tree of settings ("-" is standard input) and reports every finding with its file, line,
  column, path in the tree and reason. Exits with 1 if there is any.
`
}

func (c *validateCommand) SetFlags(f *flag.FlagSet) { c.output.setFlags(f) }

func (c *validateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	if f.NArg() == 0 {
		return c.term.usage(c.Name(), "name at least one file")
	}
	results := make([]validation, 0, f.NArg())
	good := true
	for _, name := range f.Args() {
		v := validate(name)
		good = good && v.Valid
		results = append(results, v)
	}
	c.print(results)
	return exitStatus(good)
}

func validate(name string) validation {
	v := validation{File: name}
	_, tree, err := readTree(name)
	if err != nil {
		v.fail(err)
		return v
	}
	v.Valid = true
	v.Services = len(tree.Services)
	for _, s := range tree.Services {
		v.Servers += len(s.Upstreams)
	}
	return v
}

func (v *validation) fail(err error) {
	v.Error = err.Error()
	var found *fileError
	if !errors.As(err, &found) {
		return
	}
	for _, f := range found.findings {
		v.Findings = append(v.Findings, findingJSON{Path: f.Path, Reason: f.Reason, Line: f.Line, Column: f.Column})
	}
}

func (c *validateCommand) print(results []validation) {
	if c.output.isJSON() {
		c.term.json(results)
		return
	}
	for _, v := range results {
		if v.Valid {
			fmt.Fprintf(c.term.out, "%s: valid: %d services, %d upstreams\n", v.File, v.Services, v.Servers)
			continue
		}
		fmt.Fprintln(c.term.out, v.Error)
	}
}
