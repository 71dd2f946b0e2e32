package placement_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
)

const livenessStep = 100 * time.Millisecond

// agentFleet simulates the agents behind a Liveness and answers its probes.
type agentFleet struct {
	liveness *placement.Liveness
	progress []placement.Progress
	// answers reports whether an agent answers at the given time.
	answers func(server uint32, now time.Duration) bool
	probes  int
}

func newAgentFleet(n uint32, answers func(server uint32, now time.Duration) bool) *agentFleet {
	f := &agentFleet{liveness: placement.NewLiveness(placement.DefaultLivenessConfig(), 0), answers: answers}
	for server := uint32(1); server <= n; server++ {
		f.progress = append(f.progress, placement.Progress{Server: server})
	}
	return f
}

func (f *agentFleet) run(from, to time.Duration, check func(now time.Duration)) {
	for now := from; now < to; now += livenessStep {
		for _, server := range f.liveness.Step(now, f.progress) {
			f.probes++
			f.progress[server-1].Forwarded++
			if f.answers(server, now) {
				f.progress[server-1].Returned++
			}
		}
		check(now)
	}
}

func TestLivenessFindsDeadAgent(t *testing.T) {
	const death = 5 * time.Second
	f := newAgentFleet(7, func(server uint32, now time.Duration) bool { return server != 3 || now < death })
	var silent, gone time.Duration
	f.run(0, 30*time.Second, func(now time.Duration) {
		switch f.liveness.Health(3) {
		case placement.HealthSilent:
			silent = max(silent, now)
		case placement.HealthGone:
			gone = max(gone, now)
		case placement.HealthLive:
			silent, gone = 0, 0
			if now > death+4*time.Second {
				t.Fatalf("dead agent still counts as live after %v", now-death)
			}
		}
		for _, server := range []uint32{1, 2, 4, 5, 6, 7} {
			if f.liveness.Health(server) != placement.HealthLive {
				t.Fatalf("live agent %d does not count as live at %v", server, now)
			}
		}
	})
	if gone == 0 {
		t.Fatal("the dead agent never counts as gone")
	}
}

func TestLivenessWithTrafficFindsDeadAgentInTwoSeconds(t *testing.T) {
	f := newAgentFleet(3, func(server uint32, _ time.Duration) bool { return server != 3 })
	f.run(0, 2*time.Second+3*livenessStep, func(time.Duration) { f.progress[2].Forwarded++ })
	if f.liveness.Health(3) != placement.HealthSilent {
		t.Fatal("an agent that has not answered for more than 2 s does not count as silent")
	}
}

func TestLivenessTreatsRefusalAsDeath(t *testing.T) {
	const death = 5 * time.Second
	f := newAgentFleet(3, func(server uint32, now time.Duration) bool { return server != 3 || now < death || now > 2*death })
	f.run(0, death, func(time.Duration) {})
	if f.liveness.RecordRefusal(3) {
		t.Fatal("a live agent whose address refuses connections counts as gone")
	}
	f.run(death, death+4*time.Second, func(time.Duration) {})
	if !f.liveness.RecordRefusal(3) || f.liveness.Health(3) != placement.HealthGone || !f.liveness.Refused(3) {
		t.Fatal("a silent agent whose address refuses connections does not count as gone")
	}
	f.run(2*death+time.Second, 4*death, func(time.Duration) {})
	if f.liveness.Health(3) != placement.HealthLive || f.liveness.Refused(3) {
		t.Fatal("agent does not count as live after it answers again")
	}
}

// An agent is paused for 10 s. Its flows must not be reset, and it gets new flows once it resumes.
func TestLivenessKeepsFlowsOfPausedAgent(t *testing.T) {
	const pause, resume = 5 * time.Second, 15 * time.Second
	f := newAgentFleet(7, func(server uint32, now time.Duration) bool { return server != 3 || now < pause || now >= resume })
	f.run(0, 20*time.Second, func(now time.Duration) {
		if f.liveness.Health(3) == placement.HealthGone {
			t.Fatalf("paused agent counts as gone at %v", now)
		}
	})
	if f.liveness.Health(3) != placement.HealthLive {
		t.Fatal("agent does not count as live after it resumed")
	}
}

func TestLivenessSlowAgentIsNotDead(t *testing.T) {
	const delay = 1500 * time.Millisecond
	f := newAgentFleet(3, func(uint32, time.Duration) bool { return false })
	var due []time.Duration
	f.run(0, 30*time.Second, func(now time.Duration) {
		f.progress[0].Returned++
		f.progress[1].Returned++
		due = append(due, now+delay)
		for len(due) > 0 && due[0] <= now {
			f.progress[2].Returned++
			due = due[1:]
		}
		if f.liveness.Health(3) != placement.HealthLive {
			t.Fatalf("agent 3 does not count as live at %v", now)
		}
	})
}

