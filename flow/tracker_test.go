package flow_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

var balancerIP = flow.IP{10, 9, 0, 1}

// repeatable makes the routes of a view repeatable.
func repeatable(view *registry.View) *registry.View {
	for i := range view.Configuration.Routes {
		view.Configuration.Routes[i].Repeatable = true
	}
	return view
}

// newTracker returns the Tracker beside server 1 of the service "orders".
func newTracker(view *registry.View) *flow.Tracker {
	tracker := flow.NewTracker(flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort}), start)
	tracker.SetView(view)
	return tracker
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
func acceptFlow(t *testing.T, tracker *flow.Tracker, now time.Duration, n int) {
	t.Helper()
	wantAction(t, tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
	wantAction(t, tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting}), flow.ToClient, flow.NoteHeld)
}

// sendRequest lets a client send a request on an open flow, and sendAnswer lets the server answer it.
func sendRequest(tracker *flow.Tracker, now time.Duration, n int) flow.Verdict {
	return tracker.FromNode(now, nextData(n), nil, request(flow.PurposeDeliver))
}

// nextData returns a data packet whose sequence numbers follow those of all earlier ones.
func nextData(n int) *flow.Packet {
	p := dataPacket(n)
	p.Seq = uint32(p.Length) * sentPackets.Add(1)
	return p
}

var sentPackets atomic.Uint32

func sendAnswer(tracker *flow.Tracker, now time.Duration, n int) flow.Verdict {
	return tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Other, Length: 100})
}

func TestAcceptedFlowIsReportedWhenServerAnswers(t *testing.T) {
	tracker := newTracker(orderView(5))
	v := tracker.FromNode(start, opening(1), nil, request(flow.PurposeOpen))
	wantAction(t, v, flow.ToServer, flow.NoNote)
	v = tracker.FromServer(start, &flow.Packet{Key: opening(1).Key, Kind: flow.Accepting})
	wantAction(t, v, flow.ToClient, flow.NoteHeld)
	if v.Balancer != balancerIP {
		t.Fatalf("reported to balancer %v", v.Balancer)
	}
}

func TestAgentChecksFlowsAgainstItsConfiguration(t *testing.T) {
	tracker := newTracker(orderView(5))
	p := opening(1)
	p.Key.Service = photos
	wantAction(t, tracker.FromNode(start, p, nil, request(flow.PurposeOpen)), flow.Reset, flow.NoteRefused)
	p.Key.Service.Port++
	wantAction(t, tracker.FromNode(start, p, nil, request(flow.PurposeOpen)), flow.Reset, flow.NoteRefused)

	r := request(flow.PurposeOpen, agentIP(3))
	r.Service = flow.ServiceHash("photos")
	if v := tracker.FromNode(start, opening(1), nil, r); v.Action != flow.Forward || v.To != agentIP(3) {
		t.Fatalf("flow of another service: got %v", v.Action)
	}
}

func TestFlowOfNewerConfigurationIsAccepted(t *testing.T) {
	tracker := newTracker(orderView(4))
	added := opening(1)
	added.Key.Service.Port++
	wantAction(t, tracker.FromNode(start, added, nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
	tracker.SetView(orderView(5))
	added = opening(2)
	added.Key.Service.Port++
	wantAction(t, tracker.FromNode(start, added, nil, request(flow.PurposeOpen)), flow.Reset, flow.NoteRefused)
}

// TestAgentDoesNotRevertToAnOlderConfiguration covers balancers with different configuration versions that use an
// agent whose version is older than all of theirs.
func TestAgentDoesNotRevertToAnOlderConfiguration(t *testing.T) {
	tracker := newTracker(orderView(4))
	openWith := func(now time.Duration, version uint64, n int) flow.Action {
		r := request(flow.PurposeOpen)
		r.Version = version
		return tracker.FromNode(now, opening(n), nil, r).Action
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
	tracker.SetView(orderView(6))
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
			tracker := newTracker(views[0])
			for _, view := range views[1:] {
				tracker.SetView(view)
			}
			v := tracker.FromNode(start, opening(1), nil, request(flow.PurposeOpen, agentIP(3), agentIP(5)))
			wantAction(t, v, flow.Forward, flow.NoteStatus)
			if v.To != agentIP(3) || !slices.Equal(v.Request.Remaining, []flow.IP{agentIP(5)}) {
				t.Fatalf("passed to %v and then %v", v.To, v.Request.Remaining)
			}
			wantAction(t, tracker.FromNode(start, opening(1), nil, request(flow.PurposeOpen)), flow.Reset, flow.NoteRefused)
		})
	}
}

