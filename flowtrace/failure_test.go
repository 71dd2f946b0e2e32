package flowtrace_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyrack/bramleyrack/flowtrace"
)

// fail draws one failure. Failures may overlap with each other and with planned changes.
func (p *planner) fail(at time.Duration) {
	e := flowtrace.Event{At: at, Service: 1}
	switch rapid.IntRange(0, 2).Draw(p.t, "failure") {
	case 0:
		if len(p.staying) < 3 {
			return
		}
		e.Kind, e.Server = flowtrace.Kill, p.staying[0]
		p.staying = p.staying[1:]
	case 1:
		server := p.staying[len(p.staying)-1]
		if p.frozen[server] {
			// Two pauses in a row may last longer than flows are to survive.
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

// TestFailuresResetNoLivingFlow replays random failures and planned changes. Flows may end with their
// upstream, or in silence on the wrong side of a partition, but none may be reset while it lives.
func TestFailuresResetNoLivingFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlanner(t)
		for at := 12 * time.Second; at < p.trace.End; {
			if rapid.Bool().Draw(t, "planned") {
				p.change(at)
			} else {
				p.fail(at)
			}
			at += time.Duration(rapid.IntRange(1, 15).Draw(t, "pause")) * time.Second
		}
		result := flowtrace.Replay(p.trace)
		if result.Broken > 0 || result.OtherService > 0 {
			t.Fatalf("%d flows reset, %d packets at another service in\n%s", result.Broken, result.OtherService, p)
		}
	})
}
