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

// An agent sends a reply every 10 ms to a caller that sends nothing, so that only probes reveal that
// balancer 0 dies at 5 s. The agent must stop using it within 500 ms.
func TestReplyPathDropsDeadBalancer(t *testing.T) {
	const (
		step       = 10 * time.Millisecond
		death      = 5 * time.Second
		end        = 20 * time.Second
		detectedBy = death + 500*time.Millisecond
		roundTrip  = step
	)
	rnd := rand.New(rand.NewSource(1))
	path := placement.NewReplyPath(placement.DefaultReplyPathConfig())
	for _, b := range balancers {
		path.RecordDatagram(0, b)
	}
	used := map[netip.AddrPort]int{}
	lost := 0
	for now := time.Duration(0); now < end; now += step {
		for _, b := range path.Probes(now) {
			if b != balancers[0] || now < death {
				path.RecordDatagram(now+roundTrip, b)
			}
		}
		picked, ok := path.Pick(now, rnd)
		if !ok {
			t.Fatal("no balancer picked")
		}
		used[picked]++
		if picked != balancers[0] || now < death {
			continue
		}
		if now > detectedBy {
			t.Fatalf("picked the dead balancer %v after its death", now-death)
		}
		lost++
	}
	t.Logf("%d replies lost, replies per balancer %v", lost, used)
	for _, b := range balancers[1:] {
		if used[b] < 500 {
			t.Fatalf("replies do not alternate between the live balancers: %v", used)
		}
	}
}

func TestReplyPathReusesRecoveredBalancer(t *testing.T) {
	path := placement.NewReplyPath(placement.DefaultReplyPathConfig())
	rnd := rand.New(rand.NewSource(1))
	path.RecordDatagram(0, balancers[0])
	path.RecordDatagram(time.Minute, balancers[1])
	path.RecordDatagram(time.Minute, balancers[0])
	used := map[netip.AddrPort]bool{}
	for range 100 {
		picked, _ := path.Pick(time.Minute, rnd)
		used[picked] = true
	}
	if len(used) != 2 {
		t.Fatalf("picked only %v, want both balancers", used)
	}
}

func TestReplyPathKeepsOnlyBalancer(t *testing.T) {
	path := placement.NewReplyPath(placement.DefaultReplyPathConfig())
	rnd := rand.New(rand.NewSource(1))
	if _, ok := path.Pick(0, rnd); ok {
		t.Fatal("picked a balancer although none was heard from")
	}
	path.RecordDatagram(0, balancers[0])
	for now := time.Duration(0); now < time.Hour; now += time.Second {
		path.Probes(now)
		if picked, ok := path.Pick(now, rnd); !ok || picked != balancers[0] {
			t.Fatalf("at %v picked %v, %v, want the only balancer", now, picked, ok)
		}
	}
}
