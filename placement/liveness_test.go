package placement_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
)

const livenessStep = 100 * time.Millisecond

// agentFleet answers the probes of a Liveness as its agents would.
type agentFleet struct {
	liveness *placement.Liveness
	progress []placement.Progress
	// answers says whether an agent answers at a time.
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
				t.Fatalf("live %v after its death", now-death)
			}
		}
		for _, server := range []uint32{1, 2, 4, 5, 6, 7} {
			if f.liveness.Health(server) != placement.HealthLive {
				t.Fatalf("agent %d condemned at %v", server, now)
			}
		}
	})
	if gone == 0 {
		t.Fatal("never found to be gone")
	}
}

func TestLivenessWithTrafficFindsDeadAgentInTwoSeconds(t *testing.T) {
	f := newAgentFleet(3, func(server uint32, _ time.Duration) bool { return server != 3 })
	f.run(0, 2*time.Second+3*livenessStep, func(time.Duration) { f.progress[2].Forwarded++ })
	if f.liveness.Health(3) != placement.HealthSilent {
		t.Fatal("an agent without an answer for more than 2 s counts as live")
	}
}

func TestLivenessTakesRefusalForDeath(t *testing.T) {
	const death = 5 * time.Second
	f := newAgentFleet(3, func(server uint32, now time.Duration) bool { return server != 3 || now < death || now > 2*death })
	f.run(0, death, func(time.Duration) {})
	if f.liveness.RecordRefusal(3) {
		t.Fatal("a live agent counts as gone")
	}
	f.run(death, death+4*time.Second, func(time.Duration) {})
	if !f.liveness.RecordRefusal(3) || f.liveness.Health(3) != placement.HealthGone || !f.liveness.Refused(3) {
		t.Fatal("a silent agent that refuses connections does not count as gone")
	}
	f.run(2*death+time.Second, 4*death, func(time.Duration) {})
	if f.liveness.Health(3) != placement.HealthLive || f.liveness.Refused(3) {
		t.Fatal("not live after its return")
	}
}

// A frozen agent wakes after 10 s: its flows must not be reset, and it gets new flows again.
func TestLivenessKeepsFlowsOfFrozenAgent(t *testing.T) {
	const freeze, wake = 5 * time.Second, 15 * time.Second
	f := newAgentFleet(7, func(server uint32, now time.Duration) bool { return server != 3 || now < freeze || now >= wake })
	f.run(0, 20*time.Second, func(now time.Duration) {
		if f.liveness.Health(3) == placement.HealthGone {
			t.Fatalf("gone at %v", now)
		}
	})
	if f.liveness.Health(3) != placement.HealthLive {
		t.Fatal("not live after it woke")
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
			t.Fatalf("condemned at %v", now)
		}
	})
}

func TestLivenessOfCutOffBalancerCondemnsNone(t *testing.T) {
	const cut, heal = 5 * time.Second, 60 * time.Second
	f := newAgentFleet(7, func(_ uint32, now time.Duration) bool { return now < cut || now >= heal })
	f.run(0, 70*time.Second, func(now time.Duration) {
		for server := uint32(1); server <= 7; server++ {
			if f.liveness.Health(server) != placement.HealthLive {
				t.Fatalf("agent %d condemned at %v", server, now)
			}
		}
		if now == 30*time.Second && !f.liveness.CutOff() {
			t.Fatal("the balancer does not take itself for cut off")
		}
	})
	if f.liveness.CutOff() {
		t.Fatal("cut off after the network healed")
	}
}

func TestLivenessAfterPauseOfBalancerCondemnsNone(t *testing.T) {
	f := newAgentFleet(7, func(uint32, time.Duration) bool { return true })
	check := func(now time.Duration) {
		for server := uint32(1); server <= 7; server++ {
			if f.liveness.Health(server) != placement.HealthLive {
				t.Fatalf("agent %d condemned at %v", server, now)
			}
		}
	}
	f.run(0, 5*time.Second, check)
	f.progress[2].Forwarded++
	f.run(5*time.Second, 5*time.Second+livenessStep, check)
	f.run(60*time.Second, 65*time.Second, check)
}

// A balancer before a whole region forwards to every agent, and the answers of a third of them return
// through other balancers. One agent dies; its peers say so in what they return.
func TestLivenessOfALargeFleetStaysWithinItsProbes(t *testing.T) {
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
				t.Fatalf("agent %d condemned at %v", server, now)
			}
		}
	})
	if silentAt == 0 || silentAt > death+detection {
		t.Errorf("the dead agent is silent from %v", silentAt)
	}
	if rate := f.probes / int(end/time.Second); rate > probeLimit {
		t.Errorf("%d probes a second", rate)
	}
}

// A peer that misses an agent does not condemn it where the balancer hears it.
func TestLivenessTrustsItsOwnEvidenceOverReports(t *testing.T) {
	f := newAgentFleet(3, func(uint32, time.Duration) bool { return true })
	f.run(0, 20*time.Second, func(now time.Duration) {
		f.progress[2].Forwarded++
		f.progress[2].ReportedSilent = now
		if f.liveness.Health(3) != placement.HealthLive {
			t.Fatalf("condemned at %v", now)
		}
	})
}

// BenchmarkLivenessStep steps a balancer that forwards to a tenth of its agents in each step.
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
