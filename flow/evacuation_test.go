package flow_test

import (
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// evacuate adds evacuations of places that began at the given time, or at an unknown one, to a view.
func evacuate(view *registry.View, started time.Duration, places ...string) *registry.View {
	for _, place := range places {
		view.Evacuations = append(view.Evacuations, registry.Evacuation{Place: place, Revision: 6, Started: started})
	}
	return view
}

// TestEvacuatedServerGetsNoOpening guards against paths on which an agent in an evacuated place gives its server an
// opening packet from a balancer with an older view, and against one that waits instead of being refused.
func TestEvacuatedServerGetsNoOpening(t *testing.T) {
	tracker := newTracker(orderView(5))
	acceptFlow(t, tracker, start, 1)
	view := evacuate(viewAt(start, 5, upstreamOf(1, "orders")), 0, "here")
	view.Configuration.Routes[0].Timeout = 10 * time.Second
	view.Configuration.Version = 6
	tracker.SetView(view)

	v := tracker.FromNode(start, opening(2), nil, request(flow.PurposeOpen, agentIP(2)))
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if v.To != agentIP(2) || v.Request.Best != (flow.Offer{}) {
		t.Fatalf("passed to %v with offer %+v", v.To, v.Request.Best)
	}
	wantAction(t, tracker.FromNode(start, opening(2), nil, request(flow.PurposeOpen)), flow.Reset, flow.NoteRefused)
	final := request(flow.PurposeOpen)
	final.Final, final.Best = true, flow.Offer{Agent: agentIP(1)}
	wantAction(t, tracker.FromNode(start, opening(2), nil, final), flow.Reset, flow.NoteRefused)
	offered := request(flow.PurposeOpen)
	offered.Best = flow.Offer{Agent: agentIP(2), Wait: time.Millisecond}
	if v = tracker.FromNode(start, opening(2), nil, offered); v.Action != flow.Forward || v.To != agentIP(2) || !v.Request.Final {
		t.Fatalf("got %v to %v, final %v", v.Action, v.To, v.Request.Final)
	}
	if got := tracker.TurnedAway().Evacuated; got != 4 {
		t.Errorf("counted %d openings turned away, want 4", got)
	}

	wantAction(t, sendRequest(tracker, start, 1), flow.ToServer, flow.NoNote)
	wantAction(t, tracker.FromNode(start, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoteHeld)
	tracker.ServerDown()
	for n := range 20 {
		// An unhealthy server is given a trial every 200 ms otherwise.
		now := start + time.Duration(n)*100*time.Millisecond
		wantAction(t, tracker.FromNode(now, opening(10+n), nil, request(flow.PurposeOpen, agentIP(2))), flow.Forward, flow.NoteStatus)
	}
}

// TestPausedAgentPassesItsBacklogOn guards against opening packets that waited at an agent during its pause, and reach
// the server although an evacuation began meanwhile that the agent does not know yet.
func TestPausedAgentPassesItsBacklogOn(t *testing.T) {
	tracker := newTracker(orderView(5))
	tracker.Resumed(start)
	wantAction(t, tracker.FromNode(start, opening(1), nil, request(flow.PurposeOpen, agentIP(2))), flow.Forward, flow.NoteStatus)
	acceptFlow(t, tracker, start+100*time.Millisecond, 1)
}

// TestEvacuationMovesFlowsOverOneSecond guards against all flows of a place moving at the same instant, against flows
// that move back, and against a ramp if the start is not known.
func TestEvacuationMovesFlowsOverOneSecond(t *testing.T) {
	const flows = 1000
	servers := []registry.Upstream{upstreamOf(1, "orders"), upstreamOf(2, "orders")}
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, evacuate(viewAt(start, 5, servers...), start, "here"))
	tracker := newTracker(evacuate(viewAt(start, 5, servers...), start, "here"))
	moved := map[int]bool{}
	for step := range 11 {
		now := start + time.Duration(step)*100*time.Millisecond
		for n := range flows {
			receive(d, now, statusOf(1, 0, 0), statusOf(2, 0, 0))
			got := d.FromClient(now, opening(n), nil)
			if got.To == agentIP(1) && moved[n] {
				t.Fatalf("flow %d moved back", n)
			}
			moved[n] = got.To == agentIP(2)
			if v := tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen, agentIP(2))); moved[n] && v.Action != flow.Forward {
				t.Fatalf("the agent takes flow %d, which the balancer has moved", n)
			}
		}
		count := 0
		for n := range flows {
			if moved[n] {
				count++
			}
		}
		if want := flows * step / 10; count < want-flows/20 || count > want+flows/20 {
			t.Errorf("%d of %d flows have moved after %v", count, flows, now-start)
		}
	}
	d.SetView(start, evacuate(viewAt(start, 6, servers...), 0, "here"))
	for n := range flows {
		if d.FromClient(start, opening(n), nil).To == agentIP(1) {
			t.Fatalf("flow %d is sent to the evacuated place although the start is not known", n)
		}
	}
}

