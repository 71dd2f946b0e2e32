package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
)

// defaultMaxViewAge is the default of --max-age. Views of working processes are confirmed about once a second.
const defaultMaxViewAge = 3 * time.Second

// nodesCommand shows the state of the flow processes on the users' platform.
type nodesCommand struct {
	term     terminal
	output   output
	operator addressList
	timeout  time.Duration
	maxAge   time.Duration
}

func (*nodesCommand) Name() string { return "nodes" }
func (*nodesCommand) Synopsis() string {
	return "show the views, evacuations and servers of the processes on the users' platform"
}

func (*nodesCommand) Usage() string {
	return `nodes --operator IP:PORT,... [--max-age DURATION] [--timeout DURATION] [-o text|json]
  Queries each process at its operator address for its role, place, era, revision, configuration version, age of its
  view and evacuations in force; and each agent for the state of its server. Marks the processes that lag behind the
  highest era or version, or behind the highest revision with a view older than --max-age. Repeat --operator or
  separate addresses by commas. Exits with 1 if a process lags or is unreachable.
`
}

func (c *nodesCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.Var(&c.operator, "operator", "operator `addresses`, separated by commas")
	f.DurationVar(&c.timeout, "timeout", defaultOperatorTimeout, "maximum `duration` of a query")
	f.DurationVar(&c.maxAge, "max-age", defaultMaxViewAge, "`age` of a view up to which a lower revision is not a lag")
}

func (c *nodesCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	if len(c.operator) == 0 || f.NArg() > 0 {
		return c.term.usage(c.Name(), "want --operator and no other arguments")
	}
	if c.timeout <= 0 || c.maxAge < 0 {
		return c.term.usage(c.Name(), "--timeout must be positive and --max-age must not be negative")
	}
	report := newOperatorClient(c.timeout).nodes(ctx, c.operator, c.maxAge)
	c.print(report)
	return exitStatus(report.InForce)
}

func (c *nodesCommand) print(r *nodesReport) {
	if c.output.isJSON() {
		c.term.json(r)
		return
	}
	rows := [][]string{{"ADDRESS", "VM", "ROLE", "PLACE", "PROCESS", "ERA", "REVISION", "VERSION", "AGE", "EVACUATIONS", "SERVER", "NOTE"}}
	for i := range r.Processes {
		rows = append(rows, r.Processes[i].tableRow())
	}
	c.term.table(rows)
	for _, line := range r.evacuations() {
		fmt.Fprintln(c.term.out, line)
	}
	fmt.Fprintf(c.term.out, "era=%d revision=%d version=%d processes=%d in_force=%d lagging=%d unreachable=%d\n",
		r.Era, r.Revision, r.Version, len(r.Processes), r.count(noteNone), r.count(noteLags), r.count(noteUnreachable))
}

func (p *nodeState) tableRow() []string {
	if p.Node == nil {
		return []string{p.Address, "-", "-", "-", "-", "-", "-", "-", "-", "-", "-", p.Note + ": " + p.Error}
	}
	row := []string{p.Address, p.VM, p.Role, p.Place, fmt.Sprintf("%016x", p.Process)}
	if v := p.View; v == nil {
		row = append(row, "-", "-", "-", "-", "-")
	} else {
		row = append(row, fmt.Sprint(v.Era), fmt.Sprint(v.Revision), fmt.Sprint(v.Version), durationText(v.AgeMs), places(v.Evacuations))
	}
	note := p.Note
	if len(p.Behind) > 0 {
		note += ": " + strings.Join(p.Behind, ", ")
	}
	return append(row, serverText(p.Server), note)
}

func durationText(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

func places(evacuations []nodestatus.Evacuation) string {
	if len(evacuations) == 0 {
		return "none"
	}
	var names []string
	for _, e := range evacuations {
		names = append(names, e.Place)
	}
	return strings.Join(names, ",")
}

// serverText returns the state and load of a server on one line.
func serverText(s *nodestatus.Server) string {
	if s == nil {
		return "-"
	}
	return fmt.Sprintf("%s %s %d/%d busy, %d flows", s.Service, serverStates(s), s.Busy, s.Slots, s.Flows)
}

// serverStates returns whether a server gets new flows, and the conditions under which it gets none or fewer.
func serverStates(s *nodestatus.Server) string {
	var states []string
	for _, state := range []struct {
		name string
		set  bool
	}{
		{"accepting", s.Accepting && !s.Evacuated}, {"unhealthy", !s.Accepting && !s.Draining}, {"draining", s.Draining},
		{"evacuated", s.Evacuated}, {"suspect", s.Suspect},
	} {
		if state.set {
			states = append(states, state.name)
		}
	}
	if s.ColdMs > 0 {
		states = append(states, "cold "+durationText(s.ColdMs)+coldRateText(s.ColdRate))
	}
	return strings.Join(states, ",")
}

func coldRateText(perSecond float64) string {
	if perSecond == 0 {
		return ""
	}
	return fmt.Sprintf(" at %g/s", perSecond)
}

// evacuations returns one line for each different evacuation, with the number of processes in which it is in force and
// its highest known age.
func (r *nodesReport) evacuations() []string {
	type request struct {
		place    string
		era      uint16
		revision uint64
	}
	counts, ages, withView := map[request]int{}, map[request]int64{}, 0
	for _, p := range r.Processes {
		if p.Node == nil || p.View == nil {
			continue
		}
		withView++
		for _, e := range p.View.Evacuations {
			id := request{e.Place, e.Era, e.Revision}
			counts[id]++
			if e.AgeMs != nil {
				ages[id] = max(ages[id], *e.AgeMs)
			}
		}
	}
	var lines []string
	for id, n := range counts {
		age := "unknown"
		if ms, known := ages[id]; known {
			age = durationText(ms)
		}
		lines = append(lines, fmt.Sprintf("evacuation place=%s era=%d revision=%d age=%s processes=%d of %d", id.place, id.era, id.revision, age, n, withView))
	}
	slices.SortFunc(lines, cmp.Compare[string])
	return lines
}
