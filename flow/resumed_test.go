package flow_test

import (
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// repeatableView returns a view like viewAt in which the requests of the first route may run twice.
func repeatableView(at time.Duration, version uint64, upstreams ...registry.Upstream) *registry.View {
	view := viewAt(at, version, upstreams...)
	view.Configuration.Routes[0].Repeatable = true
	return view
}

// pausedDirector returns a balancer whose agents have answered and were then sent heartbeats, and which did not run for a second
// after that. The server of the first agent holds a flow.
func pausedDirector() (d *flow.Director, now time.Duration) {
	d = newDirector()
	d.SetView(start, repeatableView(start, 5, upstreamOf(1, "orders"), upstreamOf(3, "orders")))
	reportHeld(d, start, dataPacket(1).Key, 1)
	d.FromClient(start, dataPacket(1), nil)
	now = start + 500*time.Millisecond
	receive(d, now, statusOf(1, 0, 0), statusOf(3, 0, 0))
	for _, sent := d.Heartbeat(now); sent; _, sent = d.Heartbeat(now) {
	}
	now += time.Second
	d.Resumed(now)
	return d, now
}

// TestPauseOfTheBalancerIsNoSilenceOfItsAgents guards against a balancer that was late itself and takes agents whose answers wait in
// its socket for dead, or itself for cut off.
func TestPauseOfTheBalancerIsNoSilenceOfItsAgents(t *testing.T) {
	d, now := pausedDirector()
	if changes := d.HealthChanges(now); len(changes) > 0 {
		t.Errorf("got %+v right after the pause", changes)
	}
	if d.Isolated(now) {
		t.Error("balancer counts as isolated right after its pause")
	}
	now += time.Second
	if changes := d.HealthChanges(now); len(changes) != 2 {
		t.Errorf("got %+v a second later, want both agents unresponsive", changes)
	}
	if !d.Isolated(now) {
		t.Error("balancer does not count as isolated a second later")
	}
}

// TestOwnerWithoutEntryIsAskedAfterAPauseOfTheBalancer guards against the reset of a live flow whose server's entry another writer has
// overwritten: the balancer has not heard of the agent for a second only because it did not run.
func TestOwnerWithoutEntryIsAskedAfterAPauseOfTheBalancer(t *testing.T) {
	d, now := pausedDirector()
	d.SetView(now, repeatableView(now, 6, upstreamOf(3, "orders")))
	got := d.FromClient(now, dataPacket(1), nil)
	if got.Request.Purpose == flow.PurposeSearch {
		reset, _, _ := d.HandleDenial(now, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID})
		t.Fatalf("%s; after the denial of the other agent: %v, %s", got.Reason, reset.Action, reset.Reason)
	}
	if wantForward(t, got, flow.PurposeDeliver); got.To != agentIP(1) {
		t.Fatalf("packet went to %v, not to the owner", got.To)
	}
	now += 3 * time.Second
	d.SetView(now, repeatableView(now, 6, upstreamOf(3, "orders")))
	wantForward(t, d.FromClient(now, dataPacket(1), nil), flow.PurposeSearch)
}

// TestPauseOfTheBalancerHedgesNoOpening guards against opening packets that a second server takes although the first one's answer
// waits in the balancer's socket.
func TestPauseOfTheBalancerHedgesNoOpening(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	wantForward(t, d.FromClient(start, opening(1), nil), flow.PurposeOpen)
	now := start + 300*time.Millisecond
	d.Resumed(now)
	if got, p, _ := d.NextHedge(now); p != nil {
		t.Fatalf("got %v to %v right after the pause", got.Action, got.To)
	}
	if _, p, _ := d.NextHedge(now + 50*time.Millisecond); p == nil {
		t.Fatal("the opening packet is never sent to another agent")
	}
}
