package main

import (
	"context"
	"flag"
	"fmt"
	"math"
	"path/filepath"
	"strconv"

	"github.com/google/subcommands"
	"github.com/juju/errors"
)

type replayCommand struct {
	term      terminal
	output    output
	baselines bool
	requests  requestReplay
}

// replayReport is the outcome of one trace.
type replayReport struct {
	File string `json:"file"`
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Missed lists the stated outcomes that the replay missed.
	Missed []string       `json:"missed"`
	Runs   []policyReport `json:"runs"`
}

// policyReport is the figures of one policy on a trace; the first one is the product's.
type policyReport struct {
	Policy  string   `json:"policy"`
	Metrics []figure `json:"figures"`
}

// figure is one measured value.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// text rounds the value to four decimals and drops what adds nothing.
func (f figure) text() string {
	const scale = 1e4
	return strconv.FormatFloat(math.Round(f.Value*scale)/scale, 'f', -1, 64)
}

func (*replayCommand) Name() string { return "replay" }
func (*replayCommand) Synopsis() string {
	return "replay recorded traces against their stated outcomes"
}

func (*replayCommand) Usage() string {
	return `replay [--baselines] [-o text|json] FILE...
  Replays traces of flows (.yaml, which state their outcomes) and of requests (.csv, whose outcomes
  are stated by the flags) in virtual time. Exits with 1 if an outcome is missed.
`
}

func (c *replayCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.BoolVar(&c.baselines, "baselines", false, "run simpler policies on the same trace for comparison")
	c.requests.setFlags(f)
}

func (c *replayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	if err := c.requests.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	if f.NArg() == 0 {
		return c.term.usage(c.Name(), "name at least one trace")
	}
	reports := []*replayReport{}
	good := true
	for _, name := range f.Args() {
		report, err := c.replay(name)
		if err != nil {
			return c.term.fail(c.Name(), errors.Annotate(err, name))
		}
		good = good && len(report.Missed) == 0
		reports = append(reports, report)
	}
	c.print(reports)
	return exitStatus(good)
}

func (c *replayCommand) replay(name string) (*replayReport, error) {
	switch filepath.Ext(name) {
	case ".yaml", ".yml":
		return replayFlows(name, c.baselines)
	case ".csv":
		return c.requests.replay(name, c.baselines)
	}
	return nil, errors.New("not a trace: want .yaml for flows or .csv for requests")
}

func (c *replayCommand) print(reports []*replayReport) {
	if c.output.isJSON() {
		c.term.json(reports)
		return
	}
	for _, report := range reports {
		for _, run := range report.Runs {
			fmt.Fprintf(c.term.out, "trace=%s policy=%q", report.Name, run.Policy)
			for _, f := range run.Metrics {
				fmt.Fprintf(c.term.out, " %s=%s", f.Name, f.text())
			}
			fmt.Fprintln(c.term.out)
		}
		for _, missed := range report.Missed {
			fmt.Fprintf(c.term.out, "trace=%s missed=%q\n", report.Name, missed)
		}
		if len(report.Missed) == 0 {
			fmt.Fprintf(c.term.out, "trace=%s outcome=met\n", report.Name)
		}
	}
}
