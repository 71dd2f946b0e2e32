package flow_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
)

// TestSilentBalancerIsFoundByTheAgents covers a balancer that restarts with all its seeds while the store is
// unavailable. It must hear from some agent soon, and not from all agents of a large fleet at once.
func TestSilentBalancerIsFoundByTheAgents(t *testing.T) {
	const tick = 50 * time.Millisecond
	for _, agents := range []int{1, 10, 200, 5000} {
		rnd := rand.New(rand.NewSource(int64(agents)))
		fleet := make([]*flow.Balancers, agents)
		for i := range fleet {
			fleet[i] = flow.NewBalancers(flow.DefaultBalancersConfig(), rnd)
		}
		now := start
		for range 10 {
			for _, b := range fleet {
				b.Heard(now, balancerIP)
			}
			now += 300 * time.Millisecond
		}
		announced, first := 0, time.Duration(0)
		stopped := now - 300*time.Millisecond
		for ; now < stopped+10*time.Second; now += tick {
			for _, b := range fleet {
				announced += len(b.ToAnnounce(now, tick, agents))
			}
			if announced > 0 && first == 0 {
				first = now - stopped
			}
		}
		if first > 900*time.Millisecond {
			t.Errorf("%d agents: the first announcement came %v after the last heartbeat", agents, first)
		}
		if announced > 300 {
			t.Errorf("%d agents: %d announcements in 10 s, want about 200", agents, announced)
		}
	}
}

func TestOnlySilentBalancersGetAnnouncements(t *testing.T) {
	b := flow.NewBalancers(flow.DefaultBalancersConfig(), rand.New(rand.NewSource(1)))
	remote := flow.IP{10, 9, 0, 2}
	now := start
	for range 100 {
		b.Heard(now, balancerIP)
		if now%time.Second == 0 {
			b.Heard(now, remote)
		}
		now += 250 * time.Millisecond
		if got := b.ToAnnounce(now, time.Second, 1); len(got) > 0 {
			t.Fatalf("announced to %v, whose heartbeats arrive", got)
		}
	}
	now += 10 * time.Second
	if got := b.ToAnnounce(now, time.Second, 1); len(got) != 2 {
		t.Fatalf("announced to %v, want both silent balancers", got)
	}
	if got := b.Active(now); len(got) != 0 {
		t.Fatalf("%v count as active", got)
	}
	now += time.Minute
	b.Expire(now)
	if got := b.ToAnnounce(now, time.Second, 1); len(got) != 0 {
		t.Fatalf("announced to %v a minute later", got)
	}
}
