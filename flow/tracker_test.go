package flow_test

import (
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

var balancerIP = flow.IP{10, 9, 0, 1}

// newTracker returns the Tracker beside server 1 of the service "orders".
func newTracker(view *registry.View) *flow.Tracker {
	k := flow.NewTracker(flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort}), start)
	k.SetView(view)
	return k
}

func orderView(version uint64) *registry.View { return viewAt(start, version, upstreamOf(1, "orders")) }

// request returns the request that a balancer sends to the agent.
func request(purpose flow.Purpose, remaining ...flow.IP) flow.Request {
	return flow.Request{
		Purpose: purpose, Service: flow.ServiceHash("orders"), Version: 5, Remaining: remaining, Balancer: balancerIP, SearchID: 9, Changed: 5,
	}
}

func wantAction(t *testing.T, v flow.Verdict, action flow.Action, note flow.Note) {
	t.Helper()
	if v.Action != action || v.Note != note {
		t.Fatalf("got %v with note %d, want %v with %d: %s", v.Action, v.Note, action, note, v.Reason)
	}
}

// acceptFlow forwards an opening packet to the server and lets the server accept the flow.
func acceptFlow(t *testing.T, k *flow.Tracker, now time.Duration, n int) {
	t.Helper()
	wantAction(t, k.FromNode(now, opening(n), nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
	wantAction(t, k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting}), flow.ToClient, flow.NoteHeld)
}

// sendRequest lets a client send a request on an open flow, and sendAnswer lets the server answer it.
func sendRequest(k *flow.Tracker, now time.Duration, n int) flow.Verdict {
	return k.FromNode(now, dataPacket(n), nil, request(flow.PurposeDeliver))
}

func sendAnswer(k *flow.Tracker, now time.Duration, n int) flow.Verdict {
	return k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Other, Length: 100})
}

func TestAcceptedFlowIsReportedWhenServerAnswers(t *testing.T) {
	k := newTracker(orderView(5))
	v := k.FromNode(start, opening(1), nil, request(flow.PurposeOpen))
	wantAction(t, v, flow.ToServer, flow.NoNote)
	v = k.FromServer(start, &flow.Packet{Key: opening(1).Key, Kind: flow.Accepting})
	wantAction(t, v, flow.ToClient, flow.NoteHeld)
	if v.Balancer != balancerIP {
		t.Fatalf("reported to balancer %v", v.Balancer)
	}
}

func TestAgentChecksFlowsAgainstItsConfiguration(t *testing.T) {
	k := newTracker(orderView(5))
	p := opening(1)
	p.Key.Service = photos
	wantAction(t, k.FromNode(start, p, nil, request(flow.PurposeOpen)), flow.Reset, flow.NoteRefused)
	p.Key.Service.Port++
	wantAction(t, k.FromNode(start, p, nil, request(flow.PurposeOpen)), flow.Reset, flow.NoteRefused)

	r := request(flow.PurposeOpen, agentIP(3))
	r.Service = flow.ServiceHash("photos")
	if v := k.FromNode(start, opening(1), nil, r); v.Action != flow.Forward || v.To != agentIP(3) {
		t.Fatalf("flow of another service: got %v", v.Action)
	}
}

