package flow_test

import (
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
)

// shares sends new flows and returns the share of each agent, by the last byte of its address. Reported holds the agents
// that send their status before each flow.
func shares(d *flow.Director, now time.Duration, reported ...flow.AgentStatus) map[byte]float64 {
	const flows = 2000
	taken := map[byte]float64{}
	for n := range flows {
		receive(d, now, reported...)
		taken[d.FromClient(now, opening(n), nil).To[3]] += 1.0 / flows
	}
	return taken
}

// working returns the status of an agent whose server is expected to keep the given number of its 4 slots busy.
func working(n int, work, speed float64) flow.AgentStatus {
	status := statusOf(n, 0, 10)
	status.Work, status.Speed = work, speed
	return status
}

// TestSlowServersGetLessWork covers equal work at servers of different speed. The slower one has the higher load.
func TestSlowServersGetLessWork(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	if got := shares(d, start, working(1, 1, 0.5), working(3, 1, 1)); got[1] > 0.01 {
		t.Errorf("server of half the speed got %.3f of the flows", got[1])
	}
}

// TestStatusOfEarlierRunIsIgnored lets reports of an earlier run of the agent and of the server arrive late.
func TestStatusOfEarlierRunIsIgnored(t *testing.T) {
	servers := manyUpstreams(4)
	d := newDirector(servers[0], servers[2])
	old, other := working(1, 0, 0.1), working(3, 1, 0)
	old.View.Changed, other.View.Changed = 5, 5
	old.Work = 1
	restarted := working(1, 0.1, 0)
	restarted.Process, restarted.View.Changed = 2, 5
	receive(d, start, old)
	if got := shares(d, start, restarted, old, other); got[1] < 0.99 {
		t.Errorf("server got %.3f of the flows after a late status of the agent's earlier run", got[1])
	}
	// The server restarts. Until the agent knows the new run, its reports describe the earlier one.
	servers[0].Incarnation++
	d.SetView(start+time.Second, viewAt(start+time.Second, 6, servers[0], servers[2]))
	restarted.Speed, restarted.Work = 0.1, 1
	if got := shares(d, start+time.Second, restarted, other); got[1] < 0.3 {
		t.Errorf("server got %.3f of the flows after a late status of its earlier run", got[1])
	}
	restarted.View.Changed = 6
	if got := shares(d, start+time.Second, restarted, other); got[1] > 0.01 {
		t.Errorf("slow server got %.3f of the flows after a status of its present run", got[1])
	}
}

// TestChoiceAmongSilentAgentsIsRandom cuts a balancer off from half of the agents, whose last reports differ widely. The
// old figures must neither attract nor repel flows, and new figures still count.
func TestChoiceAmongSilentAgentsIsRandom(t *testing.T) {
	config := flow.DefaultDirectorConfig("here")
	config.UnresponsiveAfter = time.Hour
	d := flow.NewDirector(config, start)
	d.SetView(start, viewAt(start, 5, upstreamOf(1, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "orders"), upstreamOf(7, "orders")))
	receive(d, start, working(1, 0.2, 1), working(3, 3, 1))
	got := shares(d, start+30*time.Second, working(5, 2, 1), working(7, 2, 1))
	for n, share := range got {
		if share < 0.1 || share > 0.4 {
			t.Errorf("agent %d got %.3f of the flows, want about a quarter", n, share)
		}
	}
	if len(got) != 4 {
		t.Errorf("got flows at %v", got)
	}
}

// TestNoBurstAtServerThatSeemsIdle covers a balancer without new reports whose last one shows an idle server. Its own
// flows must count, so that the server does not get all of them.
func TestNoBurstAtServerThatSeemsIdle(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "orders"))
	receive(d, start, working(1, 0.01, 1), working(3, 2, 1), working(5, 2, 1))
	if got := shares(d, start+20*time.Millisecond); got[1] > 0.5 {
		t.Errorf("server that seems idle got %.3f of the flows", got[1])
	}
}

// TestChoiceIsReproducible guards against decisions that differ for the same flow and the same reports.
func TestChoiceIsReproducible(t *testing.T) {
	for n := range 100 {
		var first flow.IP
		for i := range 3 {
			d := newDirector(manyUpstreams(20)...)
			receive(d, start, working(1, 1, 1), working(3, 1, 1), working(5, 1, 0.5))
			if got := d.FromClient(start+time.Second, opening(n), nil).To; i == 0 {
				first = got
			} else if got != first {
				t.Fatalf("flow %d was sent to %v and to %v", n, first, got)
			}
		}
	}
}

// BenchmarkChoice places flows among 50 servers that have all reported.
func BenchmarkChoice(b *testing.B) {
	d := newDirector(manyUpstreams(50)...)
	for n := range 50 {
		receive(d, start, statusOf(n+1, 1, uint32(n%7)))
	}
	p, raw := opening(1), make([]byte, 32)
	b.ReportAllocs()
	for b.Loop() {
		p.Key.Client.Port++
		d.FromClient(start+time.Second/2, p, raw)
		d.HandleReport(start, flow.Report{Key: p.Key})
	}
}