func TestServerNotYetInViewAcceptsFlows(t *testing.T) {
	tracker := newTracker(viewAt(start, 5))
	wantAction(t, tracker.FromNode(start, opening(1), nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
}

// fillSlots starts requests on flows 0 to 3, one for each slot of the server.
func fillSlots(t *testing.T, tracker *flow.Tracker) {
	t.Helper()
	for n := range 4 {
		acceptFlow(t, tracker, start, n)
		sendRequest(tracker, start, n)
	}
}

func TestBusyServerPassesNewFlowsOn(t *testing.T) {
	tracker := newTracker(orderView(5))
	fillSlots(t, tracker)
	v := tracker.FromNode(start, opening(9), nil, request(flow.PurposeOpen, agentIP(3)))
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if offer := v.Request.Best; offer.Agent != agentIP(1) || offer.Wait == 0 || offer.Suspect {
		t.Fatalf("got offer %+v", offer)
	}
	final := request(flow.PurposeOpen)
	final.Best, final.Final = v.Request.Best, true
	wantAction(t, tracker.FromNode(start, opening(9), nil, final), flow.ToServer, flow.NoNote)
	sendAnswer(tracker, start, 0)
	sendAnswer(tracker, start, 1)
	wantAction(t, tracker.FromNode(start, opening(10), nil, request(flow.PurposeOpen, agentIP(3))), flow.ToServer, flow.NoNote)
}

func TestBestOfferWinsWhenAllServersAreFull(t *testing.T) {
	tracker := newTracker(orderView(5))
	fillSlots(t, tracker)
	worse := request(flow.PurposeOpen)
	worse.Best = flow.Offer{Agent: agentIP(3), Wait: 170 * time.Millisecond}
	wantAction(t, tracker.FromNode(start, opening(9), nil, worse), flow.ToServer, flow.NoNote)
	better := request(flow.PurposeOpen)
	better.Best = flow.Offer{Agent: agentIP(3), Wait: time.Millisecond}
	v := tracker.FromNode(start, opening(10), nil, better)
	wantAction(t, v, flow.Forward, flow.NoNote)
	if v.To != agentIP(3) || !v.Request.Final || len(v.Request.Remaining) != 0 {
		t.Fatalf("forwarded to %v, final %v, remaining %v", v.To, v.Request.Final, v.Request.Remaining)
	}
	late := request(flow.PurposeOpen)
	late.Best = flow.Offer{Agent: agentIP(3), Wait: time.Second}
	for n := 20; n < 40; n++ {
		if v = tracker.FromNode(start, opening(n), nil, late); v.Action == flow.Reset {
			return
		}
	}
	t.Fatalf("accepted 20 flows; the last verdict was %v", v.Action)
}

func TestReservationOfFlowWithoutRequestExpires(t *testing.T) {
	tracker := newTracker(orderView(5))
	for n := range 4 {
		acceptFlow(t, tracker, start, n)
	}
	if busy := tracker.Status(start).Busy; busy != 4 {
		t.Fatalf("got %d busy requests, want 4", busy)
	}
	if busy := tracker.Status(start + 150*time.Millisecond).Busy; busy != 0 {
		t.Fatalf("got %d busy requests after 150 ms without a request, want 0", busy)
	}
}

func TestFlowIsRefusedIfExpectedWaitIsTooLong(t *testing.T) {
	final := request(flow.PurposeOpen)
	final.Final = true
	for name, r := range map[string]flow.Request{"alone": request(flow.PurposeOpen), "final": final} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker(orderView(5))
			for n := range 100 {
				v := tracker.FromNode(start, opening(n), nil, r)
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
func expectedWait(tracker *flow.Tracker, now time.Duration) time.Duration {
	return tracker.FromNode(now, opening(999), nil, request(flow.PurposeOpen, agentIP(3))).Request.Best.Wait
}

func TestServiceTimeExcludesRequestsThatWaited(t *testing.T) {
	tracker := newTracker(orderView(5))
	now := start
	for n := range 100 {
		acceptFlow(t, tracker, now, n)
		sendRequest(tracker, now, n)
		now += 40 * time.Millisecond
		sendAnswer(tracker, now, n)
	}
	for n := 200; n < 204; n++ {
		acceptFlow(t, tracker, now, n)
		sendRequest(tracker, now, n)
	}
	if got := expectedWait(tracker, now); got != 50*time.Millisecond {
		t.Fatalf("with 4 requests of 40 ms running on 4 slots, another one is expected to take %v, want 50 ms", got)
	}
	final := request(flow.PurposeOpen)
	final.Final = true
	tracker.FromNode(now, opening(204), nil, final)
	tracker.FromServer(now, &flow.Packet{Key: opening(204).Key, Kind: flow.Accepting})
	wantAction(t, sendRequest(tracker, now, 204), flow.ToServer, flow.NoNote)
	now += 400 * time.Millisecond
	sendAnswer(tracker, now, 204)
	if got := expectedWait(tracker, now); got != 50*time.Millisecond {
		t.Fatalf("expected time is %v after requests that waited, want 50 ms", got)
	}
}

func TestServiceTimeIsMeasuredIfCloseOvertakesAnswer(t *testing.T) {
	tracker := newTracker(orderView(5))
	now := start
	for n := range 20 {
		acceptFlow(t, tracker, now, n)
		sendRequest(tracker, now, n)
		now += 40 * time.Millisecond
		tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Closing})
		sendAnswer(tracker, now, n)
	}
	for n := 200; n < 204; n++ {
		acceptFlow(t, tracker, now, n)
		sendRequest(tracker, now, n)
	}
	if got := expectedWait(tracker, now); got != 50*time.Millisecond {
		t.Fatalf("with 4 requests of 40 ms running on 4 slots, another one is expected to take %v, want 50 ms", got)
	}
}

// TestOneShortRequestDoesNotOverfillTheQueue covers a server that answers its first request after a start very
// quickly. The agent must not conclude that every request is that short.
// TestServiceTimeStartsWhenTheSlotIsFree covers a request that waited for the only slot until the client of the running
// one reset its flow.
func TestServiceTimeStartsWhenTheSlotIsFree(t *testing.T) {
	server := upstreamOf(1, "orders")
	server.Slots = 1
	tracker := newTracker(viewAt(start, 5, server))
	for n := range 2 {
		tracker.FromNode(start, opening(n), nil, request(flow.PurposeDeliver))
		tracker.FromServer(start, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		sendRequest(tracker, start, n)
	}
	now := start + 400*time.Millisecond
	reset := dataPacket(0)
	reset.Kind, reset.Length = flow.Resetting, 0
	tracker.FromNode(now, reset, nil, request(flow.PurposeDeliver))
	now += 40 * time.Millisecond
	sendAnswer(tracker, now, 1)
	if got := tracker.Status(now).ServiceTime; got != 40*time.Millisecond {
		t.Fatalf("the request took %v according to the agent, want 40ms", got)
	}
}

func TestOneShortRequestDoesNotOverfillTheQueue(t *testing.T) {
	tracker := newTracker(orderView(5))
	acceptFlow(t, tracker, start, 0)
	sendRequest(tracker, start, 0)
	now := start + 5*time.Millisecond
	sendAnswer(tracker, now, 0)
	accepted := 0
	for n := 1; n < 100; n++ {
		if tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen)).Action == flow.ToServer {
			accepted++
		}
	}
	if accepted > 20 {
		t.Fatalf("accepted %d flows at once with 4 slots", accepted)
	}
}

// setPeers delivers the medians of the peers and returns a time by which the server may be compared with them.
func setPeers(tracker *flow.Tracker, peers flow.PeerStats) (now time.Duration) {
	tracker.SetPeers(start, peers)
	now = start + 3*time.Second
	tracker.SetPeers(now, peers)
	return now
}

func TestServerThatAnswersTooEarlyBecomesSuspect(t *testing.T) {
	tracker := newTracker(orderView(5))
	now := setPeers(tracker, flow.PeerStats{ServiceTime: 40 * time.Millisecond})
	for n := range 20 {
		acceptFlow(t, tracker, now, n)
		sendRequest(tracker, now, n)
		now += time.Millisecond
		sendAnswer(tracker, now, n)
		if tracker.Suspect() && n < 7 {
			t.Fatalf("suspect after %d requests", n+1)
		}
	}
	if !tracker.Suspect() || tracker.Status(now).ServiceTime != 0 {
		t.Fatalf("suspect %v, service time %v", tracker.Suspect(), tracker.Status(now).ServiceTime)
	}
	v := tracker.FromNode(now, opening(30), nil, request(flow.PurposeOpen, agentIP(3)))
	if v.Action == flow.ToServer {
		// The first flow may have been accepted as a trial.
		v = tracker.FromNode(now, opening(31), nil, request(flow.PurposeOpen, agentIP(3)))
	}
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if offer := v.Request.Best; offer.Agent != agentIP(1) || !offer.Suspect {
		t.Fatalf("got offer %+v", offer)
	}
	wantAction(t, tracker.FromNode(now, opening(32), nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
}

func TestFullServerIsPreferredToSuspectOne(t *testing.T) {
	tracker := newTracker(orderView(5))
	fillSlots(t, tracker)
	for _, c := range []struct {
		best flow.Offer
		want flow.Action
	}{
		{flow.Offer{Agent: agentIP(3), Wait: time.Millisecond, Suspect: true}, flow.ToServer},
		{flow.Offer{Agent: agentIP(3), Wait: time.Millisecond}, flow.Forward},
	} {
		r := request(flow.PurposeOpen)
		r.Best = c.best
		if v := tracker.FromNode(start, opening(20), nil, r); v.Action != c.want {
			t.Errorf("got %v against the offer %+v, want %v", v.Action, c.best, c.want)
		}
	}
}

// TestHangingRequestsMakeServerSuspect lets every second request run much longer than those of the peers.
func TestHangingRequestsMakeServerSuspect(t *testing.T) {
	tracker := newTracker(orderView(5))
	now := setPeers(tracker, flow.PeerStats{ServiceTime: 40 * time.Millisecond})
	for n := range 20 {
		acceptFlow(t, tracker, now, n)
		sendRequest(tracker, now, n)
		now += 40 * time.Millisecond
		if n%2 == 0 {
			now += time.Second
			tracker.Check(now)
		}
		sendAnswer(tracker, now, n)
	}
	if !tracker.Suspect() {
		t.Fatal("server is not suspect")
	}
	if got := tracker.Status(now).ServiceTime; got != 40*time.Millisecond {
		t.Fatalf("service time %v", got)
	}
}

func TestOneLongRequestDoesNotDominateServiceTime(t *testing.T) {
	tracker := newTracker(orderView(5))
	now := start
	for n, took := range []time.Duration{160, 40, 40, 40, 40, 40} {
		acceptFlow(t, tracker, now, n)
		sendRequest(tracker, now, n)
		now += took * time.Millisecond
		sendAnswer(tracker, now, n)
	}
	for n := 200; n < 204; n++ {
		acceptFlow(t, tracker, now, n)
		sendRequest(tracker, now, n)
	}
	if got := expectedWait(tracker, now); got > 100*time.Millisecond {
		t.Fatalf("another request is expected to take %v, want at most 100 ms", got)
	}
}

func TestSlowServerGetsTrialFlows(t *testing.T) {
	tracker := newTracker(orderView(5))
	now := start
	for n := range 30 {
		tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen))
		tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		sendRequest(tracker, now, n)
		now += 400 * time.Millisecond
		sendAnswer(tracker, now, n)
	}
	accepted, slowSince := 0, now
	for n := 100; n < 200; n++ {
		now += 20 * time.Millisecond
		v := tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen, agentIP(3)))
		if v.Action != flow.ToServer {
			continue
		}
		accepted++
		tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		sendRequest(tracker, now, n)
		now += 400 * time.Millisecond
		sendAnswer(tracker, now, n)
	}
	limit := 1 + int((now-slowSince)/flow.DefaultTrackerConfig("", flow.Endpoint{}).SlowTrialInterval)
	if accepted < 1 || accepted > limit {
		t.Fatalf("slow server was given %d flows in %v, want at least 1 and at most %d", accepted, now-slowSince, limit)
	}
	for n := 200; n < 300; n++ {
		now += 20 * time.Millisecond
		if tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen, agentIP(3))).Action != flow.ToServer {
			continue
		}
		tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
		sendRequest(tracker, now, n)
		now += 20 * time.Millisecond
		sendAnswer(tracker, now, n)
	}
	acceptFlow(t, tracker, now, 300)
}

func TestSearchContinuesAfterServerReturnsPacket(t *testing.T) {
	tracker := newTracker(orderView(5))
	wantAction(t, tracker.FromNode(start, dataPacket(1), nil, request(flow.PurposeSearch, agentIP(3))), flow.ToServer, flow.NoNote)
	returned := dataPacket(1)
	returned.Returned = true
	v := tracker.FromServer(start, returned)
	wantAction(t, v, flow.Forward, flow.NoNote)
	if v.To != agentIP(3) || v.Request.Purpose != flow.PurposeSearch {
		t.Fatalf("forwarded to %v", v.To)
	}

	wantAction(t, tracker.FromNode(start, dataPacket(2), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
	returned = dataPacket(2)
	returned.Returned = true
	v = tracker.FromServer(start, returned)
	wantAction(t, v, flow.Drop, flow.NoteDenied)
	if v.Request.SearchID != 9 || v.Request.Outdated() {
		t.Fatalf("got denial %+v", v.Request)
	}

	acceptFlow(t, tracker, start, 3)
	sendRequest(tracker, start, 3)
	returned = dataPacket(3)
	returned.Returned = true
	v = tracker.FromServer(start, returned)
	wantAction(t, v, flow.Return, flow.NoNote)
	if v.To != balancerIP {
		t.Fatalf("returned to %v", v.To)
	}
}

// check makes the number of checks that an agent needs before it decides that its server is silent.
func check(tracker *flow.Tracker, until time.Duration) (silent bool) {
	for range flow.DefaultTrackerConfig("", flow.Endpoint{}).MinChecks {
		silent = tracker.Check(until) || silent
	}
	return silent
}

func TestSearchContinuesPastSilentServer(t *testing.T) {
	tracker := newTracker(orderView(5))
	wantAction(t, tracker.FromNode(start, dataPacket(1), []byte("raw"), request(flow.PurposeSearch, agentIP(3))), flow.ToServer, flow.NoNote)
	wantAction(t, tracker.FromNode(start, dataPacket(2), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
	now := start + flow.DefaultTrackerConfig("", flow.Endpoint{}).ContinueAfter
	tracker.Check(start + time.Minute)
	if _, p, _ := tracker.NextUnanswered(start + time.Minute); p != nil {
		t.Fatal("a pause of the agent was mistaken for a pause of the server")
	}
	check(tracker, now)
	if _, p, _ := tracker.NextUnanswered(now - 1); p != nil {
		t.Fatal("search continued before the server's time to answer had passed")
	}
	v, p, raw := tracker.NextUnanswered(now)
	wantAction(t, v, flow.Forward, flow.NoNote)
	if v.To != agentIP(3) || p.Key != dataPacket(1).Key || string(raw) != "raw" || !v.Request.Outdated() {
		t.Fatalf("packet %v with raw form %q was forwarded to %v, outdated %v", p, raw, v.To, v.Request.Outdated())
	}
	v, _, _ = tracker.NextUnanswered(now)
	wantAction(t, v, flow.Drop, flow.NoteDenied)
	if !v.Request.Outdated() {
		t.Fatal("the silence of the server counts as proof that it does not hold the flow")
	}
	if _, p, _ := tracker.NextUnanswered(now); p != nil {
		t.Fatal("got a second decision on the same packet")
	}
	returned := *dataPacket(1)
	returned.Returned = true
	wantAction(t, tracker.FromServer(now, &returned), flow.Drop, flow.NoNote)
}

// TestSilentServerIsNotTakenForOneWithoutTheFlow covers a server that holds a flow which its agent does not know, because the
// agent has restarted. The server works for 300 ms on a request of a single packet, which it acknowledges only with its
// answer. The agent denied the flow after 100 ms, and it was reset.
func TestSilentServerIsNotTakenForOneWithoutTheFlow(t *testing.T) {
	for name, purpose := range map[string]flow.Purpose{"search": flow.PurposeSearch, "hint": flow.PurposeDeliver} {
		tracker := newTracker(orderView(5))
		wantAction(t, tracker.FromNode(start, nextData(1), nil, request(purpose)), flow.ToServer, flow.NoNote)
		for now := start; now < start+300*time.Millisecond; now += 20 * time.Millisecond {
			tracker.Check(now)
			if v, p, _ := tracker.NextUnanswered(now); p != nil && !v.Request.Outdated() && !v.Unanswered {
				t.Errorf("%s: after %v got %v with note %d as proof: %s", name, now-start, v.Action, v.Note, v.Reason)
			}
		}
		answer := &flow.Packet{Key: dataPacket(1).Key, Kind: flow.Other, Length: 10}
		wantAction(t, tracker.FromServer(start+300*time.Millisecond, answer), flow.ToClient, flow.NoteHeld)
	}
}

// TestServerThatDoesNotRunDeniesSearches covers the server of a restarted agent that has crashed. A check of its process shows
// that it holds no flow, so a search need not wait for more.
func TestServerThatDoesNotRunDeniesSearches(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	tracker := newTracker(orderView(5))
	wantAction(t, tracker.FromNode(start, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
	wantAction(t, tracker.FromNode(start, dataPacket(2), nil, request(flow.PurposeDeliver)), flow.ToServer, flow.NoNote)
	if tracker.NeedsProcessCheck(start + config.AnswerTimeout) {
		t.Fatal("the process is checked before the server's time to answer has passed")
	}
	now := start + config.AnswerTimeout + 1
	if !tracker.NeedsProcessCheck(now) {
		t.Fatal("the process of a server that has not answered is not checked")
	}
	tracker.ServerDown()
	v, p, _ := tracker.NextUnanswered(now)
	if wantAction(t, v, flow.Drop, flow.NoteDenied); p.Key != dataPacket(1).Key || v.Request.Outdated() {
		t.Fatalf("got %v, outdated %v", p.Key, v.Request.Outdated())
	}
	v, _, _ = tracker.NextUnanswered(now)
	if wantAction(t, v, flow.Return, flow.NoNote); v.Unanswered {
		t.Fatal("a server that does not run counts as one that may hold the flow")
	}
}

// TestOldProcessCheckIsRecognized covers the result of a process check that is handled after the server has restarted. The
// flows of its new run were reset.
func TestOldProcessCheckIsRecognized(t *testing.T) {
	tracker := newTracker(orderView(5))
	acceptFlow(t, tracker, start+time.Second, 1)
	if !tracker.HeardSince(start) || tracker.HeardSince(start+2*time.Second) {
		t.Fatal("what the server has sent since the check began is not taken into account")
	}
}

func TestAgentDoesNotDenyForResponsiveServer(t *testing.T) {
	tracker := newTracker(orderView(5))
	wantAction(t, tracker.FromNode(start, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
	now := start + time.Second
	check(tracker, now)
	acceptFlow(t, tracker, now, 2)
	if v, p, _ := tracker.NextUnanswered(now); p != nil {
		t.Fatalf("got %v", v.Action)
	}
}

// TestPacketForSilentOwnerIsReturned covers a hint that may be wrong, since another server may have answered the opening packet as
// well. The balancer must ask the others, and must know that this server was not heard.
func TestPacketForSilentOwnerIsReturned(t *testing.T) {
	tracker := newTracker(orderView(5))
	wantAction(t, tracker.FromNode(start, dataPacket(1), []byte("raw"), request(flow.PurposeDeliver)), flow.ToServer, flow.NoNote)
	now := start + time.Second
	check(tracker, now)
	v, p, raw := tracker.NextUnanswered(now)
	if p == nil || v.Action != flow.Return || v.To != balancerIP || string(raw) != "raw" || !v.Unanswered {
		t.Fatalf("got %v to %v, unanswered %v", v.Action, v.To, v.Unanswered)
	}
}

// TestFlowsOfSilentServerAreKept covers a server that has just started and is slow. It works on as many requests as it has slots
// for longer than SilentAfter, and sends nothing meanwhile. Flows of repeatable routes were reset although it lived.
func TestFlowsOfSilentServerAreKept(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	for name, view := range map[string]*registry.View{"repeatable": repeatable(orderView(5)), "not repeatable": orderView(5)} {
		tracker := newTracker(view)
		for n := range config.SilentPackets + 1 {
			acceptFlow(t, tracker, start, n)
			sendRequest(tracker, start, n)
			sendAnswer(tracker, start, n)
		}
		for n := range config.SilentPackets {
			sendRequest(tracker, start, n)
		}
		if check(tracker, start+config.SilentAfter-1) {
			t.Fatalf("%s: server counted as silent before its time to answer had passed", name)
		}
		now := start + config.SilentAfter
		if !check(tracker, now) || tracker.Accepting(now) {
			t.Fatalf("%s: server does not count as silent, or takes new flows", name)
		}
		// The server runs 4 requests and queues one. The agent holds the last one.
		last := config.SilentPackets - 1
		if v, p, _ := tracker.NextHeld(now); p == nil || p.Key != opening(last).Key || v.Action != flow.ToServer {
			t.Fatalf("%s: got %v for the request that was held", name, v.Action)
		}
		for range 5 {
			if v := sendRequest(tracker, now, config.SilentPackets); v.Action != flow.ToServer {
				t.Fatalf("%s: got %v for a request of a flow of the silent server: %s", name, v.Action, v.Reason)
			}
		}
		now = start + 528*time.Millisecond
		wantAction(t, sendAnswer(tracker, now, 0), flow.ToClient, flow.NoNote)
		if !tracker.Accepting(now) {
			t.Fatalf("%s: server does not count as responsive after it has answered again", name)
		}
		if lost := tracker.ServerDown(); len(lost) != config.SilentPackets+1 || lost[opening(0).Key] != 77 {
			t.Fatalf("%s: flows %v were reset when the server was known to be gone", name, lost)
		}
	}
}

// TestAgentResetsNoFlowThatMayBeOpenElsewhere covers a server that answers the opening packet of a flow which its
// client has opened at another server.
// TestRunningRequestOfSilentServerIsNotGivenUp covers a server that is suspended and continues later. Its client could
// not repeat the request, so the flow must not be reset.
func TestRunningRequestOfSilentServerIsNotGivenUp(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	tracker := newTracker(orderView(5))
	for n := range config.SilentPackets {
		acceptFlow(t, tracker, start, n)
		sendRequest(tracker, start, n)
		sendAnswer(tracker, start, n)
	}
	for n := range config.SilentPackets {
		sendRequest(tracker, start, n)
	}
	now := start + config.SilentAfter
	if !check(tracker, now) {
		t.Fatal("server does not count as silent")
	}
	if v, p, _ := tracker.NextHeld(now); p == nil || v.Action != flow.ToServer {
		t.Fatalf("got %v for the request that was held", v.Action)
	}
	for n := range config.SilentPackets {
		wantAction(t, sendRequest(tracker, now, n), flow.ToServer, flow.NoNote)
	}
	wantAction(t, sendAnswer(tracker, now+time.Second, 0), flow.ToClient, flow.NoNote)
	if lost := tracker.ServerDown(); len(lost) != config.SilentPackets {
		t.Fatalf("%d flows were reset when the server was known to be gone, want %d", len(lost), config.SilentPackets)
	}
}

func TestAgentResetsNoFlowThatMayBeOpenElsewhere(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	tracker := newTracker(orderView(5))
	now := start
	for n := range config.SilentPackets + 1 {
		now += config.ReservationTimeout + 1
		acceptFlow(t, tracker, now, n)
	}
	for n := range config.SilentPackets + 1 {
		sendRequest(tracker, now, n)
	}
	now += config.SilentAfter
	if !check(tracker, now) {
		t.Fatal("server does not count as silent")
	}
	wantAction(t, sendRequest(tracker, now, 1), flow.ToServer, flow.NoNote)
	now += config.ContinueAfter
	check(tracker, now)
	v, p, _ := tracker.NextUnanswered(now)
	if wantAction(t, v, flow.Return, flow.NoNote); p.Key != opening(1).Key || !v.Unanswered {
		t.Fatalf("got a packet of %v, unanswered %v", p.Key, v.Unanswered)
	}
	// A search must go on as well. A report that the server holds the flow would end it.
	wantAction(t, tracker.FromNode(now, nextData(2), nil, request(flow.PurposeSearch, agentIP(3))), flow.ToServer, flow.NoNote)
	now += config.ContinueAfter
	check(tracker, now)
	v, p, _ = tracker.NextUnanswered(now)
	if wantAction(t, v, flow.Forward, flow.NoNote); p.Key != opening(2).Key || v.To != agentIP(3) || !v.Request.Outdated() {
		t.Fatalf("got a packet of %v to %v, outdated %v", p.Key, v.To, v.Request.Outdated())
	}
	if lost := tracker.ServerDown(); len(lost) != 0 {
		t.Fatalf("got lost flows %v", lost)
	}
}

func TestServerThatAcknowledgesIsNotSilent(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	tracker := newTracker(orderView(5))
	for n := range config.SilentPackets {
		acceptFlow(t, tracker, start, n)
	}
	now := start
	for range 20 {
		for n := range config.SilentPackets {
			sendRequest(tracker, now, n)
			now += config.SilentAfter / 10
			tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Other})
		}
		if check(tracker, now) {
			t.Fatal("server that acknowledges packets counts as silent")
		}
	}
}

func TestAgentDeniesFlowsOfStoppedServer(t *testing.T) {
	tracker := newTracker(orderView(5))
	tracker.ServerDown()
	tracker.FromNode(start, dataPacket(9), nil, request(flow.PurposeSearch))
	wantAction(t, tracker.FromNode(start, dataPacket(1), nil, request(flow.PurposeSearch)), flow.Drop, flow.NoteDenied)
	now := start + time.Second
	acceptFlow(t, tracker, now, 2)
	wantAction(t, tracker.FromNode(now, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
}

func TestLongRunningAgentDeniesUnknownFlows(t *testing.T) {
	tracker := newTracker(orderView(5))
	now := start + time.Minute + time.Second
	acceptFlow(t, tracker, now, 1)
	wantAction(t, tracker.FromNode(now, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoteHeld)
	wantAction(t, tracker.FromNode(now, dataPacket(2), nil, request(flow.PurposeSearch)), flow.Drop, flow.NoteDenied)
	tracker.SetView(viewAt(start, 6, upstreamOf(1, "orders")))
	if v := tracker.FromNode(now, dataPacket(2), nil, request(flow.PurposeSearch)); !v.Request.Outdated() {
		t.Fatal("agent that knows of a later change did not mark the search as outdated")
	}
}

func TestReturnedOpeningPacketGoesToNextAgent(t *testing.T) {
	tracker := newTracker(orderView(5))
	tracker.FromNode(start, opening(1), nil, request(flow.PurposeOpen, agentIP(3)))
	returned := opening(1)
	returned.Returned = true
	v := tracker.FromServer(start, returned)
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if v.To != agentIP(3) {
		t.Fatalf("forwarded to %v", v.To)
	}
	tracker.FromNode(start, opening(2), nil, request(flow.PurposeOpen))
	returned = opening(2)
	returned.Returned = true
	wantAction(t, tracker.FromServer(start, returned), flow.Reset, flow.NoteRefused)
}

func TestUnhealthyServerGetsOnlyTrialFlows(t *testing.T) {
	tracker := newTracker(orderView(5))
	now := start
	for n := range 4 {
		tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen, agentIP(3)))
		now += 100 * time.Millisecond
	}
	if tracker.Accepting(now) || !tracker.NeedsProcessCheck(now) {
		t.Fatal("server that answered nothing counts as healthy")
	}
	given := 0
	for n := range 100 {
		if v := tracker.FromNode(now, opening(100+n), nil, request(flow.PurposeOpen, agentIP(3))); v.Action == flow.ToServer {
			given++
		}
		now += 10 * time.Millisecond
	}
	if given < 3 || given > 7 {
		t.Fatalf("got %d trials in a second, want 3 to 7", given)
	}
	tracker.FromServer(now, &flow.Packet{Key: opening(100).Key, Kind: flow.Accepting})
	if !tracker.Accepting(now) {
		t.Fatal("server that answers again is not accepting flows")
	}
}

func TestFlowsOfStoppedServerAreReset(t *testing.T) {
	tracker := newTracker(orderView(5))
	acceptFlow(t, tracker, start, 1)
	sendRequest(tracker, start, 1)
	sendAnswer(tracker, start, 1)
	acceptFlow(t, tracker, start, 2)
	tracker.FromServer(start, &flow.Packet{Key: opening(2).Key, Kind: flow.Closing})
	lost := tracker.ServerDown()
	if len(lost) != 1 || lost[opening(1).Key] != 77 {
		t.Fatalf("got lost flows %v", lost)
	}
	if status := tracker.Status(start); status.Flows != 0 || status.Busy != 0 || status.Accepting {
		t.Fatalf("got status %+v", status)
	}
}

// TestLeavingServerGetsNoTrialFlows covers a draining server that has stopped answering. A trial would give it new work.
func TestLeavingServerGetsNoTrialFlows(t *testing.T) {
	for name, view := range map[string]*registry.View{
		"draining": viewAt(start, 6, drainingUpstream(1, "orders")),
		"departed": viewAt(start, 6),
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker(orderView(5))
			tracker.ServerDown()
			tracker.SetView(view)
			now := start
			for n := range 20 {
				now += time.Second
				if v := tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen, agentIP(3))); v.Action != flow.Forward {
					t.Fatalf("opening packet %d: got %v, want it passed on", n, v.Action)
				}
			}
		})
	}
}

func drainingUpstream(n int, service string) registry.Upstream {
	u := upstreamOf(n, service)
	u.Draining = true
	return u
}

// TestDeniedSearchUsesUpNoTrial covers a server that is down. Packets of flows that it can't hold must not take the place
// of the opening packets that show whether it answers again.
func TestDeniedSearchUsesUpNoTrial(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	tracker := newTracker(orderView(5))
	now := start + config.IdleTimeout + time.Second
	tracker.ServerDown()
	for n := range 20 {
		now += config.TrialInterval + time.Millisecond
		wantAction(t, tracker.FromNode(now, dataPacket(100+n), nil, request(flow.PurposeSearch)), flow.Drop, flow.NoteDenied)
		wantAction(t, tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen, agentIP(3))), flow.ToServer, flow.NoNote)
	}
}

// TestPatientOpeningsWaitAtTheAgent covers many requests of a service that come at once, for example those that waited while
// all processes were down. Refused clients would repeat them at once and use up their repetitions; dropped packets would
// leave clients in doubt. A flow that can't be answered in time waits at the agent only if it gets a slot within a third of
// the timeout after its first copy, and is otherwise refused at once, whatever copy arrives and however long ago the agent
// started.
func TestPatientOpeningsWaitAtTheAgent(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	for _, c := range []struct {
		name    string
		timeout time.Duration
		age     time.Duration
		// waiting are the flows that wait at the agent, by the number of the copy: a slot becomes free every 20.25 ms.
		waiting [3]int
	}{
		{"patient client", 4 * time.Second, 0, [3]int{62, 52, 32}},
		{"just patient client", config.MinPatience, 0, [3]int{43, 33, 14}},
		{"impatient client", config.MinPatience - time.Millisecond, 0, [3]int{}},
		{"long after the start", 4 * time.Second, time.Minute, [3]int{62, 52, 32}},
	} {
		for copies := range uint32(3) {
			t.Run(fmt.Sprint(c.name, ", copy ", copies), func(t *testing.T) {
				view := orderView(5)
				view.Configuration.Routes[0].Timeout = c.timeout
				tracker := newTracker(view)
				now := start + c.age
				accepted, waiting := 0, 0
				for n := range 100 {
					p := opening(n)
					p.Copy = copies
					v := tracker.FromNode(now, p, nil, request(flow.PurposeOpen))
					switch {
					case v.Action == flow.ToServer && accepted == n:
						accepted++
					case v.Action == flow.Wait && v.Note == flow.NoteWaiting && accepted+waiting == n:
						waiting++
						if v.Place.Position != accepted+waiting || v.Place.Expected > v.Place.Limit || v.Refusal != flow.NotRefused {
							t.Fatalf("got %+v at position %d", v, waiting)
						}
					case v.Action != flow.Reset || v.Note != flow.NoteRefused || v.Refusal != flow.RefusedBusy:
						t.Fatalf("got %+v, want the flow refused at once", v)
					}
				}
				if accepted != 6 {
					t.Fatalf("%d flows on 4 slots, want 6: the others can't be answered in time", accepted)
				}
				if want := c.waiting[copies]; waiting != want {
					t.Fatalf("%d flows wait at the agent, want %d", waiting, want)
				}
			})
		}
	}
}

// TestLongWaitIsRefusedInSpiteOfPatience covers a server so slow that a slot would take longer to become free than a third
// of the timeout.
func TestLongWaitIsRefusedInSpiteOfPatience(t *testing.T) {
	view := orderView(5)
	view.Configuration.Routes[0].Timeout, view.Configuration.Routes[0].Target = 3*time.Second, time.Second
	tracker := newTracker(view)
	now := start
	for round := range 6 {
		for n := 4 * round; n < 4*round+4; n++ {
			acceptFlow(t, tracker, now, n)
			sendRequest(tracker, now, n)
		}
		now += 400 * time.Millisecond
		for n := 4 * round; n < 4*round+4; n++ {
			sendAnswer(tracker, now, n)
		}
	}
	for n := range 20 {
		v := tracker.FromNode(now, opening(100+n), nil, request(flow.PurposeOpen))
		// Each place in the queue takes 100 ms. The limit is 990 ms, and 300 ms for an answer in time.
		want := flow.Reset
		switch {
		case n < 4+3:
			want = flow.ToServer
		case n < 4+9:
			want = flow.Wait
		}
		if v.Action != want {
			t.Fatalf("flow %d: got %v, %s", n, v.Action, v.Reason)
		}
	}
}

// TestReturnedOpeningIsPassedOnOrRefused covers an opening packet that the server returns because its queue is full. Its agent must not send it to itself because of its own offer. It may let the packet
// wait, but must neither give it to the server at once again nor keep it when its limit has passed.
func TestReturnedOpeningIsPassedOnOrRefused(t *testing.T) {
	view := orderView(5)
	view.Configuration.Routes[0].Timeout = 4 * time.Second
	for _, c := range []struct {
		remaining  []flow.IP
		maxWaiting int
	}{{nil, 0}, {nil, 256}, {[]flow.IP{agentIP(3)}, 0}, {[]flow.IP{agentIP(3)}, 256}} {
		config := flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort})
		config.MaxWaiting = c.maxWaiting
		tracker := flow.NewTracker(config, start)
		tracker.SetView(view)
		remaining := c.remaining
		for n := range 5 {
			acceptFlow(t, tracker, start, n)
			sendRequest(tracker, start, n)
		}
		r := request(flow.PurposeOpen, remaining...)
		r.Final = len(remaining) > 0
		wantAction(t, tracker.FromNode(start, opening(20), nil, r), flow.ToServer, flow.NoNote)
		returned := opening(20)
		returned.Returned = true
		v := tracker.FromServer(start, returned)
		if len(remaining) == 0 && c.maxWaiting > 0 {
			wantAction(t, v, flow.Wait, flow.NoteWaiting)
			for n := range 8 {
				sendAnswer(tracker, start, n)
			}
			if v, p, _ := tracker.NextHeld(start); p != nil {
				t.Fatalf("got %v at once after the server returned the packet", v.Action)
			}
			v, p, _ := tracker.NextHeld(start + config.MaxWait)
			wantAction(t, v, flow.Reset, flow.NoteRefused)
			if p.Returned || p.Key != opening(20).Key {
				t.Fatalf("refused %+v", p)
			}
		} else if len(remaining) == 0 {
			wantAction(t, v, flow.Reset, flow.NoteRefused)
		} else if v.Action != flow.Forward || v.To != agentIP(3) {
			t.Fatalf("got %v to %v, want it passed on", v.Action, v.To)
		}
	}
}