func TestFlowOfNewerConfigurationIsAccepted(t *testing.T) {
	k := newTracker(orderView(4))
	added := opening(1)
	added.Key.Service.Port++
	wantAction(t, k.FromNode(start, added, nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
	k.SetView(orderView(5))
	added = opening(2)
	added.Key.Service.Port++
	wantAction(t, k.FromNode(start, added, nil, request(flow.PurposeOpen)), flow.Reset, flow.NoteRefused)
}

// TestAgentDoesNotRevertToAnOlderConfiguration covers balancers with different configuration versions that use an
// agent whose version is older than all of theirs.
func TestAgentDoesNotRevertToAnOlderConfiguration(t *testing.T) {
	k := newTracker(orderView(4))
	openWith := func(now time.Duration, version uint64, n int) flow.Action {
		r := request(flow.PurposeOpen)
		r.Version = version
		return k.FromNode(now, opening(n), nil, r).Action
	}
	tolerance := 250 * time.Millisecond
	if openWith(start, 6, 1) != flow.ToServer || openWith(start+time.Millisecond, 5, 2) != flow.ToServer {
		t.Fatal("flow of version 6 or 5 was not accepted at first")
	}
	for version, want := range map[uint64]flow.Action{4: flow.Drop, 5: flow.Drop, 6: flow.ToServer, 7: flow.ToServer} {
		if got := openWith(start+tolerance, version, int(10+version)); got != want {
			t.Errorf("version %d after 250 ms: got %v, want %v", version, got, want)
		}
	}
	k.SetView(orderView(6))
	if got := openWith(start+tolerance, 5, 30); got != flow.ToServer {
		t.Fatalf("got %v although the agent has received the newer configuration", got)
	}
	if got := openWith(start+2*tolerance, 6, 31); got != flow.Drop {
		t.Fatalf("got %v for version 6 after version 7 was applied", got)
	}
}

func TestUnavailableServerPassesNewFlowsOn(t *testing.T) {
	draining := upstreamOf(1, "orders")
	draining.Draining = true
	for name, views := range map[string][]*registry.View{
		"draining": {viewAt(start, 5, draining)},
		"gone":     {orderView(5), viewAt(start, 5)},
	} {
		t.Run(name, func(t *testing.T) {
			k := newTracker(views[0])
			for _, view := range views[1:] {
				k.SetView(view)
			}
			v := k.FromNode(start, opening(1), nil, request(flow.PurposeOpen, agentIP(3), agentIP(5)))
			wantAction(t, v, flow.Forward, flow.NoteStatus)
			if v.To != agentIP(3) || !slices.Equal(v.Request.Remaining, []flow.IP{agentIP(5)}) {
				t.Fatalf("passed to %v and then %v", v.To, v.Request.Remaining)
			}
			wantAction(t, k.FromNode(start, opening(1), nil, request(flow.PurposeOpen)), flow.Reset, flow.NoteRefused)
		})
	}
}

func TestServerNotYetInViewAcceptsFlows(t *testing.T) {
	k := newTracker(viewAt(start, 5))
	wantAction(t, k.FromNode(start, opening(1), nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
}

// fillSlots starts requests on flows 0 to 3, one for each slot of the server.
func fillSlots(t *testing.T, k *flow.Tracker) {
	t.Helper()
	for n := range 4 {
		acceptFlow(t, k, start, n)
		sendRequest(k, start, n)
	}
}

func TestBusyServerPassesNewFlowsOn(t *testing.T) {
	k := newTracker(orderView(5))
	fillSlots(t, k)
	v := k.FromNode(start, opening(9), nil, request(flow.PurposeOpen, agentIP(3)))
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if offer := v.Request.Best; offer.Agent != agentIP(1) || offer.Wait == 0 || offer.Suspect {
		t.Fatalf("got offer %+v", offer)
	}
	final := request(flow.PurposeOpen)
	final.Best, final.Final = v.Request.Best, true
	wantAction(t, k.FromNode(start, opening(9), nil, final), flow.ToServer, flow.NoNote)
	sendAnswer(k, start, 0)
	sendAnswer(k, start, 1)
	wantAction(t, k.FromNode(start, opening(10), nil, request(flow.PurposeOpen, agentIP(3))), flow.ToServer, flow.NoNote)
}

func TestBestOfferWinsWhenAllServersAreFull(t *testing.T) {
	k := newTracker(orderView(5))
	fillSlots(t, k)
	worse := request(flow.PurposeOpen)
	worse.Best = flow.Offer{Agent: agentIP(3), Wait: 170 * time.Millisecond}
	wantAction(t, k.FromNode(start, opening(9), nil, worse), flow.ToServer, flow.NoNote)
	better := request(flow.PurposeOpen)
	better.Best = flow.Offer{Agent: agentIP(3), Wait: time.Millisecond}
	v := k.FromNode(start, opening(10), nil, better)
	wantAction(t, v, flow.Forward, flow.NoNote)
	if v.To != agentIP(3) || !v.Request.Final || len(v.Request.Remaining) != 0 {
		t.Fatalf("forwarded to %v, final %v, remaining %v", v.To, v.Request.Final, v.Request.Remaining)
	}
	late := request(flow.PurposeOpen)
	late.Best = flow.Offer{Agent: agentIP(3), Wait: time.Second}
	for n := 20; n < 40; n++ {
		if v = k.FromNode(start, opening(n), nil, late); v.Action == flow.Reset {
			return
		}
	}
	t.Fatalf("accepted 20 flows; the last verdict was %v", v.Action)
}

func TestReservationOfFlowWithoutRequestExpires(t *testing.T) {
	k := newTracker(orderView(5))
	for n := range 4 {
		acceptFlow(t, k, start, n)
	}
	if busy := k.Status(start).Busy; busy != 4 {
		t.Fatalf("got %d busy requests, want 4", busy)
	}
	if busy := k.Status(start + 150*time.Millisecond).Busy; busy != 0 {
		t.Fatalf("got %d busy requests after 150 ms without a request, want 0", busy)
	}
}

func TestFlowIsRefusedIfExpectedWaitIsTooLong(t *testing.T) {
	final := request(flow.PurposeOpen)
	final.Final = true
	for name, r := range map[string]flow.Request{"alone": request(flow.PurposeOpen), "final": final} {
		t.Run(name, func(t *testing.T) {
			k := newTracker(orderView(5))
			for n := range 100 {
				v := k.FromNode(start, opening(n), nil, r)
				if v.Action == flow.Reset {
					if n < 5 {
						t.Fatalf("refused with only %d requests on 4 slots", n)
					}
					return
				}
			}
			t.Fatal("accepted 100 flows at once")
		})
	}
}

// expectedWait returns the time in which a full server expects to answer a new flow.
func expectedWait(k *flow.Tracker, now time.Duration) time.Duration {
	return k.FromNode(now, opening(999), nil, request(flow.PurposeOpen, agentIP(3))).Request.Best.Wait
}

func TestServiceTimeExcludesRequestsThatWaited(t *testing.T) {
	k := newTracker(orderView(5))
	now := start
	for n := range 100 {
		acceptFlow(t, k, now, n)
		sendRequest(k, now, n)
		now += 40 * time.Millisecond
		sendAnswer(k, now, n)
	}
	for n := 200; n < 204; n++ {
		acceptFlow(t, k, now, n)
		sendRequest(k, now, n)
	}
	if got := expectedWait(k, now); got != 50*time.Millisecond {
		t.Fatalf("with 4 requests of 40 ms running on 4 slots, another one is expected to take %v, want 50 ms", got)
	}
	final := request(flow.PurposeOpen)
	final.Final = true
	for n := 204; n < 206; n++ {
		k.FromNode(now, opening(n), nil, final)
		k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		sendRequest(k, now, n)
	}
	now += 400 * time.Millisecond
	sendAnswer(k, now, 204)
	sendAnswer(k, now, 205)
	if got := expectedWait(k, now); got != 50*time.Millisecond {
		t.Fatalf("expected time is %v after requests that waited, want 50 ms", got)
	}
}

func TestServiceTimeIsMeasuredIfCloseOvertakesAnswer(t *testing.T) {
	k := newTracker(orderView(5))
	now := start
	for n := range 20 {
		acceptFlow(t, k, now, n)
		sendRequest(k, now, n)
		now += 40 * time.Millisecond
		k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Closing})
		sendAnswer(k, now, n)
	}
	for n := 200; n < 204; n++ {
		acceptFlow(t, k, now, n)
		sendRequest(k, now, n)
	}
	if got := expectedWait(k, now); got != 50*time.Millisecond {
		t.Fatalf("with 4 requests of 40 ms running on 4 slots, another one is expected to take %v, want 50 ms", got)
	}
}

// TestOneShortRequestDoesNotOverfillTheQueue covers a server that answers its first request after a start very
// quickly. The agent must not conclude that every request is that short.
func TestOneShortRequestDoesNotOverfillTheQueue(t *testing.T) {
	k := newTracker(orderView(5))
	acceptFlow(t, k, start, 0)
	sendRequest(k, start, 0)
	now := start + 5*time.Millisecond
	sendAnswer(k, now, 0)
	taken := 0
	for n := 1; n < 100; n++ {
		if k.FromNode(now, opening(n), nil, request(flow.PurposeOpen)).Action == flow.ToServer {
			taken++
		}
	}
	if taken > 20 {
		t.Fatalf("accepted %d flows at once with 4 slots", taken)
	}
}

// setPeers delivers the medians of the peers and returns a time by which the server may be compared with them.
func setPeers(k *flow.Tracker, peers flow.PeerStats) (now time.Duration) {
	k.SetPeers(start, peers)
	now = start + 3*time.Second
	k.SetPeers(now, peers)
	return now
}

func TestServerThatAnswersTooEarlyBecomesSuspect(t *testing.T) {
	k := newTracker(orderView(5))
	now := setPeers(k, flow.PeerStats{ServiceTime: 40 * time.Millisecond})
	for n := range 20 {
		acceptFlow(t, k, now, n)
		sendRequest(k, now, n)
		now += time.Millisecond
		sendAnswer(k, now, n)
		if k.Suspect() && n < 7 {
			t.Fatalf("suspect after %d requests", n+1)
		}
	}
	if !k.Suspect() || k.Status(now).ServiceTime != 0 {
		t.Fatalf("suspect %v, service time %v", k.Suspect(), k.Status(now).ServiceTime)
	}
	v := k.FromNode(now, opening(30), nil, request(flow.PurposeOpen, agentIP(3)))
	if v.Action == flow.ToServer {
		// The first flow may have been accepted as a trial.
		v = k.FromNode(now, opening(31), nil, request(flow.PurposeOpen, agentIP(3)))
	}
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if offer := v.Request.Best; offer.Agent != agentIP(1) || !offer.Suspect {
		t.Fatalf("got offer %+v", offer)
	}
	wantAction(t, k.FromNode(now, opening(32), nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
}

func TestFullServerIsPreferredToSuspectOne(t *testing.T) {
	k := newTracker(orderView(5))
	fillSlots(t, k)
	for _, c := range []struct {
		best flow.Offer
		want flow.Action
	}{
		{flow.Offer{Agent: agentIP(3), Wait: time.Millisecond, Suspect: true}, flow.ToServer},
		{flow.Offer{Agent: agentIP(3), Wait: time.Millisecond}, flow.Forward},
	} {
		r := request(flow.PurposeOpen)
		r.Best = c.best
		if v := k.FromNode(start, opening(20), nil, r); v.Action != c.want {
			t.Errorf("got %v against the offer %+v, want %v", v.Action, c.best, c.want)
		}
	}
}

// TestHangingRequestsMakeServerSuspect lets every second request run much longer than those of the peers.
func TestHangingRequestsMakeServerSuspect(t *testing.T) {
	k := newTracker(orderView(5))
	now := setPeers(k, flow.PeerStats{ServiceTime: 40 * time.Millisecond})
	for n := range 20 {
		acceptFlow(t, k, now, n)
		sendRequest(k, now, n)
		now += 40 * time.Millisecond
		if n%2 == 0 {
			now += time.Second
			k.Check(now)
		}
		sendAnswer(k, now, n)
	}
	if !k.Suspect() {
		t.Fatal("server is not suspect")
	}
	if got := k.Status(now).ServiceTime; got != 40*time.Millisecond {
		t.Fatalf("service time %v", got)
	}
}

func TestOneLongRequestDoesNotDominateServiceTime(t *testing.T) {
	k := newTracker(orderView(5))
	now := start
	for n, took := range []time.Duration{160, 40, 40, 40, 40, 40} {
		acceptFlow(t, k, now, n)
		sendRequest(k, now, n)
		now += took * time.Millisecond
		sendAnswer(k, now, n)
	}
	for n := 200; n < 204; n++ {
		acceptFlow(t, k, now, n)
		sendRequest(k, now, n)
	}
	if got := expectedWait(k, now); got > 100*time.Millisecond {
		t.Fatalf("another request is expected to take %v, want at most 100 ms", got)
	}
}

func TestSlowServerGetsTrialFlows(t *testing.T) {
	k := newTracker(orderView(5))
	now := start
	for n := range 30 {
		k.FromNode(now, opening(n), nil, request(flow.PurposeOpen))
		k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		sendRequest(k, now, n)
		now += 400 * time.Millisecond
		sendAnswer(k, now, n)
	}
	taken, slowSince := 0, now
	for n := 100; n < 200; n++ {
		now += 20 * time.Millisecond
		v := k.FromNode(now, opening(n), nil, request(flow.PurposeOpen, agentIP(3)))
		if v.Action != flow.ToServer {
			continue
		}
		taken++
		k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		sendRequest(k, now, n)
		now += 400 * time.Millisecond
		sendAnswer(k, now, n)
	}
	limit := 1 + int((now-slowSince)/flow.DefaultTrackerConfig("", flow.Endpoint{}).SlowTrialInterval)
	if taken < 1 || taken > limit {
		t.Fatalf("slow server was given %d flows in %v, want at least 1 and at most %d", taken, now-slowSince, limit)
	}
	for n := 200; n < 300; n++ {
		now += 20 * time.Millisecond
		if k.FromNode(now, opening(n), nil, request(flow.PurposeOpen, agentIP(3))).Action != flow.ToServer {
			continue
		}
		k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		sendRequest(k, now, n)
		now += 20 * time.Millisecond
		sendAnswer(k, now, n)
	}
	acceptFlow(t, k, now, 300)
}

func TestSearchContinuesAfterServerReturnsPacket(t *testing.T) {
	k := newTracker(orderView(5))
	wantAction(t, k.FromNode(start, dataPacket(1), nil, request(flow.PurposeSearch, agentIP(3))), flow.ToServer, flow.NoNote)
	returned := dataPacket(1)
	returned.Returned = true
	v := k.FromServer(start, returned)
	wantAction(t, v, flow.Forward, flow.NoNote)
	if v.To != agentIP(3) || v.Request.Purpose != flow.PurposeSearch {
		t.Fatalf("forwarded to %v", v.To)
	}

	wantAction(t, k.FromNode(start, dataPacket(2), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
	returned = dataPacket(2)
	returned.Returned = true
	v = k.FromServer(start, returned)
	wantAction(t, v, flow.Drop, flow.NoteDenied)
	if v.Request.SearchID != 9 || v.Request.Outdated() {
		t.Fatalf("got denial %+v", v.Request)
	}

	acceptFlow(t, k, start, 3)
	sendRequest(k, start, 3)
	returned = dataPacket(3)
	returned.Returned = true
	v = k.FromServer(start, returned)
	wantAction(t, v, flow.Return, flow.NoNote)
	if v.To != balancerIP {
		t.Fatalf("returned to %v", v.To)
	}
}

// check makes the number of checks that an agent needs before it decides that its server is silent.
func check(k *flow.Tracker, until time.Duration) (silent bool) {
	for range flow.DefaultTrackerConfig("", flow.Endpoint{}).MinChecks {
		silent = k.Check(until) || silent
	}
	return silent
}

func TestSearchContinuesPastSilentServer(t *testing.T) {
	k := newTracker(orderView(5))
	wantAction(t, k.FromNode(start, dataPacket(1), []byte("raw"), request(flow.PurposeSearch, agentIP(3))), flow.ToServer, flow.NoNote)
	wantAction(t, k.FromNode(start, dataPacket(2), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
	now := start + flow.DefaultTrackerConfig("", flow.Endpoint{}).DenyAfter
	k.Check(start + time.Minute)
	if _, p, _ := k.NextUnanswered(start + time.Minute); p != nil {
		t.Fatal("a pause of the agent was mistaken for a pause of the server")
	}
	check(k, now)
	if _, p, _ := k.NextUnanswered(now - 1); p != nil {
		t.Fatal("server was given up before its time to answer had passed")
	}
	v, p, raw := k.NextUnanswered(now)
	wantAction(t, v, flow.Forward, flow.NoNote)
	if v.To != agentIP(3) || p.Key != dataPacket(1).Key || string(raw) != "raw" {
		t.Fatalf("packet %v with raw form %q was forwarded to %v", p, raw, v.To)
	}
	v, _, _ = k.NextUnanswered(now)
	wantAction(t, v, flow.Drop, flow.NoteDenied)
	if _, p, _ := k.NextUnanswered(now); p != nil {
		t.Fatal("got a second decision on the same packet")
	}
}

func TestAgentDoesNotDenyForResponsiveServer(t *testing.T) {
	k := newTracker(orderView(5))
	wantAction(t, k.FromNode(start, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
	now := start + time.Second
	check(k, now)
	acceptFlow(t, k, now, 2)
	if v, p, _ := k.NextUnanswered(now); p != nil {
		t.Fatalf("got %v", v.Action)
	}
}

func TestPacketForSilentOwnerIsReturned(t *testing.T) {
	k := newTracker(orderView(5))
	wantAction(t, k.FromNode(start, dataPacket(1), []byte("raw"), request(flow.PurposeDeliver)), flow.ToServer, flow.NoNote)
	now := start + time.Second
	check(k, now)
	v, p, raw := k.NextUnanswered(now)
	if p == nil || v.Action != flow.Return || v.To != balancerIP || string(raw) != "raw" {
		t.Fatalf("got %v to %v", v.Action, v.To)
	}
}

func TestFlowsOfSilentServerAreReset(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	k := newTracker(orderView(5))
	for n := range config.SilentPackets + 1 {
		acceptFlow(t, k, start, n)
		sendRequest(k, start, n)
		sendAnswer(k, start, n)
	}
	for n := range config.SilentPackets {
		sendRequest(k, start, n)
	}
	if check(k, start+config.SilentAfter-1) {
		t.Fatal("server was given up before its time to answer had passed")
	}
	k.Check(start + config.SilentAfter)
	stalled := k.EndStalled()
	if len(stalled) != config.SilentPackets || stalled[opening(0).Key] != 77 {
		t.Fatalf("got stalled flows %v", stalled)
	}
	now := start + config.SilentAfter
	v := sendRequest(k, now, config.SilentPackets)
	if v.Action == flow.ToServer {
		// The first packet may have been delivered as a trial.
		v = sendRequest(k, now, config.SilentPackets)
	}
	if v.Action != flow.Reset || v.Seq != 77 {
		t.Fatalf("got %v: %s", v.Action, v.Reason)
	}
	acceptFlow(t, k, now+time.Second, 100)
	if v := sendRequest(k, now+time.Second, 100); v.Action != flow.ToServer {
		t.Fatalf("got %v after the server has answered again", v.Action)
	}
}

// TestAgentResetsNoFlowThatMayBeOpenElsewhere covers a server that answers the opening packet of a flow which its
// client has opened at another server.
func TestAgentResetsNoFlowThatMayBeOpenElsewhere(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	k := newTracker(orderView(5))
	for n := range config.SilentPackets + 1 {
		acceptFlow(t, k, start, n)
	}
	for n := range config.SilentPackets + 1 {
		sendRequest(k, start, n)
	}
	if !check(k, start+config.SilentAfter) {
		t.Fatal("server does not count as silent")
	}
	if stalled := k.EndStalled(); len(stalled) != 0 {
		t.Fatalf("got stalled flows %v", stalled)
	}
	sendRequest(k, start+config.SilentAfter, 0)
	wantAction(t, sendRequest(k, start+config.SilentAfter, 1), flow.Return, flow.NoNote)
	if lost := k.ServerDown(); len(lost) != 0 {
		t.Fatalf("got lost flows %v", lost)
	}
}

func TestServerThatAcknowledgesIsNotSilent(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	k := newTracker(orderView(5))
	for n := range config.SilentPackets {
		acceptFlow(t, k, start, n)
	}
	now := start
	for range 20 {
		for n := range config.SilentPackets {
			sendRequest(k, now, n)
			now += config.SilentAfter / 10
			k.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Other})
		}
		if check(k, now) {
			t.Fatal("server that acknowledges packets counts as silent")
		}
	}
}

func TestAgentDeniesFlowsOfStoppedServer(t *testing.T) {
	k := newTracker(orderView(5))
	k.ServerDown()
	k.FromNode(start, dataPacket(9), nil, request(flow.PurposeSearch))
	wantAction(t, k.FromNode(start, dataPacket(1), nil, request(flow.PurposeSearch)), flow.Drop, flow.NoteDenied)
	now := start + time.Second
	acceptFlow(t, k, now, 2)
	wantAction(t, k.FromNode(now, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
}

func TestLongRunningAgentDeniesUnknownFlows(t *testing.T) {
	k := newTracker(orderView(5))
	now := start + time.Minute
	acceptFlow(t, k, now, 1)
	wantAction(t, k.FromNode(now, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoteHeld)
	wantAction(t, k.FromNode(now, dataPacket(2), nil, request(flow.PurposeSearch)), flow.Drop, flow.NoteDenied)
	k.SetView(viewAt(start, 6, upstreamOf(1, "orders")))
	if v := k.FromNode(now, dataPacket(2), nil, request(flow.PurposeSearch)); !v.Request.Outdated() {
		t.Fatal("agent that knows of a later change did not mark the search as outdated")
	}
}

func TestReturnedOpeningPacketGoesToNextAgent(t *testing.T) {
	k := newTracker(orderView(5))
	k.FromNode(start, opening(1), nil, request(flow.PurposeOpen, agentIP(3)))
	returned := opening(1)
	returned.Returned = true
	v := k.FromServer(start, returned)
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if v.To != agentIP(3) {
		t.Fatalf("forwarded to %v", v.To)
	}
	k.FromNode(start, opening(2), nil, request(flow.PurposeOpen))
	returned = opening(2)
	returned.Returned = true
	wantAction(t, k.FromServer(start, returned), flow.Reset, flow.NoteRefused)
}

func TestUnhealthyServerGetsOnlyTrialFlows(t *testing.T) {
	k := newTracker(orderView(5))
	now := start
	for n := range 4 {
		k.FromNode(now, opening(n), nil, request(flow.PurposeOpen, agentIP(3)))
		now += 100 * time.Millisecond
	}
	if k.Accepting(now) || !k.NeedsProcessCheck(now) {
		t.Fatal("server that answered nothing counts as healthy")
	}
	given := 0
	for n := range 100 {
		if v := k.FromNode(now, opening(100+n), nil, request(flow.PurposeOpen, agentIP(3))); v.Action == flow.ToServer {
			given++
		}
		now += 10 * time.Millisecond
	}
	if given < 3 || given > 7 {
		t.Fatalf("got %d trials in a second, want 3 to 7", given)
	}
	k.FromServer(now, &flow.Packet{Key: opening(100).Key, Kind: flow.Accepting})
	if !k.Accepting(now) {
		t.Fatal("server that answers again is not accepting flows")
	}
}

func TestFlowsOfStoppedServerAreReset(t *testing.T) {
	k := newTracker(orderView(5))
	acceptFlow(t, k, start, 1)
	sendRequest(k, start, 1)
	sendAnswer(k, start, 1)
	acceptFlow(t, k, start, 2)
	k.FromServer(start, &flow.Packet{Key: opening(2).Key, Kind: flow.Closing})
	lost := k.ServerDown()
	if len(lost) != 1 || lost[opening(1).Key] != 77 {
		t.Fatalf("got lost flows %v", lost)
	}
	if w := k.Status(start); w.Flows != 0 || w.Busy != 0 || w.Accepting {
		t.Fatalf("got status %+v", w)
	}
}

func TestReusedClientPortOpensANewFlow(t *testing.T) {
	k := newTracker(orderView(5))
	acceptFlow(t, k, start, 1)
	k.FromServer(start, &flow.Packet{Key: opening(1).Key, Kind: flow.Closing})
	if flows := k.Status(start).Flows; flows != 0 {
		t.Fatalf("got %d flows after the flow ended, want 0", flows)
	}
	acceptFlow(t, k, start+time.Second, 1)
	if flows := k.Status(start).Flows; flows != 1 {
		t.Fatalf("got %d flows, want 1", flows)
	}
}

func TestIdleFlowsAreRemoved(t *testing.T) {
	k := newTracker(orderView(5))
	acceptFlow(t, k, start, 1)
	sendRequest(k, start, 1)
	k.Sweep(start + 6*time.Second)
	if w := k.Status(start + 6*time.Second); w.Busy != 0 || w.Flows != 1 {
		t.Fatalf("got status %+v after a request of 6 s", w)
	}
	k.Sweep(start + 20*time.Second)
	if flows := k.Status(start + 20*time.Second).Flows; flows != 0 {
		t.Fatalf("got %d flows after the idle time-out, want 0", flows)
	}
}
