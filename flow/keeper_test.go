package flow_test

import (
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

var balancerIP = flow.IP{10, 9, 0, 1}

// newKeeper returns the Keeper beside server 1 of the orders.
func newKeeper(view *registry.View) *flow.Tracker {
	k := flow.NewTracker(flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort}), start)
	k.SetView(view)
	return k
}

func orderView(version uint64) *registry.View { return viewAt(start, version, upstreamOf(1, "orders")) }

// request returns what a balancer asks of the agent.
func request(purpose flow.Purpose, remaining ...flow.IP) flow.Request {
	return flow.Request{
		Purpose: purpose, Service: flow.ServiceHash("orders"), Version: 5, Remaining: remaining, Balancer: balancerIP, Search: 9, Changed: 5,
	}
}

func wantAction(t *testing.T, v flow.Verdict, action flow.Action, note flow.Note) {
	t.Helper()
	if v.Action != action || v.Note != note {
		t.Fatalf("got %v with note %d, want %v with %d: %s", v.Action, v.Note, action, note, v.Reason)
	}
}

// accept lets the server take a flow.
func accept(t *testing.T, k *flow.Tracker, now time.Duration, n int) {
	t.Helper()
	wantAction(t, k.FromNode(now, opening(n), nil, request(flow.Open)), flow.ToServer, flow.NoNote)
	wantAction(t, k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting}), flow.ToClient, flow.NoteHeld)
}

// ask lets a client send a request over an open flow, and answer lets the server answer it.
func ask(k *flow.Tracker, now time.Duration, n int) flow.Verdict {
	return k.FromNode(now, later(n), nil, request(flow.Deliver))
}

func answer(k *flow.Tracker, now time.Duration, n int) flow.Verdict {
	return k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Other, Length: 100})
}

func TestAgentTakesAFlowAndReportsItWhenTheServerHasAnswered(t *testing.T) {
	k := newKeeper(orderView(5))
	v := k.FromNode(start, opening(1), nil, request(flow.Open))
	wantAction(t, v, flow.ToServer, flow.NoNote)
	v = k.FromServer(start, &flow.Packet{Key: opening(1).Key, Kind: flow.Accepting})
	wantAction(t, v, flow.ToClient, flow.NoteHeld)
	if v.Balancer != balancerIP {
		t.Fatalf("told %v", v.Balancer)
	}
}

func TestAgentGoesByItsOwnConfiguration(t *testing.T) {
	k := newKeeper(orderView(5))
	p := opening(1)
	p.Key.Service = photos
	wantAction(t, k.FromNode(start, p, nil, request(flow.Open)), flow.Reset, flow.NoteRefused)
	p.Key.Service.Port++
	wantAction(t, k.FromNode(start, p, nil, request(flow.Open)), flow.Reset, flow.NoteRefused)

	r := request(flow.Open, agentIP(3))
	r.Service = flow.ServiceHash("photos")
	if v := k.FromNode(start, opening(1), nil, r); v.Action != flow.Forward || v.To != agentIP(3) {
		t.Fatalf("a flow of another service: %v", v.Action)
	}
}

func TestFlowOfANewerConfigurationIsTakenAtOnce(t *testing.T) {
	k := newKeeper(orderView(4))
	added := opening(1)
	added.Key.Service.Port++
	wantAction(t, k.FromNode(start, added, nil, request(flow.Open)), flow.ToServer, flow.NoNote)
	k.SetView(orderView(5))
	added = opening(2)
	added.Key.Service.Port++
	wantAction(t, k.FromNode(start, added, nil, request(flow.Open)), flow.Reset, flow.NoteRefused)
}

