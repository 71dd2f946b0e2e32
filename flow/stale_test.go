package flow_test

import (
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// The tests of this file have the pattern of a wake after a pause: a process handles packets whose clients may have given up
// long ago.

// orderTimeout is the timeout of the routes in these tests.
const orderTimeout = 1500 * time.Millisecond

// viewWithTimeouts returns a view with a server whose clients wait for orderTimeout.
func viewWithTimeouts() *registry.View {
	view := orderView(5)
	for i := range view.Configuration.Routes {
		view.Configuration.Routes[i].Timeout = orderTimeout
	}
	return view
}

// TestWokenBalancerRefusesAbandonedOpenings guards against opening packets that fill the servers although their clients
// have left. A client that is still trying learns at once that it has to try again.
func TestWokenBalancerRefusesAbandonedOpenings(t *testing.T) {
	tests := []struct {
		name string
		copy uint32
		age  time.Duration
		want flow.Action
	}{
		{"fresh", 0, 0, flow.Forward},
		{"fresh last copy", 2, 0, flow.Forward},
		{"attempt still runs", 0, 1300 * time.Millisecond, flow.Forward},
		{"first copy of an attempt that is over", 0, 1400 * time.Millisecond, flow.Reset},
		{"last copy of an attempt that is over", 2, 800 * time.Millisecond, flow.Reset},
		{"attempt of long ago", 1, 3 * time.Second, flow.Reset},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
			p := opening(1)
			p.Copy, p.Age = test.copy, test.age
			got := d.FromClient(start, p, nil)
			if got.Action != test.want || got.Seq != 0 {
				t.Fatalf("got %v with sequence number %d, want %v: %s", got.Action, got.Seq, test.want, got.Reason)
			}
			if refused := d.StalePackets() > 0; refused != (test.want == flow.Reset) {
				t.Errorf("counts %d stale packets", d.StalePackets())
			}
		})
	}
}

// TestWokenBalancerSendsNoOldHedges guards against a balancer that sends an opening packet to a second agent after it was
// suspended for longer than the attempt.
func TestWokenBalancerSendsNoOldHedges(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	wantForward(t, d.FromClient(start, opening(1), nil), flow.PurposeOpen)
	wantForward(t, d.FromClient(start, opening(2), nil), flow.PurposeOpen)
	if got, p, _ := d.NextHedge(start + time.Second); p == nil || p.Age < time.Second {
		t.Fatalf("hedge within the attempt: got %v for %+v, want its age in the packet", got.Action, p)
	}
	if got, p, _ := d.NextHedge(start + 3*time.Second); p != nil {
		t.Fatalf("got %v after the attempt", got.Action)
	}
}

// TestAgentRefusesOpeningsOfAbandonedAttempts covers a packet that waited at a balancer or another agent.
func TestAgentRefusesOpeningsOfAbandonedAttempts(t *testing.T) {
	tracker := newTracker(viewWithTimeouts())
	p := opening(1)
	p.Age = 2 * time.Second
	wantAction(t, tracker.FromNode(start, p, nil, request(flow.PurposeOpen, agentIP(3))), flow.Reset, flow.NoteRefused)
	p.Age = time.Second
	wantAction(t, tracker.FromNode(start, p, nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
}

// TestNoRunBeginsAfterItsClientHasLeft guards against a request that a woken process passes on and that the server then
// runs although the client has given up. A client that still waits sends the packet again, and that copy must pass.
func TestNoRunBeginsAfterItsClientHasLeft(t *testing.T) {
	tests := []struct {
		name string
		// opened is when the flow was opened before the request arrived, and age how long the request has waited.
		opened, age time.Duration
		want        flow.Action
	}{
		{"fresh", 10 * time.Millisecond, 0, flow.ToServer},
		{"first request long after the opening", 5 * time.Second, 0, flow.ToServer},
		{"waited for less than the timeout", 10 * time.Millisecond, time.Second, flow.ToServer},
		{"waited for the timeout", 10 * time.Millisecond, orderTimeout, flow.Drop},
		{"waited, and the flow was opened a timeout ago", orderTimeout, 300 * time.Millisecond, flow.Drop},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := newTracker(viewWithTimeouts())
			acceptFlow(t, tracker, start, 1)
			now := start + test.opened
			p := nextData(1)
			p.Age = test.age
			if v := tracker.FromNode(now, p, nil, request(flow.PurposeDeliver)); v.Action != test.want {
				t.Fatalf("got %v, want %v: %s", v.Action, test.want, v.Reason)
			}
			p.Age = 0
			if v := tracker.FromNode(now+200*time.Millisecond, p, nil, request(flow.PurposeDeliver)); v.Action != flow.ToServer {
				t.Fatalf("next copy: got %v: %s", v.Action, v.Reason)
			}
		})
	}
}

// TestHeldRequestOfAnAbandonedCallDoesNotRun covers an agent that is suspended while it holds a request.
func TestHeldRequestOfAnAbandonedCallDoesNotRun(t *testing.T) {
	tracker := newTracker(viewWithTimeouts())
	room := 5 // four slots and one more
	for n := range room + 1 {
		acceptFlow(t, tracker, start, n)
		want := flow.ToServer
		if n == room {
			want = flow.Wait
		}
		if v := sendRequest(tracker, start, n); v.Action != want {
			t.Fatalf("request %d: got %v, want %v: %s", n, v.Action, want, v.Reason)
		}
	}
	woken := start + 3*time.Second
	v, p, _ := tracker.NextHeld(woken)
	if p == nil || v.Action != flow.Drop {
		t.Fatalf("got %v for %+v, want a dropped packet: %s", v.Action, p, v.Reason)
	}
	if v, p, _ := tracker.NextHeld(woken); p != nil {
		t.Fatalf("got %v for another packet", v.Action)
	}
	if busy := tracker.Status(woken).Busy; busy != uint32(room) {
		t.Errorf("%d requests count as busy, want the %d that the server has", busy, room)
	}
}
