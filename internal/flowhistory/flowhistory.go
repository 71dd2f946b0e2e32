// Package flowhistory reconstructs the history of an opaque flow from the logs of all processes.
package flowhistory

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Line is one log line of a process.
type Line struct {
	// At is when the process wrote the line, according to the clock of its VM, which may differ from those of other VMs.
	At time.Time
	// Process is the last word before the line's time, or else the source that the line was read from.
	Process string
	Op      string
	// Fields holds the other pairs, in order and without the level.
	Fields []Field
}

// Field is one pair of a key and a value.
type Field struct {
	Key, Value string
}

// Get returns the value of a key, or an empty string if there is none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

const (
	timeKey  = "time"
	levelKey = "level"
	opKey    = "op"
	flowKey  = "flow"
	opStart  = "start"
	// maxLine is the maximum length of a line in bytes; reading fails at a longer one.
	maxLine = 1 << 20
)

// stateOps holds the operations that log a change of the state on which a process bases its decisions. The history of a
// flow includes the latest line of each before the process's last decision on the flow.
var stateOps = map[string]bool{
	opStart: true, "stopping": true, "reload": true, "resumed": true,
	"view_in_force": true, "routes_in_force": true,
	"store_lost": true, "store_regained": true, "store_history_lost": true,
	"accepting": true, "suspect": true, "server_down": true, "server_silent": true,
	"agent_leaving": true, "agent_doubtful": true,
}

// Parse reads one line of a log, which may be preceded by the name of its process. It returns false for lines that
// are not log lines.
func Parse(source, text string) (Line, bool) {
	start := strings.Index(text, timeKey+"=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Process: source}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		l.Process = words[len(words)-1]
	}
	for _, f := range parseFields(text[start:]) {
		switch f.Key {
		case timeKey:
			at, err := time.Parse(time.RFC3339Nano, f.Value)
			if err != nil {
				return Line{}, false
			}
			l.At = at
		case opKey:
			l.Op = f.Value
		case levelKey:
		default:
			l.Fields = append(l.Fields, f)
		}
	}
	return l, l.Op != "" && !l.At.IsZero()
}

// parseFields parses pairs of the form key=value, where the value may be quoted.
func parseFields(pairs string) []Field {
	var all []Field
	for pairs = strings.TrimSpace(pairs); pairs != ""; pairs = strings.TrimSpace(pairs) {
		key, rest, ok := strings.Cut(pairs, "=")
		if !ok {
			return all
		}
		value, after := cutValue(rest)
		all = append(all, Field{Key: key, Value: value})
		pairs = after
	}
	return all
}

func cutValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	var b strings.Builder
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '\\' && i+1 < len(text):
			i++
			b.WriteByte(text[i])
		case text[i] == '"':
			return b.String(), text[i+1:]
		default:
			b.WriteByte(text[i])
		}
	}
	return b.String(), ""
}

// History is the history of one flow.
type History struct {
	Flow string
	// Lines holds the lines about the flow, ordered by time.
	Lines []Line
	// States holds, for each process that decided on the flow, the lines about its state at its last decision, ordered
	// by process and time.
	States []Line `json:"Beliefs"`
}

// Collector collects the lines about the matching flows, and those about the state of the processes that decided on them.
type Collector struct {
	// Match reports whether the lines about a flow are collected.
	Match func(flow string) bool
	lines []Line
	// latest holds the latest line of each process and state operation, and relevant those that were the latest at the
	// process's last decision on a matching flow.
	latest   map[stateKey]Line
	relevant map[stateKey]Line
	// deciders holds the processes that decided on a matching flow.
	deciders map[string]bool
}

type stateKey struct{ process, op string }

// NewCollector returns a Collector for the flows that match.
func NewCollector(match func(flow string) bool) *Collector {
	return &Collector{Match: match, latest: map[stateKey]Line{}, relevant: map[stateKey]Line{}, deciders: map[string]bool{}}
}

// Read reads a log in which the lines of each process are in order of time.
func (c *Collector) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLine/16), maxLine)
	for scanner.Scan() {
		if l, ok := Parse(source, scanner.Text()); ok {
			c.add(l)
		}
	}
	return errors.Annotatef(scanner.Err(), "reading %s", source)
}

func (c *Collector) add(l Line) {
	if l.Op == opStart {
		// The process has restarted and lost its state.
		maps.DeleteFunc(c.latest, func(key stateKey, _ Line) bool { return key.process == l.Process })
	}
	if stateOps[l.Op] {
		c.latest[stateKey{l.Process, l.Op}] = l
		return
	}
	flow := l.Get(flowKey)
	if flow == "" || !c.Match(flow) {
		return
	}
	c.lines = append(c.lines, l)
	c.deciders[l.Process] = true
	for key, state := range c.latest {
		if key.process == l.Process {
			c.relevant[key] = state
		}
	}
}

// Flows returns the matching flows with the number of lines about each.
func (c *Collector) Flows() map[string]int {
	flows := map[string]int{}
	for i := range c.lines {
		flows[c.lines[i].Get(flowKey)]++
	}
	return flows
}

// History returns the history of the flow, provided that only one flow matches.
func (c *Collector) History() History {
	h := History{Lines: slices.Clone(c.lines)}
	for _, state := range c.relevant {
		h.States = append(h.States, state)
	}
	slices.SortStableFunc(h.Lines, byTime)
	slices.SortStableFunc(h.States, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Process, b.Process), byTime(a, b), cmp.Compare(a.Op, b.Op))
	})
	if len(h.Lines) > 0 {
		h.Flow = h.Lines[0].Get(flowKey)
	}
	return h
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }
