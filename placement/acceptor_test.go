package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyrack/bramleyrack/placement"
)

// established is a time at which an acceptor that started at zero has settled and ended its slow start.
const established = time.Hour

func newAcceptor(server uint32) *placement.Acceptor {
	return placement.NewAcceptor(placement.DefaultAcceptorConfig(server), 0)
}

func load(flows, busy uint32) placement.Load {
	return placement.Load{Flows: flows, BusySlots: busy, Slots: 5, Weight: 1, Accepting: true}
}

func peer(server, flows, busy uint32, heard time.Duration) placement.PeerLoad {
	return placement.PeerLoad{Server: server, Load: load(flows, busy), LastHeard: heard}
}

// acceptorWithKnownPeers returns an acceptor of server 1 that has known servers 2 to 4 since its start,
// so that they do not count as newcomers.
func acceptorWithKnownPeers() *placement.Acceptor {
	a := newAcceptor(1)
	a.Decide(0, 0, load(0, 0), []placement.PeerLoad{peer(2, 0, 0, 0), peer(3, 0, 0, 0), peer(4, 0, 0, 0)}, nil, 0)
	return a
}

func ExampleAcceptor() {
	a := placement.NewAcceptor(placement.DefaultAcceptorConfig(1), 0)
	own := placement.Load{Flows: 120, Weight: 1, Accepting: true}
	lessLoaded := placement.PeerLoad{Server: 2, Load: placement.Load{Flows: 80, Weight: 1, Accepting: true}, Age: time.Second}
	d := a.Decide(0, 42, own, []placement.PeerLoad{lessLoaded}, []uint32{2}, 0)
	fmt.Println(d.Action == placement.ActionPass, d.Server)
	// Output: true 2
}

func TestDecide(t *testing.T) {
	now := established
	livePeers := []placement.PeerLoad{peer(2, 100, 0, now), peer(3, 100, 0, now), peer(4, 100, 0, now)}
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
		{"mean load", load(100, 0), livePeers, []uint32{2, 3, 4}, 0, placement.Decision{Action: placement.ActionAccept}},
		{"above the bound", load(120, 0), livePeers, []uint32{3, 2, 4}, 0, placement.Decision{Action: placement.ActionPass, Server: 3}},
		{"above the bound at the hop limit", load(120, 0), livePeers, []uint32{3}, 2, placement.Decision{Action: placement.ActionAccept}},
		{"above the bound without candidates", load(120, 0), livePeers, nil, 0, placement.Decision{Action: placement.ActionAccept}},
		{"slots full", load(100, 5), livePeers, []uint32{2}, 0, placement.Decision{Action: placement.ActionPass, Server: 2}},
		{"all slots of all upstreams full", load(100, 5), []placement.PeerLoad{peer(2, 100, 5, now)}, []uint32{2}, 0, placement.Decision{Action: placement.ActionAccept}},
		{"no peer heard from lately", load(120, 0), silent, []uint32{2}, 0, placement.Decision{Action: placement.ActionAccept}},
		{"leaving", leaving, livePeers, []uint32{4, 2}, 0, placement.Decision{Action: placement.ActionPass, Server: 4}},
		{"leaving without a live peer", leaving, silent, []uint32{2}, 0, placement.Decision{Action: placement.ActionRefuse}},
		{"first flow of the service", load(0, 0), []placement.PeerLoad{peer(2, 0, 0, now)}, []uint32{2}, 0, placement.Decision{Action: placement.ActionAccept}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := acceptorWithKnownPeers().Decide(now, 7, test.own, test.peers, test.candidates, test.hops)
			if got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestDecideRepeatsItsChoice(t *testing.T) {
	a := acceptorWithKnownPeers()
	now := established
	decision := a.Decide(now, 7, load(100, 0), []placement.PeerLoad{peer(2, 100, 0, now)}, []uint32{2}, 0)
	repeated := a.Decide(now+time.Second, 7, load(500, 0), []placement.PeerLoad{peer(2, 1, 0, now)}, []uint32{2}, 0)
	if decision != repeated {
		t.Fatalf("first decision %+v, repeated decision %+v", decision, repeated)
	}
}

// A newcomer ranks first under the new revision and is unknown under the old one. The packets of a flow
// must reach the same owner under both.
func TestTwoRevisionsAgreeOnTheOwner(t *testing.T) {
	now := established
	old := acceptorWithKnownPeers()
	newcomer := placement.NewAcceptor(placement.DefaultAcceptorConfig(5), now)
	peers := []placement.PeerLoad{peer(1, 100, 0, now)}
	d := newcomer.Decide(now, 7, load(0, 0), peers, []uint32{1, 2}, 0)
	if d != (placement.Decision{Action: placement.ActionPass, Server: 1}) {
		t.Fatalf("the newcomer decided %+v, want a pass to server 1", d)
	}
	others := []placement.PeerLoad{peer(2, 100, 0, now), peer(3, 100, 0, now), peer(4, 100, 0, now)}
	if d := old.Decide(now, 7, load(100, 0), others, []uint32{2}, 1); d.Action != placement.ActionAccept {
		t.Fatalf("the established agent decided %+v, want accept", d)
	}
}

// If a whole service starts at the same time, no agent counts as a newcomer, and the load is bounded from
// the first flow on.
func TestSimultaneousStartIsBalanced(t *testing.T) {
	now := 2 * time.Second
	a := newAcceptor(1)
	newPeer := peer(2, 10, 0, now)
	newPeer.Age = time.Second
	if d := a.Decide(now, 7, load(10, 0), []placement.PeerLoad{newPeer}, []uint32{2}, 0); d.Action != placement.ActionAccept {
		t.Fatalf("at the mean load: got %+v, want accept", d)
	}
	if d := a.Decide(now, 8, load(20, 0), []placement.PeerLoad{newPeer}, []uint32{2}, 0); d.Action != placement.ActionPass {
		t.Fatalf("at twice the load of the peer: got %+v, want pass", d)
	}
	oldPeer := peer(3, 10, 0, now)
	oldPeer.Age = time.Minute
	if d := a.Decide(now, 9, load(0, 0), []placement.PeerLoad{oldPeer}, []uint32{3}, 0); d.Action != placement.ActionPass {
		t.Fatalf("as a newcomer: got %+v, want pass", d)
	}
}

// A leaving upstream must not refuse a flow when its only accepting peer has not settled yet.
func TestLeavingUpstreamPassesToSettlingPeer(t *testing.T) {
	now := established
	a := acceptorWithKnownPeers()
	leaving := load(10, 0)
	leaving.Accepting = false
	d := a.Decide(now, 7, leaving, []placement.PeerLoad{peer(9, 0, 0, now)}, []uint32{9}, 1)
	if d != (placement.Decision{Action: placement.ActionPass, Server: 9}) {
		t.Fatalf("got %+v, want a pass to server 9", d)
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
		t.Fatalf("12 s after its start, with 300 flows against 1000 on each peer: got %+v, want pass", d)
	}
	if d := a.Decide(now, 8, load(50, 0), peers, []uint32{2}, 0); d.Action != placement.ActionAccept {
		t.Fatalf("with 50 flows: got %+v, want accept", d)
	}
}

func TestDecideByOwner(t *testing.T) {
	now := established
	self := placement.Owner{Service: 1, Server: 1, Incarnation: 9}
	peers := []placement.PeerLoad{peer(2, 0, 0, now-time.Second), peer(3, 0, 0, now-16*time.Second)}
	for server := uint32(6); server < 10; server++ {
		peers = append(peers, peer(server, 0, 0, now))
	}
	peersWithSilentOne := append(slices.Clone(peers[2:]), peer(5, 0, 0, now-3*time.Second))
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
		{"live peer whose address refused", other(2), placement.EvidenceRefused, pass2},
		{"peer silent for both", other(3), placement.EvidenceGone, reset},
		{"peer silent only for the agent", other(3), placement.EvidenceNone, refuse},
		{"peer silent for 3 s", other(5), placement.EvidenceGone, placement.Decision{Action: placement.ActionPass, Server: 5}},
		{"peer silent for 3 s whose address refused", other(5), placement.EvidenceRefused, reset},
		{"peer known only to the balancer", other(4), placement.EvidenceGone, reset},
		{"unknown peer", other(4), placement.EvidenceNone, refuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peers := peers
			if test.owner == other(5) {
				peers = peersWithSilentOne
			}
			if got := newAcceptor(1).DecideByOwner(now, test.owner, self, test.evidence, peers); got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// A peer that has been silent for 10 s may be paused, so its flows are not reset.
func TestDecideByOwnerKeepsFlowsOfPausedPeer(t *testing.T) {
	now := established
	peers := []placement.PeerLoad{peer(2, 0, 0, now-10*time.Second), peer(3, 0, 0, now)}
	d := newAcceptor(1).DecideByOwner(now, placement.Owner{Service: 1, Server: 2}, placement.Owner{Service: 1, Server: 1}, placement.EvidenceGone, peers)
	if d != (placement.Decision{Action: placement.ActionPass, Server: 2}) {
		t.Fatalf("got %+v, want a pass to server 2", d)
	}
}

// No flow is reset while the network may be partitioned or after the agent itself was paused, even if the
// peers are heard from again one after the other.
func TestDecideByOwnerResetsNoFlowDuringPartition(t *testing.T) {
	now := established
	a := newAcceptor(1)
	self := placement.Owner{Service: 1, Server: 1}
	longAgo := now - 40*time.Second
	for _, peers := range [][]placement.PeerLoad{
		{peer(2, 0, 0, longAgo), peer(3, 0, 0, longAgo), peer(4, 0, 0, now)},
		{peer(2, 0, 0, longAgo), peer(3, 0, 0, now), peer(4, 0, 0, now)},
	} {
		if d := a.DecideByOwner(now, placement.Owner{Service: 1, Server: 2}, self, placement.EvidenceGone, peers); d.Action != placement.ActionRefuse {
			t.Fatalf("got %+v, want refuse", d)
		}
		now += time.Second
	}
}

// A searched packet ends at its owner, or at the server that ranks first if no agent owns the flow.
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
			d := newAcceptor(at).Search(now, at == owner, load(0, 0), peers, candidates)
			if d.Action == placement.ActionAccept {
				break
			}
			at = d.Server
			candidates = placement.Remaining(nil, candidates, at)
			passes++
		}
		if want := max(owner, 1); at != want || passes > n {
			t.Fatalf("search ended at server %d after %d passes, want server %d after at most one pass per upstream", at, passes, want)
		}
	})
}