// TestAgentDoesNotGoBackFromAConfigurationThatItHasShown lets balancers with different versions use an agent that is
// behind all of them.
func TestAgentDoesNotGoBackFromAConfigurationThatItHasShown(t *testing.T) {
	k := newKeeper(orderView(4))
	by := func(now time.Duration, version uint64, n int) flow.Action {
		r := request(flow.Open)
		r.Version = version
		return k.FromNode(now, opening(n), nil, r).Action
	}
	slack := 250 * time.Millisecond
	if by(start, 6, 1) != flow.ToServer || by(start+time.Millisecond, 5, 2) != flow.ToServer {
		t.Fatal("a flow was not taken right after a newer one")
	}
	for version, want := range map[uint64]flow.Action{4: flow.Drop, 5: flow.Drop, 6: flow.ToServer, 7: flow.ToServer} {
		if got := by(start+slack, version, int(10+version)); got != want {
			t.Errorf("version %d after the users' slack: %v, want %v", version, got, want)
		}
	}
	k.SetView(orderView(6))
	if got := by(start+slack, 5, 30); got != flow.ToServer {
		t.Fatalf("%v although the agent has the newer configuration", got)
	}
	if got := by(start+2*slack, 6, 31); got != flow.Drop {
		t.Fatalf("%v by version 6 after version 7 was acted by", got)
	}
}

func TestServerThatTakesNoNewFlows(t *testing.T) {
	draining := upstreamOf(1, "orders")
	draining.Draining = true
	for name, views := range map[string][]*registry.View{
		"draining": {viewAt(start, 5, draining)},
		"gone":     {orderView(5), viewAt(start, 5)},
	} {
		t.Run(name, func(t *testing.T) {
			k := newKeeper(views[0])
			for _, view := range views[1:] {
				k.SetView(view)
			}
			v := k.FromNode(start, opening(1), nil, request(flow.Open, agentIP(3), agentIP(5)))
			wantAction(t, v, flow.Forward, flow.NoteStatus)
			if v.To != agentIP(3) || !slices.Equal(v.Request.Remaining, []flow.IP{agentIP(5)}) {
				t.Fatalf("passed to %v and then %v", v.To, v.Request.Remaining)
			}
			wantAction(t, k.FromNode(start, opening(1), nil, request(flow.Open)), flow.Reset, flow.NoteRefused)
		})
	}
}

func TestServerThatTheViewDoesNotNameYetTakesFlows(t *testing.T) {
	k := newKeeper(viewAt(start, 5))
	wantAction(t, k.FromNode(start, opening(1), nil, request(flow.Open)), flow.ToServer, flow.NoNote)
}

// fill lets a server run as many requests as it has slots, numbered from 0.
func fill(t *testing.T, k *flow.Tracker) {
	t.Helper()
	for n := range 4 {
		accept(t, k, start, n)
		ask(k, start, n)
	}
}

func TestBusyServerPassesNewFlowsOn(t *testing.T) {
	k := newKeeper(orderView(5))
	fill(t, k)
	v := k.FromNode(start, opening(9), nil, request(flow.Open, agentIP(3)))
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if offer := v.Request.Best; offer.Agent != agentIP(1) || offer.Wait == 0 || offer.Suspect {
		t.Fatalf("offers %+v", offer)
	}
	final := request(flow.Open)
	final.Best, final.Final = v.Request.Best, true
	wantAction(t, k.FromNode(start, opening(9), nil, final), flow.ToServer, flow.NoNote)
	answer(k, start, 0)
	answer(k, start, 1)
	wantAction(t, k.FromNode(start, opening(10), nil, request(flow.Open, agentIP(3))), flow.ToServer, flow.NoNote)
}

func TestWhenAllAreFullTheBestTakesTheFlow(t *testing.T) {
	k := newKeeper(orderView(5))
	fill(t, k)
	worse := request(flow.Open)
	worse.Best = flow.Offer{Agent: agentIP(3), Wait: 170 * time.Millisecond}
	wantAction(t, k.FromNode(start, opening(9), nil, worse), flow.ToServer, flow.NoNote)
	better := request(flow.Open)
	better.Best = flow.Offer{Agent: agentIP(3), Wait: time.Millisecond}
	v := k.FromNode(start, opening(10), nil, better)
	wantAction(t, v, flow.Forward, flow.NoNote)
	if v.To != agentIP(3) || !v.Request.Final || len(v.Request.Remaining) != 0 {
		t.Fatalf("went to %v, final %v, with %v to follow", v.To, v.Request.Final, v.Request.Remaining)
	}
	late := request(flow.Open)
	late.Best = flow.Offer{Agent: agentIP(3), Wait: time.Second}
	for n := 20; n < 40; n++ {
		if v = k.FromNode(start, opening(n), nil, late); v.Action == flow.Reset {
			return
		}
	}
	t.Fatalf("took 20 flows, the last with %v", v.Action)
}

