package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyrack/bramleyrack/placement"
)

// established is a time at which no acceptor that started at zero is settling or in slow start.
const established = time.Hour

func acceptor(server uint32) *placement.Acceptor {
	return placement.NewAcceptor(placement.DefaultAcceptorConfig(server), 0)
}

func load(flows, busy uint32) placement.Load {
	return placement.Load{Flows: flows, BusySlots: busy, Slots: 5, Weight: 1, Accepting: true}
}

func peer(server, flows, busy uint32, heard time.Duration) placement.PeerLoad {
	return placement.PeerLoad{Server: server, Load: load(flows, busy), LastHeard: heard}
}

// warmed returns an acceptor of server 1 that has known servers 2 to 4 since its start.
func warmed() *placement.Acceptor {
	a := acceptor(1)
	a.Decide(0, 0, load(0, 0), []placement.PeerLoad{peer(2, 0, 0, 0), peer(3, 0, 0, 0), peer(4, 0, 0, 0)}, nil, 0)
	return a
}

func ExampleAcceptor() {
	a := placement.NewAcceptor(placement.DefaultAcceptorConfig(1), 0)
	own := placement.Load{Flows: 120, Weight: 1, Accepting: true}
	light := placement.PeerLoad{Server: 2, Load: placement.Load{Flows: 80, Weight: 1, Accepting: true}, Age: time.Second}
	d := a.Decide(0, 42, own, []placement.PeerLoad{light}, []uint32{2}, 0)
	fmt.Println(d.Action == placement.ActionPass, d.Server)
	// Output: true 2
}

