package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/internal/flowhistory"
)

// flowCommand prints the history of a flow with an opaque payload from the logs.
type flowCommand struct {
	term         terminal
	output       output
	flow, client string
}

func (*flowCommand) Name() string { return "flow" }
func (*flowCommand) Synopsis() string {
	return "show the history of a flow with an opaque payload from the logs"
}

func (*flowCommand) Usage() string {
	return `flow --flow CLIENT:PORT>SERVICE:PORT [-o text|json] LOG...
flow --client IP[:PORT] [-o text|json] LOG...
  Reads the logs of any number of processes ("-" is standard input) and prints the history of one flow: the state
  of each process that made decisions about it, and these decisions in order of time. With --client it lists the
  flows of a client, or prints the history of the flow if there is only one. Timestamps come from the clocks of the
  processes. Exits with 1 if the logs do not name the flow.
`
}

func (c *flowCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.StringVar(&c.flow, "flow", "", "`flow` in the format of the logs")
	f.StringVar(&c.client, "client", "", "`address` of the client, with or without the port")
}

func (c *flowCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	if (c.flow == "") == (c.client == "") || f.NArg() == 0 {
		return c.term.usage(c.Name(), "want either --flow or --client, and at least one log")
	}
	collector := flowhistory.NewCollector(c.match)
	for _, name := range f.Args() {
		if err := readLog(collector, name); err != nil {
			return c.term.fail(c.Name(), err)
		}
	}
	flows := collector.Flows()
	switch {
	case len(flows) == 0:
		return c.term.fail(c.Name(), errors.NotFoundf("log line about %s%s", c.flow, c.client))
	case len(flows) > 1:
		c.printFlows(flows)
	default:
		c.printHistory(collector.History())
	}
	return subcommands.ExitSuccess
}

// match reports whether a flow is selected by --flow or --client.
func (c *flowCommand) match(flow string) bool {
	if c.flow != "" {
		return flow == c.flow
	}
	client, _, _ := strings.Cut(flow, ">")
	ip, _, _ := strings.Cut(client, ":")
	return client == c.client || ip == c.client
}

func readLog(collector *flowhistory.Collector, name string) error {
	if name == stdinName {
		return collector.Read("stdin", os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	return collector.Read(name, file)
}

func (c *flowCommand) printFlows(flows map[string]int) {
	names := make([]string, 0, len(flows))
	for name := range flows {
		names = append(names, name)
	}
	slices.Sort(names)
	if c.output.isJSON() {
		c.term.json(names)
		return
	}
	rows := [][]string{{"FLOW", "LINES"}}
	for _, name := range names {
		rows = append(rows, []string{name, fmt.Sprint(flows[name])})
	}
	c.term.table(rows)
}

func (c *flowCommand) printHistory(s flowhistory.History) {
	if c.output.isJSON() {
		c.term.json(s)
		return
	}
	fmt.Fprintf(c.term.out, "flow %s\n\nstate of the processes:\n", s.Flow)
	c.printLines(s.States)
	fmt.Fprintln(c.term.out, "\ndecisions about the flow:")
	c.printLines(s.Lines)
}

func (c *flowCommand) printLines(lines []flowhistory.Line) {
	rows := make([][]string, 0, len(lines))
	for i := range lines {
		l := &lines[i]
		rows = append(rows, []string{l.At.Format(time.StampMilli), l.Process, l.Op, formatFields(l)})
	}
	c.term.table(rows)
}

// formatFields returns the fields of a log line as key=value pairs, without the flow and empty values.
func formatFields(l *flowhistory.Line) string {
	var b strings.Builder
	for _, f := range l.Fields {
		if f.Key == "flow" || f.Value == "" {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		value := f.Value
		if strings.ContainsRune(value, ' ') {
			value = fmt.Sprintf("%q", value)
		}
		b.WriteString(f.Key + "=" + value)
	}
	return b.String()
}