func TestFlowWithoutARequestIsBusyForAShortTimeOnly(t *testing.T) {
	k := newKeeper(orderView(5))
	for n := range 4 {
		accept(t, k, start, n)
	}
	if busy := k.Status(start).Busy; busy != 4 {
		t.Fatalf("%d busy", busy)
	}
	if busy := k.Status(start + 150*time.Millisecond).Busy; busy != 0 {
		t.Fatalf("%d busy after 150 ms without a request", busy)
	}
}

func TestFlowThatCouldNotBeAnsweredInTimeIsRefused(t *testing.T) {
	final := request(flow.Open)
	final.Final = true
	for name, r := range map[string]flow.Request{"alone": request(flow.Open), "final": final} {
		t.Run(name, func(t *testing.T) {
			k := newKeeper(orderView(5))
			for n := range 100 {
				v := k.FromNode(start, opening(n), nil, r)
				if v.Action == flow.Reset {
					if n < 5 {
						t.Fatalf("refused with %d requests at 4 slots", n)
					}
					return
				}
			}
			t.Fatal("took 100 flows at once")
		})
	}
}

// expected returns how long a full server expects the answer to a new flow to take.
func expected(k *flow.Tracker, now time.Duration) time.Duration {
	return k.FromNode(now, opening(999), nil, request(flow.Open, agentIP(3))).Request.Best.Wait
}

func TestServiceTimeIsThatOfRequestsThatDidNotWait(t *testing.T) {
	k := newKeeper(orderView(5))
	now := start
	for n := range 100 {
		accept(t, k, now, n)
		ask(k, now, n)
		now += 40 * time.Millisecond
		answer(k, now, n)
	}
	for n := 200; n < 204; n++ {
		accept(t, k, now, n)
		ask(k, now, n)
	}
	if got := expected(k, now); got != 50*time.Millisecond {
		t.Fatalf("one more request of 40 ms beside 4 in 4 slots is expected to take %v", got)
	}
	final := request(flow.Open)
	final.Final = true
	for n := 204; n < 206; n++ {
		k.FromNode(now, opening(n), nil, final)
		k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		ask(k, now, n)
	}
	now += 400 * time.Millisecond
	answer(k, now, 204)
	answer(k, now, 205)
	if got := expected(k, now); got != 50*time.Millisecond {
		t.Fatalf("%v with requests that waited", got)
	}
}

func TestServiceTimeIsMeasuredWhenTheFlowClosesBeforeTheAnswer(t *testing.T) {
	k := newKeeper(orderView(5))
	now := start
	for n := range 20 {
		accept(t, k, now, n)
		ask(k, now, n)
		now += 40 * time.Millisecond
		k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Closing})
		answer(k, now, n)
	}
	for n := 200; n < 204; n++ {
		accept(t, k, now, n)
		ask(k, now, n)
	}
	if got := expected(k, now); got != 50*time.Millisecond {
		t.Fatalf("one more request of 40 ms beside 4 in 4 slots is expected to take %v", got)
	}
}

// TestOneShortRequestFillsNoQueue lets a server that has just started answer its first request very soon.
func TestOneShortRequestFillsNoQueue(t *testing.T) {
	k := newKeeper(orderView(5))
	accept(t, k, start, 0)
	ask(k, start, 0)
	now := start + 5*time.Millisecond
	answer(k, now, 0)
	taken := 0
	for n := 1; n < 100; n++ {
		if k.FromNode(now, opening(n), nil, request(flow.Open)).Action == flow.ToServer {
			taken++
		}
	}
	if taken > 20 {
		t.Fatalf("took %d flows at once with 4 slots", taken)
	}
}

// peersTell lets a balancer tell an agent of its peers for as long as they must be known.
func peersTell(k *flow.Tracker, peers flow.PeerStats) (now time.Duration) {
	k.SetPeers(start, peers)
	now = start + 3*time.Second
	k.SetPeers(now, peers)
	return now
}

func TestServerThatAnswersTooSoonIsSuspect(t *testing.T) {
	k := newKeeper(orderView(5))
	now := peersTell(k, flow.PeerStats{ServiceTime: 40 * time.Millisecond})
	for n := range 20 {
		accept(t, k, now, n)
		ask(k, now, n)
		now += time.Millisecond
		answer(k, now, n)
		if k.Suspect() && n < 7 {
			t.Fatalf("suspect after %d requests", n+1)
		}
	}
	if !k.Suspect() || k.Status(now).ServiceTime != 0 {
		t.Fatalf("suspect %v, service time %v", k.Suspect(), k.Status(now).ServiceTime)
	}
	v := k.FromNode(now, opening(30), nil, request(flow.Open, agentIP(3)))
	if v.Action == flow.ToServer {
		// The first flow tries the server.
		v = k.FromNode(now, opening(31), nil, request(flow.Open, agentIP(3)))
	}
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if offer := v.Request.Best; offer.Agent != agentIP(1) || !offer.Suspect {
		t.Fatalf("offers %+v", offer)
	}
	wantAction(t, k.FromNode(now, opening(32), nil, request(flow.Open)), flow.ToServer, flow.NoNote)
}

func TestFullServerGoesBeforeASuspectOne(t *testing.T) {
	k := newKeeper(orderView(5))
	fill(t, k)
	for _, c := range []struct {
		best flow.Offer
		want flow.Action
	}{
		{flow.Offer{Agent: agentIP(3), Wait: time.Millisecond, Suspect: true}, flow.ToServer},
		{flow.Offer{Agent: agentIP(3), Wait: time.Millisecond}, flow.Forward},
	} {
		r := request(flow.Open)
		r.Best = c.best
		if v := k.FromNode(start, opening(20), nil, r); v.Action != c.want {
			t.Errorf("%v beside %+v, want %v", v.Action, c.best, c.want)
		}
	}
}

// TestRequestsThatHangMakeAServerSuspect lets some requests run far longer than those of the peers.
func TestRequestsThatHangMakeAServerSuspect(t *testing.T) {
	k := newKeeper(orderView(5))
	now := peersTell(k, flow.PeerStats{ServiceTime: 40 * time.Millisecond})
	for n := range 20 {
		accept(t, k, now, n)
		ask(k, now, n)
		now += 40 * time.Millisecond
		if n%2 == 0 {
			now += time.Second
			k.Check(now)
		}
		answer(k, now, n)
	}
	if !k.Suspect() {
		t.Fatal("not suspect")
	}
	if got := k.Status(now).ServiceTime; got != 40*time.Millisecond {
		t.Fatalf("service time %v", got)
	}
}

func TestOneLongRequestDoesNotMakeAServerSlow(t *testing.T) {
	k := newKeeper(orderView(5))
	now := start
	for n, took := range []time.Duration{160, 40, 40, 40, 40, 40} {
		accept(t, k, now, n)
		ask(k, now, n)
		now += took * time.Millisecond
		answer(k, now, n)
	}
	for n := 200; n < 204; n++ {
		accept(t, k, now, n)
		ask(k, now, n)
	}
	if got := expected(k, now); got > 100*time.Millisecond {
		t.Fatalf("one more request is expected to take %v", got)
	}
}

func TestSlowServerIsTriedNowAndThen(t *testing.T) {
	k := newKeeper(orderView(5))
	now := start
	for n := range 30 {
		k.FromNode(now, opening(n), nil, request(flow.Open))
		k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		ask(k, now, n)
		now += 400 * time.Millisecond
		answer(k, now, n)
	}
	taken, slow := 0, now
	for n := 100; n < 200; n++ {
		now += 20 * time.Millisecond
		v := k.FromNode(now, opening(n), nil, request(flow.Open, agentIP(3)))
		if v.Action != flow.ToServer {
			continue
		}
		taken++
		k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		ask(k, now, n)
		now += 400 * time.Millisecond
		answer(k, now, n)
	}
	most := 1 + int((now-slow)/flow.DefaultTrackerConfig("", flow.Endpoint{}).SlowTrialInterval)
	if taken < 1 || taken > most {
		t.Fatalf("%d flows were given to the slow server in %v, at most %d are to be", taken, now-slow, most)
	}
	for n := 200; n < 300; n++ {
		now += 20 * time.Millisecond
		if k.FromNode(now, opening(n), nil, request(flow.Open, agentIP(3))).Action != flow.ToServer {
			continue
		}
		k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		ask(k, now, n)
		now += 20 * time.Millisecond
		answer(k, now, n)
	}
	accept(t, k, now, 300)
}

func TestPacketThatTheServerReturnsIsSearchedFurther(t *testing.T) {
	k := newKeeper(orderView(5))
	wantAction(t, k.FromNode(start, later(1), nil, request(flow.Search, agentIP(3))), flow.ToServer, flow.NoNote)
	returned := later(1)
	returned.Returned = true
	v := k.FromServer(start, returned)
	wantAction(t, v, flow.Forward, flow.NoNote)
	if v.To != agentIP(3) || v.Request.Purpose != flow.Search {
		t.Fatalf("went to %v", v.To)
	}

	wantAction(t, k.FromNode(start, later(2), nil, request(flow.Search)), flow.ToServer, flow.NoNote)
	returned = later(2)
	returned.Returned = true
	v = k.FromServer(start, returned)
	wantAction(t, v, flow.Drop, flow.NoteDenied)
	if v.Request.Search != 9 || v.Request.Outdated() {
		t.Fatalf("denied %+v", v.Request)
	}

	accept(t, k, start, 3)
	ask(k, start, 3)
	returned = later(3)
	returned.Returned = true
	v = k.FromServer(start, returned)
	wantAction(t, v, flow.Return, flow.NoNote)
	if v.To != balancerIP {
		t.Fatalf("returned to %v", v.To)
	}
}

// look lets an agent look for answers of its server as often as it must, until a time.
func look(k *flow.Tracker, until time.Duration) (silent bool) {
	for range flow.DefaultTrackerConfig("", flow.Endpoint{}).MinChecks {
		silent = k.Check(until) || silent
	}
	return silent
}

func TestSearchGoesOnWithoutAServerThatIsSilent(t *testing.T) {
	k := newKeeper(orderView(5))
	wantAction(t, k.FromNode(start, later(1), []byte("raw"), request(flow.Search, agentIP(3))), flow.ToServer, flow.NoNote)
	wantAction(t, k.FromNode(start, later(2), nil, request(flow.Search)), flow.ToServer, flow.NoNote)
	now := start + flow.DefaultTrackerConfig("", flow.Endpoint{}).DenyAfter
	k.Check(start + time.Minute)
	if _, p, _ := k.NextUnanswered(start + time.Minute); p != nil {
		t.Fatal("a pause of the agent was taken for one of the server")
	}
	look(k, now)
	if _, p, _ := k.NextUnanswered(now - 1); p != nil {
		t.Fatal("the server had no time to answer")
	}
	v, p, raw := k.NextUnanswered(now)
	wantAction(t, v, flow.Forward, flow.NoNote)
	if v.To != agentIP(3) || p.Key != later(1).Key || string(raw) != "raw" {
		t.Fatalf("%v with %q went to %v", p, raw, v.To)
	}
	v, _, _ = k.NextUnanswered(now)
	wantAction(t, v, flow.Drop, flow.NoteDenied)
	if _, p, _ := k.NextUnanswered(now); p != nil {
		t.Fatal("decided twice on a packet")
	}
}

