package flowtrace_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyrack/bramleyrack/flowtrace"
)

// TestMain fixes the seed of the property tests, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var places = []string{"north", "centre", "south"}

// traceGenerator builds a random trace of one service and three balancers.
type traceGenerator struct {
	t          *rapid.T
	trace      *flowtrace.Trace
	serving    []uint32
	drained    []uint32
	frozen     map[uint32]bool
	lastNumber uint32
}

func newTraceGenerator(t *rapid.T) *traceGenerator {
	p := &traceGenerator{t: t, frozen: map[uint32]bool{}, trace: &flowtrace.Trace{
		Name:           "random",
		Seed:           int64(rapid.IntRange(1, 1<<30).Draw(t, "seed")),
		PacketInterval: 2 * time.Second,
		End:            90 * time.Second,
	}}
	service := flowtrace.Service{Number: 1}
	for range 5 {
		u := p.newUpstream()
		service.Upstreams = append(service.Upstreams, u)
		p.serving = append(p.serving, u.Number)
	}
	p.trace.Services = []flowtrace.Service{service}
	for _, place := range places {
		p.trace.Balancers = append(p.trace.Balancers, flowtrace.Balancer{Place: place})
	}
	p.add(flowtrace.Event{Kind: flowtrace.Open, Service: 1, Count: 400, Over: 10 * time.Second})
	p.add(flowtrace.Event{Kind: flowtrace.Open, Service: 1, Count: 800, Over: 80 * time.Second, Lifetime: 20 * time.Second})
	return p
}

func (p *traceGenerator) newUpstream() flowtrace.Upstream {
	p.lastNumber++
	return flowtrace.Upstream{
		Number: p.lastNumber,
		Place:  rapid.SampledFrom(places).Draw(p.t, "place"),
		Weight: float64(rapid.IntRange(1, 3).Draw(p.t, "weight")),
	}
}

func (p *traceGenerator) add(e flowtrace.Event) {
	p.trace.Events = append(p.trace.Events, e)
}

// addChange adds a random planned change.
func (p *traceGenerator) addChange(at time.Duration) {
	e := flowtrace.Event{At: at, Service: 1, Lag: rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second}).Draw(p.t, "lag")}
	switch rapid.IntRange(0, 3).Draw(p.t, "change") {
	case 0:
		e.Kind, e.Upstream = flowtrace.AddUpstream, p.newUpstream()
		p.serving = append(p.serving, e.Upstream.Number)
	case 1:
		if len(p.serving) < 3 {
			return
		}
		e.Kind, e.Server = flowtrace.Drain, p.serving[0]
		p.serving = p.serving[1:]
		p.drained = append(p.drained, e.Server)
	case 2:
		if len(p.drained) == 0 {
			return
		}
		e.Kind, e.Server = flowtrace.RemoveUpstream, p.drained[0]
		p.drained = p.drained[1:]
	case 3:
		e.Kind, e.Balancer = flowtrace.ReplaceBalancer, rapid.IntRange(0, len(places)-1).Draw(p.t, "balancer")
	}
	p.add(e)
}

// String returns the trace in YAML, so that a failing one can be saved as a trace file.
func (p *traceGenerator) String() string {
	var b strings.Builder
	if err := flowtrace.Write(&b, p.trace); err != nil {
		return err.Error()
	}
	return b.String()
}

// TestPlannedChangesBreakNoFlow replays random sequences of planned changes. No flow may break, time out or fail to
// open, and a leaving upstream must stop accepting flows within the largest lag.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTraceGenerator(t)
		for at := 12 * time.Second; at < p.trace.End; {
			p.addChange(at)
			at += time.Duration(rapid.IntRange(1, 15).Draw(t, "pause")) * time.Second
		}
		result := flowtrace.Replay(p.trace)
		expect := flowtrace.Expectation{LastAcceptAfterDrain: 3 * time.Second}
		if missed := expect.Check(result); len(missed) > 0 {
			t.Fatalf("%v in trace\n%s", missed, p)
		}
	})
}
