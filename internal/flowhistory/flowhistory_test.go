package flowhistory_test

import (
	"strings"
	"testing"

	"github.com/bramleyrack/bramleyrack/internal/flowhistory"
)

// logs are those of three processes in one file, as collectors of logs write them.
const logs = `
   0.0000 edge-1 time=2026-01-06T05:50:56.000Z level=ERROR op=store_lost err="no answer"
   0.0000 edge-1 time=2026-01-06T05:50:57.000Z level=INFO op=start vm=edge-1
   0.1000 edge-1 time=2026-01-06T05:50:58.000Z level=INFO op=routes_in_force version=3 revision=9 upstreams=2 age=4ms
   0.1000 side-1 time=2026-01-06T05:50:58.100Z level=INFO op=accepting now=true version=3
   0.2000 side-2 time=2026-01-06T05:50:58.100Z level=INFO op=accepting now=true version=3
   0.9000 side-1 time=2026-01-06T05:50:59.003Z level=INFO op=flow_passed flow=100.64.0.1:1025>198.18.0.1:443 to=10.0.0.2 busy=5 slots=5 reason="no free slot"
   0.8000 edge-1 time=2026-01-06T05:50:59.001Z level=INFO op=flow_placed flow=100.64.0.1:1025>198.18.0.1:443 copy=0 agent=10.0.0.1 version=3 view_age=20ms reason=""
   0.8000 edge-1 time=2026-01-06T05:50:59.002Z level=INFO op=flow_placed flow=100.64.0.1:1026>198.18.0.1:443 copy=0 agent=10.0.0.1 version=3 view_age=21ms reason=""
   1.0000 side-2 time=2026-01-06T05:50:59.004Z level=INFO op=flow_reset flow=100.64.0.1:1025>198.18.0.1:443 seq=0 reason="no server can answer \"in time\"" version=3
   1.2000 side-2 time=2026-01-06T05:51:00.004Z level=INFO op=accepting now=false version=4
   1.2000 side-3 time=2026-01-06T05:51:00.004Z level=INFO op=accepting now=true version=4
no line of a log
`

func collect(t *testing.T, match func(string) bool) *flowhistory.Collector {
	t.Helper()
	c := flowhistory.NewCollector(match)
	if err := c.Read("all.log", strings.NewReader(logs)); err != nil {
		t.Fatal(err)
	}
	return c
}

func TestStoryOfOneFlow(t *testing.T) {
	const flow = "100.64.0.1:1025>198.18.0.1:443"
	s := collect(t, func(f string) bool { return f == flow }).History()
	var told []string
	for _, l := range s.Lines {
		told = append(told, l.Process+" "+l.Op)
	}
	if got, want := strings.Join(told, ", "), "edge-1 flow_placed, side-1 flow_passed, side-2 flow_reset"; got != want || s.Flow != flow {
		t.Errorf("%s: got %s, want %s", s.Flow, got, want)
	}
	if got := s.Lines[2].Get("reason"); got != `no server can answer "in time"` {
		t.Errorf("reason %q", got)
	}
	var beliefs []string
	for _, l := range s.States {
		beliefs = append(beliefs, l.Process+" "+l.Op+" "+l.Get("now"))
	}
	// What side-2 believed later, and what side-3 believed, had no part in it.
	if got, want := strings.Join(beliefs, ", "), "edge-1 start , edge-1 routes_in_force , side-1 accepting true, side-2 accepting true"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestFlowsOfAClient(t *testing.T) {
	flows := collect(t, func(f string) bool { return strings.HasPrefix(f, "100.64.0.1:") }).Flows()
	if len(flows) != 2 || flows["100.64.0.1:1025>198.18.0.1:443"] != 3 {
		t.Fatalf("got %v", flows)
	}
}