func TestServerThatSpeaksIsNotDeniedFor(t *testing.T) {
	k := newKeeper(orderView(5))
	wantAction(t, k.FromNode(start, later(1), nil, request(flow.Search)), flow.ToServer, flow.NoNote)
	now := start + time.Second
	look(k, now)
	accept(t, k, now, 2)
	if v, p, _ := k.NextUnanswered(now); p != nil {
		t.Fatalf("got %v", v.Action)
	}
}

func TestPacketOfAKnownOwnerComesBackFromASilentServer(t *testing.T) {
	k := newKeeper(orderView(5))
	wantAction(t, k.FromNode(start, later(1), []byte("raw"), request(flow.Deliver)), flow.ToServer, flow.NoNote)
	now := start + time.Second
	look(k, now)
	v, p, raw := k.NextUnanswered(now)
	if p == nil || v.Action != flow.Return || v.To != balancerIP || string(raw) != "raw" {
		t.Fatalf("got %v to %v", v.Action, v.To)
	}
}

func TestFlowsOfASilentServerAreReset(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	k := newKeeper(orderView(5))
	for n := range config.SilentPackets + 1 {
		accept(t, k, start, n)
		ask(k, start, n)
		answer(k, start, n)
	}
	for n := range config.SilentPackets {
		ask(k, start, n)
	}
	if look(k, start+config.SilentAfter-1) {
		t.Fatal("the server had no time to answer")
	}
	k.Check(start + config.SilentAfter)
	stalled := k.EndStalled()
	if len(stalled) != config.SilentPackets || stalled[opening(0).Key] != 77 {
		t.Fatalf("stalled %v", stalled)
	}
	now := start + config.SilentAfter
	v := ask(k, now, config.SilentPackets)
	if v.Action == flow.ToServer {
		// The first packet tries the server again.
		v = ask(k, now, config.SilentPackets)
	}
	if v.Action != flow.Reset || v.Seq != 77 {
		t.Fatalf("got %v: %s", v.Action, v.Reason)
	}
	accept(t, k, now+time.Second, 100)
	if v := ask(k, now+time.Second, 100); v.Action != flow.ToServer {
		t.Fatalf("got %v after the server has answered again", v.Action)
	}
}

// TestAgentResetsNoFlowThatMayBeOpenElsewhere lets a server answer the opening packet of a flow that its client opened
// at another one.
func TestAgentResetsNoFlowThatMayBeOpenElsewhere(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	k := newKeeper(orderView(5))
	for n := range config.SilentPackets + 1 {
		accept(t, k, start, n)
	}
	for n := range config.SilentPackets + 1 {
		ask(k, start, n)
	}
	if !look(k, start+config.SilentAfter) {
		t.Fatal("the server is not silent")
	}
	if stalled := k.EndStalled(); len(stalled) != 0 {
		t.Fatalf("stalled %v", stalled)
	}
	ask(k, start+config.SilentAfter, 0)
	wantAction(t, ask(k, start+config.SilentAfter, 1), flow.Return, flow.NoNote)
	if lost := k.ServerDown(); len(lost) != 0 {
		t.Fatalf("lost %v", lost)
	}
}

func TestServerThatAcknowledgesIsNotSilent(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	k := newKeeper(orderView(5))
	for n := range config.SilentPackets {
		accept(t, k, start, n)
	}
	now := start
	for range 20 {
		for n := range config.SilentPackets {
			ask(k, now, n)
			now += config.SilentAfter / 10
			k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Other})
		}
		if look(k, now) {
			t.Fatal("a server that acknowledges counts as silent")
		}
	}
}

func TestServerThatDoesNotRunHoldsNoFlow(t *testing.T) {
	k := newKeeper(orderView(5))
	k.ServerDown()
	k.FromNode(start, later(9), nil, request(flow.Search))
	wantAction(t, k.FromNode(start, later(1), nil, request(flow.Search)), flow.Drop, flow.NoteDenied)
	now := start + time.Second
	accept(t, k, now, 2)
	wantAction(t, k.FromNode(now, later(1), nil, request(flow.Search)), flow.ToServer, flow.NoNote)
}

