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

// replayReport is the result of replaying one trace.
type replayReport struct {
	File string `json:"file"`
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Missed lists the expectations that the replay did not meet.
	Missed []string       `json:"missed"`
	Runs   []policyReport `json:"runs"`
}

// policyReport holds the metrics of one policy on a trace. The first policy of a report is that of this
// load balancer.
type policyReport struct {
	Policy  string   `json:"policy"`
	Metrics []metric `json:"figures"`
}

// metric is a value measured in a replay.
type metric struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// text returns the value with at most four decimals and without trailing zeros.
func (m metric) text() string {
	const scale = 1e4
	return strconv.FormatFloat(math.Round(m.Value*scale)/scale, 'f', -1, 64)
}

func (*replayCommand) Name() string { return "replay" }
func (*replayCommand) Synopsis() string {
	return "replay recorded traces and check their expectations"
}

func (*replayCommand) Usage() string {
	return `replay [--baselines] [-o text|json] FILE...
  Replays traces of flows (.yaml, which contain their expectations) and of requests (.csv, whose
  expectations are set by the flags) in virtual time. Exits with 1 if an expectation is not met.
`
}

func (c *replayCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.BoolVar(&c.baselines, "baselines", false, "also replay the trace with simpler policies for comparison")
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
		return c.term.usage(c.Name(), "want at least one trace")
	}
	reports := []*replayReport{}
	allMet := true
	for _, name := range f.Args() {
		report, err := c.replay(name)
		if err != nil {
			return c.term.fail(c.Name(), errors.Annotate(err, name))
		}
		allMet = allMet && len(report.Missed) == 0
		reports = append(reports, report)
	}
	c.print(reports)
	return exitStatus(allMet)
}

func (c *replayCommand) replay(name string) (*replayReport, error) {
	switch filepath.Ext(name) {
	case ".yaml", ".yml":
		return replayFlows(name, c.baselines)
	case ".csv":
		return c.requests.replay(name, c.baselines)
	}
	return nil, errors.New("unknown trace format: want .yaml for flows or .csv for requests")
}

func (c *replayCommand) print(reports []*replayReport) {
	if c.output.isJSON() {
		c.term.json(reports)
		return
	}
	for _, report := range reports {
		for _, run := range report.Runs {
			fmt.Fprintf(c.term.out, "trace=%s policy=%q", report.Name, run.Policy)
			for _, m := range run.Metrics {
				fmt.Fprintf(c.term.out, " %s=%s", m.Name, m.text())
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