func TestReusedClientPortOpensANewFlow(t *testing.T) {
	tracker := newTracker(orderView(5))
	acceptFlow(t, tracker, start, 1)
	tracker.FromServer(start, &flow.Packet{Key: opening(1).Key, Kind: flow.Closing})
	if flows := tracker.Status(start).Flows; flows != 0 {
		t.Fatalf("got %d flows after the flow ended, want 0", flows)
	}
	acceptFlow(t, tracker, start+time.Second, 1)
	if flows := tracker.Status(start).Flows; flows != 1 {
		t.Fatalf("got %d flows, want 1", flows)
	}
}

func TestIdleFlowsAreRemoved(t *testing.T) {
	tracker := newTracker(orderView(5))
	acceptFlow(t, tracker, start, 1)
	sendRequest(tracker, start, 1)
	tracker.Sweep(start + 6*time.Second)
	if status := tracker.Status(start + 6*time.Second); status.Busy != 0 || status.Flows != 1 {
		t.Fatalf("got status %+v after a request of 6 s", status)
	}
	tracker.Sweep(start + 20*time.Second)
	if flows := tracker.Status(start + 20*time.Second).Flows; flows != 0 {
		t.Fatalf("got %d flows after the idle time-out, want 0", flows)
	}
}

// TestServerThatIsUpAgainGetsFlows guards against a server that was found to be down after its entry had been read: the
// entry then counts as that of the run that is over, and no packet shows that the server is up.
func TestServerThatIsUpAgainGetsFlows(t *testing.T) {
	tracker := newTracker(orderView(5))
	acceptFlow(t, tracker, start, 1)
	tracker.ServerDown()
	now := start + time.Second
	tracker.SetView(orderView(6))
	if tracker.Accepting(now) || !tracker.NeedsProcessCheck(now) {
		t.Fatal("the server takes flows, or nobody would find out that it is up")
	}
	tracker.ServerUp(now)
	wantAction(t, tracker.FromNode(now, opening(2), nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
	if tracker.IsServerDown() || tracker.NeedsProcessCheck(now) {
		t.Error("the server still counts as down")
	}
}