// TestEvacuationOfAllServersRefusesAtOnce guards against flows that wait because an evacuation left no server: of a
// service whose last servers are in the place, and of all places, also while the store is unavailable.
func TestEvacuationOfAllServersRefusesAtOnce(t *testing.T) {
	later := start + time.Minute
	servers := []registry.Upstream{upstreamOf(1, "orders"), upstreamOf(2, "photos"), upstreamOf(3, "photos")}
	for _, tc := range []struct {
		places []string
		photos flow.Action
	}{
		{[]string{"here"}, flow.Forward},
		{[]string{"here", "there"}, flow.Reset},
	} {
		d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
		d.SetView(start, evacuate(viewAt(start, 5, servers...), 0, tc.places...))
		photo := opening(1)
		photo.Key.Service = photos
		if got := d.FromClient(later, opening(1), nil); got.Action != flow.Reset {
			t.Errorf("evacuation of %v: flow of a service without servers: %v: %s", tc.places, got.Action, got.Reason)
		}
		if got := d.FromClient(later, photo, nil); got.Action != tc.photos || got.Action == flow.Forward && got.To != agentIP(2) {
			t.Errorf("evacuation of %v: flow of the other service: %v to %v: %s", tc.places, got.Action, got.To, got.Reason)
		}
		if got := d.TurnedAway().Evacuated; got == 0 {
			t.Error("counted no openings turned away")
		}
	}
}

// TestHedgesAvoidEvacuatedPlace covers an evacuation that begins while an opening packet is unanswered.
func TestHedgesAvoidEvacuatedPlace(t *testing.T) {
	servers := []registry.Upstream{upstreamOf(1, "orders"), upstreamOf(3, "orders"), upstreamOf(2, "orders")}
	d := newDirector(servers...)
	wantForward(t, d.FromClient(start, opening(1), nil), flow.PurposeOpen)
	d.SetView(start, evacuate(viewAt(start, 6, servers...), 0, "here"))
	got, p, _ := d.NextHedge(start + 50*time.Millisecond)
	if p == nil || got.To != agentIP(2) || len(got.Request.Remaining) > 0 {
		t.Fatalf("hedged to %v and then %v", got.To, got.Request.Remaining)
	}
}

// TestEvacuationOfUnknownPlaceChangesNothing guards against a mistyped place that affects flows.
func TestEvacuationOfUnknownPlaceChangesNothing(t *testing.T) {
	servers := []registry.Upstream{upstreamOf(1, "orders"), upstreamOf(2, "orders"), upstreamOf(3, "orders")}
	plain, evacuating := newDirector(servers...), newDirector(servers...)
	evacuating.SetView(start, evacuate(viewAt(start, 5, servers...), start, "nowhere"))
	for n := range 50 {
		want, got := plain.FromClient(start+time.Second, opening(n), nil), evacuating.FromClient(start+time.Second, opening(n), nil)
		if got.To != want.To || !slices.Equal(got.Request.Remaining, want.Request.Remaining) {
			t.Fatalf("flow %d goes to %v and then %v, want %v and then %v", n, got.To, got.Request.Remaining, want.To, want.Request.Remaining)
		}
	}
}

// TestOpenFlowInEvacuatedPlaceIsFound covers a balancer that restarts during an evacuation.
func TestOpenFlowInEvacuatedPlaceIsFound(t *testing.T) {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, evacuate(viewAt(start, 5, upstreamOf(1, "orders"), upstreamOf(2, "orders")), 0, "here"))
	got := d.FromClient(start, dataPacket(1), nil)
	wantForward(t, got, flow.PurposeSearch)
	asked := append([]flow.IP{got.To}, got.Request.Remaining...)
	if !slices.Contains(asked, agentIP(1)) {
		t.Fatalf("the search asks only %v", asked)
	}
	d.HandleReport(start, flow.Report{Key: dataPacket(1).Key, Held: true, From: agentIP(1), Service: flow.ServiceHash("orders")})
	if got = d.FromClient(start, dataPacket(1), nil); got.To != agentIP(1) {
		t.Fatalf("a packet of the open flow goes to %v", got.To)
	}
}

// TestServerRestartedDuringEvacuationTakesFlowsAgain guards against a server that was found to be down while its place
// was evacuated and gets no new flow afterwards: nothing is sent to it from which its agent could learn that it is up.
func TestServerRestartedDuringEvacuationTakesFlowsAgain(t *testing.T) {
	tracker := newColdTracker(evacuate(coldView(start, 10, 1, 0), 0, "here"))
	tracker.Check(start)
	tracker.ServerDown()
	later := start + 10*time.Second
	tracker.SetView(coldView(later, 10, 1, 0))
	if tracker.Accepting(later) {
		t.Fatal("takes new flows although the view shows no new run")
	}
	tracker.SetView(coldView(later, 10, 2, time.Second))
	if !tracker.Accepting(later) {
		t.Fatal("takes no new flows although the view shows a new run")
	}
	if _, remaining, cold := tracker.Cold(later); !cold || remaining != time.Second {
		t.Fatalf("cold is %v for %v", cold, remaining)
	}
}

func TestEvacuationChanges(t *testing.T) {
	before := []registry.Evacuation{{Place: "a"}, {Place: "b"}}
	after := []registry.Evacuation{{Place: "b", Revision: 9}, {Place: "c", Started: start}}
	begun, ended := flow.EvacuationChanges(before, after)
	if len(begun) != 1 || begun[0].Place != "c" || len(ended) != 1 || ended[0].Place != "a" {
		t.Fatalf("begun %v, ended %v", begun, ended)
	}
	if known, unknown := flow.EvacuationAge(start+time.Second, begun[0]), flow.EvacuationAge(start, ended[0]); known != "1s" || unknown != "unknown" {
		t.Fatalf("ages %s and %s", known, unknown)
	}
}