func TestDecide(t *testing.T) {
	now := established
	fresh := []placement.PeerLoad{peer(2, 100, 0, now), peer(3, 100, 0, now), peer(4, 100, 0, now)}
	leaving := load(10, 0)
	leaving.Accepting = false
	silent := []placement.PeerLoad{peer(2, 0, 0, now-3*time.Second)}
	tests := []struct {
		name       string
		own        placement.Load
		peers      []placement.PeerLoad
		candidates []uint32
		hops       int
		want       placement.Decision
	}{
		{"mean load", load(100, 0), fresh, []uint32{2, 3, 4}, 0, placement.Decision{Action: placement.ActionAccept}},
		{"above the bound", load(120, 0), fresh, []uint32{3, 2, 4}, 0, placement.Decision{Action: placement.ActionPass, Server: 3}},
		{"above the bound at the last hop", load(120, 0), fresh, []uint32{3}, 2, placement.Decision{Action: placement.ActionAccept}},
		{"above the bound without candidates", load(120, 0), fresh, nil, 0, placement.Decision{Action: placement.ActionAccept}},
		{"slots full", load(100, 5), fresh, []uint32{2}, 0, placement.Decision{Action: placement.ActionPass, Server: 2}},
		{"every slot full", load(100, 5), []placement.PeerLoad{peer(2, 100, 5, now)}, []uint32{2}, 0, placement.Decision{Action: placement.ActionAccept}},
		{"no peer heard lately", load(120, 0), silent, []uint32{2}, 0, placement.Decision{Action: placement.ActionAccept}},
		{"leaving", leaving, fresh, []uint32{4, 2}, 0, placement.Decision{Action: placement.ActionPass, Server: 4}},
		{"leaving and alone", leaving, silent, []uint32{2}, 0, placement.Decision{Action: placement.ActionRefuse}},
		{"first flow of all", load(0, 0), []placement.PeerLoad{peer(2, 0, 0, now)}, []uint32{2}, 0, placement.Decision{Action: placement.ActionAccept}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := warmed().Decide(now, 7, test.own, test.peers, test.candidates, test.hops)
			if got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestDecideRepeatsItsChoice(t *testing.T) {
	a := warmed()
	now := established
	first := a.Decide(now, 7, load(100, 0), []placement.PeerLoad{peer(2, 100, 0, now)}, []uint32{2}, 0)
	again := a.Decide(now+time.Second, 7, load(500, 0), []placement.PeerLoad{peer(2, 1, 0, now)}, []uint32{2}, 0)
	if first != again {
		t.Fatalf("%+v became %+v", first, again)
	}
}

// A newcomer ranks first on one revision and is unknown on the other; both must lead to one owner.
func TestTwoRevisionsAgreeOnTheOwner(t *testing.T) {
	now := established
	old := warmed()
	newcomer := placement.NewAcceptor(placement.DefaultAcceptorConfig(5), now)
	peers := []placement.PeerLoad{peer(1, 100, 0, now)}
	d := newcomer.Decide(now, 7, load(0, 0), peers, []uint32{1, 2}, 0)
	if d != (placement.Decision{Action: placement.ActionPass, Server: 1}) {
		t.Fatalf("the newcomer decided %+v", d)
	}
	others := []placement.PeerLoad{peer(2, 100, 0, now), peer(3, 100, 0, now), peer(4, 100, 0, now)}
	if d := old.Decide(now, 7, load(100, 0), others, []uint32{2}, 1); d.Action != placement.ActionAccept {
		t.Fatalf("the old owner decided %+v", d)
	}
}

// When a whole service starts at once, no agent is a newcomer and the load is bounded from the first
// flow on.
func TestServiceThatStartsAtOnceIsBalanced(t *testing.T) {
	now := 2 * time.Second
	a := acceptor(1)
	young := peer(2, 10, 0, now)
	young.Age = time.Second
	if d := a.Decide(now, 7, load(10, 0), []placement.PeerLoad{young}, []uint32{2}, 0); d.Action != placement.ActionAccept {
		t.Fatalf("with the mean load it decided %+v", d)
	}
	if d := a.Decide(now, 8, load(20, 0), []placement.PeerLoad{young}, []uint32{2}, 0); d.Action != placement.ActionPass {
		t.Fatalf("with twice the load it decided %+v", d)
	}
	old := peer(3, 10, 0, now)
	old.Age = time.Minute
	if d := a.Decide(now, 9, load(0, 0), []placement.PeerLoad{old}, []uint32{3}, 0); d.Action != placement.ActionPass {
		t.Fatalf("as a newcomer it decided %+v", d)
	}
}

// A leaving upstream whose only accepting peer settles must not refuse the flow.
func TestLeavingUpstreamPassesToSettlingPeer(t *testing.T) {
	now := established
	a := warmed()
	leaving := load(10, 0)
	leaving.Accepting = false
	d := a.Decide(now, 7, leaving, []placement.PeerLoad{peer(9, 0, 0, now)}, []uint32{9}, 1)
	if d != (placement.Decision{Action: placement.ActionPass, Server: 9}) {
		t.Fatalf("decided %+v", d)
	}
}

func TestSlowStartLimitsNewcomer(t *testing.T) {
	start := established
	config := placement.DefaultAcceptorConfig(1)
	config.SlowStart = 30 * time.Second
	a := placement.NewAcceptor(config, start)
	now := start + 12*time.Second
	peers := []placement.PeerLoad{peer(2, 1000, 0, now), peer(3, 1000, 0, now)}
	d := a.Decide(now, 7, load(300, 0), peers, []uint32{2}, 0)
	if d.Action != placement.ActionPass {
		t.Fatalf("12 s after its start, with 300 flows beside 1000, the newcomer decided %+v", d)
	}
	if d := a.Decide(now, 8, load(50, 0), peers, []uint32{2}, 0); d.Action != placement.ActionAccept {
		t.Fatalf("with 50 flows the newcomer decided %+v", d)
	}
}

func TestLookUp(t *testing.T) {
	now := established
	self := placement.Owner{Service: 1, Server: 1, Incarnation: 9}
	peers := []placement.PeerLoad{peer(2, 0, 0, now-time.Second), peer(3, 0, 0, now-16*time.Second)}
	for server := uint32(6); server < 10; server++ {
		peers = append(peers, peer(server, 0, 0, now))
	}
	pausing := append(slices.Clone(peers[2:]), peer(5, 0, 0, now-3*time.Second))
	pass2 := placement.Decision{Action: placement.ActionPass, Server: 2}
	accept := placement.Decision{Action: placement.ActionAccept}
	refuse := placement.Decision{Action: placement.ActionRefuse}
	reset := placement.Decision{Action: placement.ActionReset}
	other := func(server uint32) placement.Owner { return placement.Owner{Service: 1, Server: server} }
	tests := []struct {
		name     string
		owner    placement.Owner
		evidence placement.Evidence
		want     placement.Decision
	}{
		{"own", self, placement.EvidenceGone, accept},
		{"earlier incarnation", placement.Owner{Service: 1, Server: 1, Incarnation: 8}, placement.EvidenceNone, reset},
		{"other service", placement.Owner{Service: 2, Server: 1, Incarnation: 9}, placement.EvidenceGone, refuse},
		{"live peer", other(2), placement.EvidenceGone, pass2},
		{"live peer that refused", other(2), placement.EvidenceRefused, pass2},
		{"peer missed by both", other(3), placement.EvidenceGone, reset},
		{"peer missed by the agent alone", other(3), placement.EvidenceNone, refuse},
		{"peer silent for a while", other(5), placement.EvidenceGone, placement.Decision{Action: placement.ActionPass, Server: 5}},
		{"peer silent for a while that refused", other(5), placement.EvidenceRefused, reset},
		{"peer known to the balancer alone", other(4), placement.EvidenceGone, reset},
		{"peer known to none", other(4), placement.EvidenceNone, refuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peers := peers
			if test.owner == other(5) {
				peers = pausing
			}
			if got := acceptor(1).DecideByOwner(now, test.owner, self, test.evidence, peers); got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// A peer that is paused for 10 s keeps its flows.
func TestLookUpKeepsFlowsOfPausedPeer(t *testing.T) {
	now := established
	peers := []placement.PeerLoad{peer(2, 0, 0, now-10*time.Second), peer(3, 0, 0, now)}
	d := acceptor(1).DecideByOwner(now, placement.Owner{Service: 1, Server: 2}, placement.Owner{Service: 1, Server: 1}, placement.EvidenceGone, peers)
	if d != (placement.Decision{Action: placement.ActionPass, Server: 2}) {
		t.Fatalf("decided %+v", d)
	}
}

// While the network may be parted, or after a pause of the agent itself, no flow is reset, also when
// the peers come back one after the other.
func TestLookUpResetsNoFlowWhenParted(t *testing.T) {
	now := established
	a := acceptor(1)
	self := placement.Owner{Service: 1, Server: 1}
	long := now - 40*time.Second
	for _, peers := range [][]placement.PeerLoad{
		{peer(2, 0, 0, long), peer(3, 0, 0, long), peer(4, 0, 0, now)},
		{peer(2, 0, 0, long), peer(3, 0, 0, now), peer(4, 0, 0, now)},
	} {
		if d := a.DecideByOwner(now, placement.Owner{Service: 1, Server: 2}, self, placement.EvidenceGone, peers); d.Action != placement.ActionRefuse {
			t.Fatalf("decided %+v", d)
		}
		now += time.Second
	}
}

// However the agents stand, a searched packet ends at its owner, or else at the first of the ranks.
func TestSearchEndsAtTheOwner(t *testing.T) {
	now := established
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint32Range(1, 10).Draw(t, "upstreams")
		owner := rapid.Uint32Range(0, n).Draw(t, "owner")
		candidates := make([]uint32, 0, n)
		peers := make([]placement.PeerLoad, 0, n)
		for server := uint32(1); server <= n; server++ {
			peers = append(peers, peer(server, 0, 0, now))
			if server > 1 {
				candidates = append(candidates, server)
			}
		}
		if n > 1 {
			candidates = append(candidates, 1)
		}
		at, passes := uint32(1), uint32(0)
		for {
			d := acceptor(at).Search(now, at == owner, load(0, 0), peers, candidates)
			if d.Action == placement.ActionAccept {
				break
			}
			at = d.Server
			candidates = placement.Remaining(nil, candidates, at)
			passes++
		}
		if want := max(owner, 1); at != want || passes > n {
			t.Fatalf("ended at %d after %d passes, want %d", at, passes, want)
		}
	})
}