func TestAgentThatKnowsItsFlowsDeniesOthersItself(t *testing.T) {
	k := newKeeper(orderView(5))
	now := start + time.Minute
	accept(t, k, now, 1)
	wantAction(t, k.FromNode(now, later(1), nil, request(flow.Search)), flow.ToServer, flow.NoteHeld)
	wantAction(t, k.FromNode(now, later(2), nil, request(flow.Search)), flow.Drop, flow.NoteDenied)
	k.SetView(viewAt(start, 6, upstreamOf(1, "orders")))
	if v := k.FromNode(now, later(2), nil, request(flow.Search)); !v.Request.Outdated() {
		t.Fatal("a later change than the search knows was not told")
	}
}

func TestOpeningPacketThatTheServerReturnsGoesToTheNextAgent(t *testing.T) {
	k := newKeeper(orderView(5))
	k.FromNode(start, opening(1), nil, request(flow.Open, agentIP(3)))
	returned := opening(1)
	returned.Returned = true
	v := k.FromServer(start, returned)
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if v.To != agentIP(3) {
		t.Fatalf("went to %v", v.To)
	}
	k.FromNode(start, opening(2), nil, request(flow.Open))
	returned = opening(2)
	returned.Returned = true
	wantAction(t, k.FromServer(start, returned), flow.Reset, flow.NoteRefused)
}

func TestServerThatDoesNotAnswerGetsNewFlowsForTrialOnly(t *testing.T) {
	k := newKeeper(orderView(5))
	now := start
	for n := range 4 {
		k.FromNode(now, opening(n), nil, request(flow.Open, agentIP(3)))
		now += 100 * time.Millisecond
	}
	if k.Accepting(now) || !k.NeedsProcessCheck(now) {
		t.Fatal("a server that answered nothing counts as well")
	}
	given := 0
	for n := range 100 {
		if v := k.FromNode(now, opening(100+n), nil, request(flow.Open, agentIP(3))); v.Action == flow.ToServer {
			given++
		}
		now += 10 * time.Millisecond
	}
	if given < 3 || given > 7 {
		t.Fatalf("%d trials in a second", given)
	}
	k.FromServer(now, &flow.Packet{Key: opening(100).Key, Kind: flow.Accepting})
	if !k.Accepting(now) {
		t.Fatal("a server that answers again gets no flows")
	}
}

func TestFlowsOfAServerThatEndedAreReset(t *testing.T) {
	k := newKeeper(orderView(5))
	accept(t, k, start, 1)
	ask(k, start, 1)
	answer(k, start, 1)
	accept(t, k, start, 2)
	k.FromServer(start, &flow.Packet{Key: opening(2).Key, Kind: flow.Closing})
	lost := k.ServerDown()
	if len(lost) != 1 || lost[opening(1).Key] != 77 {
		t.Fatalf("lost %v", lost)
	}
	if w := k.Status(start); w.Flows != 0 || w.Busy != 0 || w.Accepting {
		t.Fatalf("word %+v", w)
	}
}

func TestPortThatIsUsedAgainOpensANewFlow(t *testing.T) {
	k := newKeeper(orderView(5))
	accept(t, k, start, 1)
	k.FromServer(start, &flow.Packet{Key: opening(1).Key, Kind: flow.Closing})
	if flows := k.Status(start).Flows; flows != 0 {
		t.Fatalf("%d flows after the end", flows)
	}
	accept(t, k, start+time.Second, 1)
	if flows := k.Status(start).Flows; flows != 1 {
		t.Fatalf("%d flows", flows)
	}
}

func TestSilentFlowsAreForgotten(t *testing.T) {
	k := newKeeper(orderView(5))
	accept(t, k, start, 1)
	ask(k, start, 1)
	k.Sweep(start + 6*time.Second)
	if w := k.Status(start + 6*time.Second); w.Busy != 0 || w.Flows != 1 {
		t.Fatalf("word %+v after a request of 6 s", w)
	}
	k.Sweep(start + 20*time.Second)
	if flows := k.Status(start + 20*time.Second).Flows; flows != 0 {
		t.Fatalf("%d flows", flows)
	}
}
