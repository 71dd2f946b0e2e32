package flowtrace_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyrack/bramleyrack/flowtrace"
)

// addFailure adds a random failure, which may overlap with other failures and with planned changes.
func (p *traceGenerator) addFailure(at time.Duration) {
	e := flowtrace.Event{At: at, Service: 1}
	switch rapid.IntRange(0, 2).Draw(p.t, "failure") {
	case 0:
		if len(p.serving) < 3 {
			return
		}
		e.Kind, e.Server = flowtrace.Kill, p.serving[0]
		p.serving = p.serving[1:]
	case 1:
		server := p.serving[len(p.serving)-1]
		if p.frozen[server] {
			// Two freezes in a row may last longer than flows are required to survive.
			return
		}
		p.frozen[server] = true
		e.Kind, e.Server = flowtrace.Freeze, server
		e.For = time.Duration(rapid.IntRange(1, 10).Draw(p.t, "freeze")) * time.Second
	case 2:
		e.Kind, e.Places = flowtrace.Partition, []string{rapid.SampledFrom(places).Draw(p.t, "parted")}
		e.For = time.Duration(rapid.IntRange(1, 40).Draw(p.t, "partition")) * time.Second
	}
	p.add(e)
}

// TestFailuresResetNoFlowOfLiveUpstream replays random failures and planned changes. Flows may end with their
// upstream, or time out on the wrong side of a partition, but no flow of a live upstream may be reset.
func TestFailuresResetNoFlowOfLiveUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTraceGenerator(t)
		for at := 12 * time.Second; at < p.trace.End; {
			if rapid.Bool().Draw(t, "planned") {
				p.addChange(at)
			} else {
				p.addFailure(at)
			}
			at += time.Duration(rapid.IntRange(1, 15).Draw(t, "pause")) * time.Second
		}
		result := flowtrace.Replay(p.trace)
		if result.Broken > 0 || result.OtherService > 0 {
			t.Fatalf("%d flows of live upstreams reset, %d packets accepted by another service in trace\n%s", result.Broken, result.OtherService, p)
		}
	})
}