func TestLivenessOfCutOffBalancerMarksNoneSilent(t *testing.T) {
	const cutAt, healedAt = 5 * time.Second, 60 * time.Second
	f := newAgentFleet(7, func(_ uint32, now time.Duration) bool { return now < cutAt || now >= healedAt })
	f.run(0, 70*time.Second, func(now time.Duration) {
		for server := uint32(1); server <= 7; server++ {
			if f.liveness.Health(server) != placement.HealthLive {
				t.Fatalf("live agent %d does not count as live at %v", server, now)
			}
		}
		if now == 30*time.Second && !f.liveness.CutOff() {
			t.Fatal("the balancer does not detect that it is cut off")
		}
	})
	if f.liveness.CutOff() {
		t.Fatal("the balancer still counts as cut off after the network recovered")
	}
}

func TestLivenessAfterPauseOfBalancerMarksNoneSilent(t *testing.T) {
	f := newAgentFleet(7, func(uint32, time.Duration) bool { return true })
	check := func(now time.Duration) {
		for server := uint32(1); server <= 7; server++ {
			if f.liveness.Health(server) != placement.HealthLive {
				t.Fatalf("live agent %d does not count as live at %v", server, now)
			}
		}
	}
	f.run(0, 5*time.Second, check)
	f.progress[2].Forwarded++
	f.run(5*time.Second, 5*time.Second+livenessStep, check)
	f.run(60*time.Second, 65*time.Second, check)
}

// A balancer in front of a whole region forwards to every agent, and a third of the answers return through
// other balancers. One agent dies, and its peers report this in the packets that they return.
func TestLivenessOfLargeFleetStaysWithinProbeLimit(t *testing.T) {
	const (
		agents     = 2000
		dead       = 3
		death      = 5 * time.Second
		end        = 15 * time.Second
		perStep    = agents / 10
		detection  = 3 * time.Second
		probeLimit = 50
	)
	rnd := rand.New(rand.NewSource(1))
	f := newAgentFleet(agents, func(server uint32, now time.Duration) bool { return server != dead || now < death })
	var silentAt time.Duration
	f.run(0, end, func(now time.Duration) {
		for range perStep {
			server := uint32(rnd.Intn(agents)) + 1
			f.progress[server-1].Forwarded++
			if rnd.Intn(3) > 0 && (server != dead || now < death) {
				f.progress[server-1].Returned++
			}
		}
		if now > death+2*time.Second {
			f.progress[dead-1].ReportedSilent = now
		}
		if silentAt == 0 && f.liveness.Health(dead) == placement.HealthSilent {
			silentAt = now
		}
		for server := uint32(1); server <= agents; server++ {
			if server != dead && f.liveness.Health(server) != placement.HealthLive {
				t.Fatalf("live agent %d does not count as live at %v", server, now)
			}
		}
	})
	if silentAt == 0 || silentAt > death+detection {
		t.Errorf("the agent that died at 5 s counts as silent from %v, want within 3 s", silentAt)
	}
	if rate := f.probes / int(end/time.Second); rate > probeLimit {
		t.Errorf("%d probes per second, want at most 50", rate)
	}
}

// A peer's report that an agent is silent has no effect while the balancer hears from the agent itself.
func TestLivenessPrefersOwnEvidenceToReports(t *testing.T) {
	f := newAgentFleet(3, func(uint32, time.Duration) bool { return true })
	f.run(0, 20*time.Second, func(now time.Duration) {
		f.progress[2].Forwarded++
		f.progress[2].ReportedSilent = now
		if f.liveness.Health(3) != placement.HealthLive {
			t.Fatalf("agent 3 does not count as live at %v", now)
		}
	})
}

// BenchmarkLivenessStep measures a step of a balancer that forwards to a tenth of its agents in each step.
func BenchmarkLivenessStep(b *testing.B) {
	for _, agents := range []uint32{1000, 2000, 4000, 8000, 16000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newAgentFleet(agents, func(uint32, time.Duration) bool { return true })
			now := time.Duration(0)
			for b.Loop() {
				for i := range agents / 10 {
					p := &f.progress[(uint32(now/livenessStep)*agents/10+i)%agents]
					p.Forwarded++
					if i%3 > 0 {
						p.Returned++
					}
				}
				f.run(now, now+livenessStep, func(time.Duration) {})
				now += livenessStep
			}
		})
	}
}
