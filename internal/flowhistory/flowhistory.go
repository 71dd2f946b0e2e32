// Package flowhistory tells from the logs of all processes what became of one opaque flow.
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
	// At is when the process wrote the line, by the clock of its VM, which may differ from those of others.
	At time.Time
	// Process names the process: what stands before the line, or else the source that it was read from.
	Process string
	Op      string
	// Fields holds the other pairs, in order.
	Fields []Field
}

// Field is one key with its value.
type Field struct {
	Key, Value string
}

// Get returns the value of a key, or an empty string.
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
	// maxLine bounds one line, in bytes.
	maxLine = 1 << 20
)

// beliefs are the operations that change what a process goes by. The last of each before the end of a flow belongs
// to its story.
var beliefs = map[string]bool{
	opStart: true, "stopping": true, "reload": true, "resumed": true,
	"view_in_force": true, "routes_in_force": true,
	"store_lost": true, "store_regained": true, "store_history_lost": true,
	"accepting": true, "suspect": true, "server_down": true, "server_silent": true,
	"agent_leaving": true, "agent_doubtful": true,
}

// Parse reads one line of a log, which may be preceded by the name of its process. It returns false for lines that
// are none.
func Parse(source, text string) (Line, bool) {
	start := strings.Index(text, timeKey+"=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Process: source}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		l.Process = words[len(words)-1]
	}
	for _, f := range fields(text[start:]) {
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

// fields splits pairs of keys and values, which may be quoted.
func fields(text string) []Field {
	var all []Field
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimSpace(text) {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			return all
		}
		value, after := cutValue(rest)
		all = append(all, Field{Key: key, Value: value})
		text = after
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

// History is what became of one flow.
type History struct {
	Flow string
	// Lines are those of the flow, by time.
	Lines []Line
	// States holds for each process that decided about the flow what it went by, by time.
	States []Line
}

// Collector gathers the lines of one flow, and what the processes went by.
type Collector struct {
	// Match says whether the value of a line's flow belongs to the story.
	Match func(flow string) bool
	lines []Line
	// latest holds the latest line of each belief, by process and operation.
	latest map[beliefKey]Line
	kept   map[beliefKey]Line
	// touched holds the processes that decided about the flow.
	touched map[string]bool
}

type beliefKey struct{ process, op string }

// NewCollector returns a collector of the flows that match.
func NewCollector(match func(flow string) bool) *Collector {
	return &Collector{Match: match, latest: map[beliefKey]Line{}, kept: map[beliefKey]Line{}, touched: map[string]bool{}}
}

// Read takes in a log, whose lines are in the order of time for each process.
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
		// A new run remembers nothing.
		maps.DeleteFunc(c.latest, func(key beliefKey, _ Line) bool { return key.process == l.Process })
	}
	if beliefs[l.Op] {
		c.latest[beliefKey{l.Process, l.Op}] = l
		return
	}
	flow := l.Get(flowKey)
	if flow == "" || !c.Match(flow) {
		return
	}
	c.lines = append(c.lines, l)
	c.touched[l.Process] = true
	for key, belief := range c.latest {
		if key.process == l.Process {
			c.kept[key] = belief
		}
	}
}

// Flows returns the flows that matched, with the number of their lines.
func (c *Collector) Flows() map[string]int {
	flows := map[string]int{}
	for i := range c.lines {
		flows[c.lines[i].Get(flowKey)]++
	}
	return flows
}

// History returns what became of the flow that matched.
func (c *Collector) History() History {
	s := History{Lines: slices.Clone(c.lines)}
	for _, belief := range c.kept {
		s.States = append(s.States, belief)
	}
	slices.SortStableFunc(s.Lines, byTime)
	slices.SortStableFunc(s.States, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Process, b.Process), byTime(a, b), cmp.Compare(a.Op, b.Op))
	})
	if len(s.Lines) > 0 {
		s.Flow = s.Lines[0].Get(flowKey)
	}
	return s
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }
