// Package statechart reads state charts from files and runs them.
//
// A chart lists its states and events and says, for each event in each state, whether it is a
// transition, ignored or rejected. Load checks that no combination is missing and reports every finding
// with its location. The charts of the daemons are embedded; see Builtin.
package statechart

import (
	"embed"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
)

// Event is an event that a machine handles.
type Event string

// State is a state of a chart.
type State string

// Names of the embedded charts.
const (
	Process  = "process"
	Upstream = "upstream"
	Link     = "link"
	Ticket   = "ticket"
	Adoption = "adoption"
)

const (
	chartDir = "charts"
	chartExt = ".yaml"
)

//go:embed charts/*.yaml
var builtin embed.FS

// Chart is a chart that has passed all checks.
type Chart struct {
	name    string
	initial State
	events  []Event
	states  map[State]*node
}

// node defines the effect of each event in one state.
type node struct {
	On     map[Event]State `yaml:"on"`
	Ignore []Event         `yaml:"ignore"`
	Reject []Event         `yaml:"reject"`
	Final  bool            `yaml:"final"`
}

type rawChart struct {
	Name    string          `yaml:"name"`
	Initial State           `yaml:"initial"`
	Events  []Event         `yaml:"events"`
	States  map[State]*node `yaml:"states"`
}

// Finding is one fault in a chart.
type Finding struct {
	// Path is the location in the file, with dots between the levels.
	Path   string
	Reason string
}

// FindingsError reports all faults of one chart.
type FindingsError struct {
	File     string
	Findings []Finding
}

// Error lists the findings, one per line.
func (e *FindingsError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", e.File, f.Path, f.Reason))
	}
	return strings.Join(lines, "\n")
}

// Builtin returns the embedded chart with the given name.
func Builtin(name string) (*Chart, error) {
	charts, err := fs.Sub(builtin, chartDir)
	if err != nil {
		return nil, err
	}
	return Load(charts, name)
}

// Load reads and checks the chart in the file NAME.yaml of fsys. It returns a *FindingsError for a
// chart with faults.
func Load(fsys fs.FS, name string) (*Chart, error) {
	file := name + chartExt
	data, err := fs.ReadFile(fsys, file)
	if err != nil {
		return nil, err
	}
	raw, err := decode(data)
	if err != nil {
		return nil, &FindingsError{File: file, Findings: []Finding{{Path: "$", Reason: err.Error()}}}
	}
	if findings := check(name, raw); len(findings) > 0 {
		return nil, &FindingsError{File: file, Findings: findings}
	}
	return &Chart{name: raw.Name, initial: raw.Initial, events: raw.Events, states: raw.States}, nil
}

// decode parses the YAML text of a chart. It turns panics into errors, since the library panics on some
// malformed texts, such as a map with an unknown tag in place of a list.
func decode(data []byte) (raw *rawChart, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("malformed YAML: %v", r)
		}
	}()
	raw = &rawChart{}
	err = yaml.UnmarshalWithOptions(data, raw, yaml.Strict())
	return raw, err
}

// Name returns the name of the chart.
func (c *Chart) Name() string {
	return c.name
}

// Events returns the events in the order in which the file lists them.
func (c *Chart) Events() []Event {
	return slices.Clone(c.events)
}

// States returns the states, sorted.
func (c *Chart) States() []State {
	return sortedKeys(c.states)
}
