package statechart

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand"
	"strings"
	"testing"
	"testing/fstest"
)

func builtinNames(t *testing.T) []string {
	t.Helper()
	entries, err := fs.ReadDir(builtin, chartDir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), chartExt))
	}
	return names
}

// TestBuiltinCharts fires random events at each chart until every state has seen every event, which
// proves that all states are reached and every event is handled, ignored or rejected on purpose.
func TestBuiltinCharts(t *testing.T) {
	const fired = 20_000
	for _, name := range builtinNames(t) {
		chart, err := Builtin(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		rnd := rand.New(rand.NewSource(1))
		missing := pairs(chart)
		machine := chart.NewMachine()
		for range fired {
			state, event := machine.State(), chart.events[rnd.Intn(len(chart.events))]
			delete(missing, [2]string{string(state), string(event)})
			checkFire(t, chart, machine, event)
			if ended := chart.states[state].Final; ended || rnd.Intn(10) == 0 {
				machine = chart.NewMachine()
			}
		}
		for pair := range missing {
			if !chart.states[State(pair[0])].Final {
				t.Errorf("%s: event %s was never fired in state %s", name, pair[1], pair[0])
			}
		}
	}
}

func pairs(c *Chart) map[[2]string]bool {
	all := make(map[[2]string]bool)
	for _, state := range c.States() {
		for _, event := range c.Events() {
			all[[2]string{string(state), string(event)}] = true
		}
	}
	return all
}

func checkFire(t *testing.T, c *Chart, m *Machine, event Event) {
	t.Helper()
	from := m.State()
	err := m.Fire(event)
	want := from
	if target, ok := c.states[from].On[event]; ok {
		want = target
	}
	if m.State() != want {
		t.Errorf("%s: %s in %s went to %s, want %s", c.name, event, from, m.State(), want)
	}
	var rejected *RejectedError
	wantReject := false
	for _, e := range c.states[from].Reject {
		wantReject = wantReject || e == event
	}
	if errors.As(err, &rejected) != wantReject {
		t.Errorf("%s: %s in %s: got %v", c.name, event, from, err)
	}
}

func TestTicketRunsAtMostOnce(t *testing.T) {
	chart, err := Builtin(Ticket)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		machine, claims := chart.NewMachine(), 0
		machine.OnTransition(func(_ State, _ Event, to State) {
			if to == "claimed" {
				claims++
			}
		})
		for range 50 {
			_ = machine.Fire(chart.events[rnd.Intn(len(chart.events))])
		}
		if claims > 1 {
			t.Fatalf("seed %d: %d claims", seed, claims)
		}
	}
}

func TestEveryFindingIsReported(t *testing.T) {
	const bad = `
name: other
initial: nowhere
events: [go, go, stay]
states:
  a: {on: {go: b, fly: a}, ignore: [go]}
  b: {final: true, ignore: [stay]}
`
	_, err := Load(fstest.MapFS{"bad.yaml": {Data: []byte(bad)}}, "bad")
	var findings *FindingsError
	if !errors.As(err, &findings) {
		t.Fatalf("got %v", err)
	}
	for _, want := range []string{
		`bad.yaml: name: "other"`, `bad.yaml: initial: no state "nowhere"`, `events[1]: "go" is listed twice`,
		`states.a.on: no event "fly"`, `states.a: event "go" is named 2 times`, `states.a: event "stay" is neither`, `states.b: a final state`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing from:\n%v", want, err)
		}
	}
}

func TestUnreachableStateAndTargetAreFindings(t *testing.T) {
	const bad = "name: bad\ninitial: a\nevents: [go]\nstates:\n  a: {on: {go: c}}\n  b: {on: {go: a}}\n"
	_, err := Load(fstest.MapFS{"bad.yaml": {Data: []byte(bad)}}, "bad")
	if err == nil || !strings.Contains(err.Error(), `states.b: can't be reached`) || !strings.Contains(err.Error(), `states.a.on.go: no state "c"`) {
		t.Fatalf("got %v", err)
	}
}

func TestUnknownKeyIsAFindingWithItsPlace(t *testing.T) {
	_, err := Load(fstest.MapFS{"bad.yaml": {Data: []byte("name: bad\nstart: a\n")}}, "bad")
	if err == nil || !strings.Contains(err.Error(), "[2:1]") {
		t.Fatalf("got %v", err)
	}
}

func ExampleLoad() {
	const door = `
name: door
initial: closed
events: [open, close]
states:
  closed: {on: {open: opened}, ignore: [close]}
  opened: {on: {close: closed}, reject: [open]}
`
	chart, err := Load(fstest.MapFS{"door.yaml": {Data: []byte(door)}}, "door")
	if err != nil {
		fmt.Println(err)
		return
	}
	machine := chart.NewMachine()
	fmt.Println(machine.Fire("open"), machine.State())
	fmt.Println(machine.Fire("open"), machine.State())
	// Output:
	// <nil> opened
	// door chart: event "open" is rejected in state "opened" opened
}

func FuzzLoad(f *testing.F) {
	for _, name := range []string{Process, Upstream, Link, Ticket, Adoption} {
		data, err := fs.ReadFile(builtin, chartDir+"/"+name+chartExt)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("name: fuzz\ninitial: a\nevents: [go]\nstates:\n  a:\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		chart, err := Load(fstest.MapFS{"fuzz.yaml": {Data: data}}, "fuzz")
		if err != nil {
			return
		}
		machine := chart.NewMachine()
		for _, event := range chart.Events() {
			_ = machine.Fire(event)
			if chart.states[machine.State()] == nil {
				t.Fatalf("unknown state %q", machine.State())
			}
		}
	})
}
