package placement_test

import (
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
)

var balancers = []netip.AddrPort{
	netip.MustParseAddrPort("127.0.0.1:1"),
	netip.MustParseAddrPort("127.0.0.1:2"),
	netip.MustParseAddrPort("127.0.0.1:3"),
}

// A caller that only receives: replies every 10 ms, and a packet of the caller through a random
// balancer every second. Balancer 0 dies at 5 s.
func TestReplyPathDropsDeadBalancer(t *testing.T) {
	const (
		step      = 10 * time.Millisecond
		death     = 5 * time.Second
		end       = 20 * time.Second
		lostAt    = death + 500*time.Millisecond
		roundTrip = step
	)
	rnd := rand.New(rand.NewSource(1))
	path := placement.NewReplyPath(placement.DefaultReplyPathConfig())
	for _, b := range balancers {
		path.Heard(0, b)
	}
	used := map[netip.AddrPort]int{}
	lost := 0
	for now := time.Duration(0); now < end; now += step {
		for _, b := range path.Probes(now) {
			if b != balancers[0] || now < death {
				path.Heard(now+roundTrip, b)
			}
		}
		picked, ok := path.Pick(now, rnd)
		if !ok {
			t.Fatal("no balancer")
		}
		used[picked]++
		if picked != balancers[0] || now < death {
			continue
		}
		if now > lostAt {
			t.Fatalf("picked a dead balancer %v after its death", now-death)
		}
		lost++
	}
	t.Logf("%d replies lost, use %v", lost, used)
	for _, b := range balancers[1:] {
		if used[b] < 500 {
			t.Fatalf("no alternation: %v", used)
		}
	}
}

func TestReplyPathTakesBackRevivedBalancer(t *testing.T) {
	path := placement.NewReplyPath(placement.DefaultReplyPathConfig())
	rnd := rand.New(rand.NewSource(1))
	path.Heard(0, balancers[0])
	path.Heard(time.Minute, balancers[1])
	path.Heard(time.Minute, balancers[0])
	used := map[netip.AddrPort]bool{}
	for range 100 {
		picked, _ := path.Pick(time.Minute, rnd)
		used[picked] = true
	}
	if len(used) != 2 {
		t.Fatalf("used %v", used)
	}
}

func TestReplyPathKeepsOnlyBalancer(t *testing.T) {
	path := placement.NewReplyPath(placement.DefaultReplyPathConfig())
	rnd := rand.New(rand.NewSource(1))
	if _, ok := path.Pick(0, rnd); ok {
		t.Fatal("picked a balancer that was never heard")
	}
	path.Heard(0, balancers[0])
	for now := time.Duration(0); now < time.Hour; now += time.Second {
		path.Probes(now)
		if picked, ok := path.Pick(now, rnd); !ok || picked != balancers[0] {
			t.Fatalf("at %v picked %v, %v", now, picked, ok)
		}
	}
}
