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
	// platform is set if the files are settings that the users' platform passes to a process.
	platform bool
}

// validationResult is the result of checking one file.
type validationResult struct {
	File      string        `json:"file"`
	Valid     bool          `json:"valid"`
	Services  int           `json:"services"`
	Upstreams int           `json:"upstreams"`
	Error     string        `json:"error,omitempty"`
	Findings  []findingJSON `json:"findings,omitempty"`
}

type findingJSON struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "check settings trees and report every finding" }

func (*validateCommand) Usage() string {
	return `validate [--platform] [-o text|json] FILE...
  Checks each settings tree ("-" is standard input) and reports every finding with its file, line,
  column, path in the tree and reason. With --platform the files are the settings that the users' platform
  passes to a process. Exits with 1 if there is any finding.
`
}

func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.BoolVar(&c.platform, "platform", false, "check the settings files that the users' platform passes to a process")
}

func (c *validateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	if f.NArg() == 0 {
		return c.term.usage(c.Name(), "want at least one file")
	}
	results := make([]validationResult, 0, f.NArg())
	allValid := true
	for _, name := range f.Args() {
		v := c.validate(name)
		allValid = allValid && v.Valid
		results = append(results, v)
	}
	c.print(results)
	return exitStatus(allValid)
}

func (c *validateCommand) validate(name string) validationResult {
	if c.platform {
		return validatePlatform(name)
	}
	v := validationResult{File: name}
	_, tree, err := readTree(name)
	if err != nil {
		v.fail(err)
		return v
	}
	v.Valid = true
	v.Services = len(tree.Services)
	for _, s := range tree.Services {
		v.Upstreams += len(s.Upstreams)
	}
	return v
}

// validatePlatform checks a settings file that the users' platform passes to a process.
func validatePlatform(name string) validationResult {
	v := validationResult{File: name}
	data, err := readFile(name)
	if err != nil {
		v.fail(err)
		return v
	}
	if _, err := platform.ParseSettings(data); err != nil {
		v.fail(annotateFile(name, err))
		return v
	}
	v.Valid = true
	return v
}

func (v *validationResult) fail(err error) {
	v.Error = err.Error()
	var fileErr *fileError
	if !errors.As(err, &fileErr) {
		return
	}
	for _, f := range fileErr.findings {
		v.Findings = append(v.Findings, findingJSON{Path: f.Path, Reason: f.Reason, Line: f.Line, Column: f.Column})
	}
}

func (c *validateCommand) print(results []validationResult) {
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
			fmt.Fprintf(c.term.out, "%s: valid: %d services, %d upstreams\n", v.File, v.Services, v.Upstreams)
			continue
		}
		fmt.Fprintln(c.term.out, v.Error)
	}
}
