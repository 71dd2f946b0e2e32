package main

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/bramleyrack/bramleyrack/platform"
)

type validateCommand struct {
	term   terminal
	output output
	// platform says that the files are those that the users' platform hands to a process.
	platform bool
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
	return `validate [--platform] [-o text|json] FILE...
  Checks each tree of settings ("-" is standard input) and reports every finding with its file, line,
  column, path in the tree and reason. With --platform the files are the settings that the users' platform
  hands to a process. Exits with 1 if there is any finding.
`
}

func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.BoolVar(&c.platform, "platform", false, "check files of settings from the users' platform")
}

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
		v := c.validate(name)
		good = good && v.Valid
		results = append(results, v)
	}
	c.print(results)
	return exitStatus(good)
}

func (c *validateCommand) validate(name string) validation {
	if c.platform {
		return validatePlatform(name)
	}
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

// validatePlatform checks the settings that the users' platform hands to a process.
func validatePlatform(name string) validation {
	v := validation{File: name}
	data, err := readFile(name)
	if err != nil {
		v.fail(err)
		return v
	}
	if _, err := platform.ParseSettings(data); err != nil {
		v.fail(inFile(name, err))
		return v
	}
	v.Valid = true
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
		if v.Valid && c.platform {
			fmt.Fprintf(c.term.out, "%s: valid\n", v.File)
			continue
		}
		if v.Valid {
			fmt.Fprintf(c.term.out, "%s: valid: %d services, %d upstreams\n", v.File, v.Services, v.Servers)
			continue
		}
		fmt.Fprintln(c.term.out, v.Error)
	}
}
