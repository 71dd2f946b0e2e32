package flow_test

import (
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// withIdleTimeout returns a view like orderView whose configuration states an idle time-out.
func withIdleTimeout(version uint64, timeout time.Duration) *registry.View {
	view := orderView(version)
	view.Configuration.IdleTimeout = timeout
	return view
}

// sweepUntil calls Sweep of a tracker every second.
func sweepUntil(tracker *flow.Tracker, from, until time.Duration) {
	for now := from; now <= until; now += time.Second {
		tracker.Sweep(now)
	}
}

// TestAgentKeepsIdleFlowsForTheConfiguredTime covers a configuration that raises the idle time-out: flows that were idle for
// less than that were denied without asking their server, and reset.
func TestAgentKeepsIdleFlowsForTheConfiguredTime(t *testing.T) {
	tracker := newTracker(withIdleTimeout(5, 15*time.Second))
	sweepUntil(tracker, start, start+time.Minute)
	opened := start + time.Minute
	acceptFlow(t, tracker, opened, 1)
	tracker.SetView(withIdleTimeout(6, 30*time.Second))
	now := opened + 29*time.Second
	sweepUntil(tracker, opened, now)
	wantAction(t, tracker.FromNode(now, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoteHeld)
}

// TestAgentAsksForFlowsDroppedBeforeTheTimeoutWasRaised covers an agent that dropped a flow shortly before it learned of the
// longer idle time-out. It can't know whether the server holds the flow.
func TestAgentAsksForFlowsDroppedBeforeTheTimeoutWasRaised(t *testing.T) {
	tracker := newTracker(withIdleTimeout(5, 15*time.Second))
	sweepUntil(tracker, start, start+time.Minute)
	opened := start + time.Minute
	acceptFlow(t, tracker, opened, 1)
	raised := opened + 17*time.Second
	sweepUntil(tracker, opened, raised)
	tracker.SetView(withIdleTimeout(6, 30*time.Second))
	sweepUntil(tracker, raised, opened+25*time.Second)
	wantAction(t, tracker.FromNode(opened+25*time.Second, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
	// A client may have used the flow since then without any packet that reached this agent.
	sweepUntil(tracker, raised, opened+84*time.Second)
	wantAction(t, tracker.FromNode(opened+84*time.Second, dataPacket(2), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
	wantAction(t, tracker.FromNode(opened+86*time.Second, dataPacket(3), nil, request(flow.PurposeSearch)), flow.Drop, flow.NoteDenied)
}

// TestEndedFlowsLeaveTheAgentsKnowledgeComplete covers an agent that drops flows which have ended. It must go on denying lost
// flows without asking its server, or every search would reach every server for good.
func TestEndedFlowsLeaveTheAgentsKnowledgeComplete(t *testing.T) {
	tracker := newTracker(withIdleTimeout(5, 15*time.Second))
	now := start + 50*time.Second
	acceptFlow(t, tracker, now, 1)
	sendRequest(tracker, now, 1)
	tracker.FromServer(now, &flow.Packet{Key: opening(1).Key, Kind: flow.Closing})
	end := start + time.Minute + 10*time.Second
	sweepUntil(tracker, now, end)
	wantAction(t, tracker.FromNode(end, dataPacket(1), nil, request(flow.PurposeSearch)), flow.Drop, flow.NoteDenied)
}

// TestAgentAsksForEvictedFlows covers a server with more flows than the agent tracks: an agent must not deny a flow that it
// had to drop.
func TestAgentAsksForEvictedFlows(t *testing.T) {
	config := flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort})
	config.MaxFlows = 2
	tracker := flow.NewTracker(config, start)
	tracker.SetView(orderView(5))
	now := start + time.Minute
	for n := range 3 {
		acceptFlow(t, tracker, now, n)
	}
	wantAction(t, tracker.FromNode(now, dataPacket(0), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
}

// TestAgentWithoutConfigurationDeniesNothing covers an agent that does not know the idle time-out in force.
func TestAgentWithoutConfigurationDeniesNothing(t *testing.T) {
	tracker := flow.NewTracker(flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort}), start)
	wantAction(t, tracker.FromNode(start+time.Minute, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
}

// TestIdleTimeoutIsBounded covers configurations with a time-out of no use: a short one only permits to drop the state of
// idle flows, and one above the maximum age of a flow would fill the memory.
func TestIdleTimeoutIsBounded(t *testing.T) {
	for timeout, kept := range map[time.Duration]time.Duration{0: 14 * time.Second, time.Millisecond: 14 * time.Second, 24 * time.Hour: 59 * time.Second} {
		tracker := newTracker(withIdleTimeout(5, timeout))
		sweepUntil(tracker, start, start+2*time.Minute)
		opened := start + 2*time.Minute
		acceptFlow(t, tracker, opened, 1)
		sweepUntil(tracker, opened, opened+kept)
		if flows := tracker.Status(opened + kept).Flows; flows != 1 {
			t.Errorf("time-out %v: %d flows tracked after %v", timeout, flows, kept)
		}
		sweepUntil(tracker, opened, opened+kept+2*time.Second)
		if flows := tracker.Status(opened + kept + 2*time.Second).Flows; flows != 0 {
			t.Errorf("time-out %v: %d flows tracked after %v", timeout, flows, kept+2*time.Second)
		}
	}
}

// TestBalancerKeepsHintsForTheConfiguredTime covers flows that are idle for longer than the default time-out, each of which
// would cost a search.
func TestBalancerKeepsHintsForTheConfiguredTime(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	reportHeld(d, start, opening(1).Key, 3)
	now := start + time.Second
	view := viewAt(now, 6, upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	view.Configuration.IdleTimeout = 30 * time.Second
	d.SetView(now, view)
	for now = start + time.Second; now < start+29*time.Second; now += time.Second {
		d.UpdateStatus(now, statusOf(3, 0, 1))
		d.Sweep(now)
	}
	wantForward(t, d.FromClient(now, dataPacket(1), nil), flow.PurposeDeliver)
}

// TestDenialsOfEarlierVersionsProveNoLossOfIdleFlows covers an upgrade under a configuration with a long idle time-out, which
// the agents of the earlier version ignore.
func TestDenialsOfEarlierVersionsProveNoLossOfIdleFlows(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		states  bool
		reset   bool
	}{
		"long time-out, earlier version":    {30 * time.Second, false, false},
		"long time-out, present version":    {30 * time.Second, true, true},
		"default time-out, earlier version": {15 * time.Second, false, true},
	} {
		d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
		view := viewAt(start, 5, upstreamOf(1, "orders"))
		view.Configuration.IdleTimeout = c.timeout
		d.SetView(start, view)
		if d.UpdateStatus(start, statusOf(1, 0, 0)); c.states {
			d.UpdateStatus(start, servingStatus(1, "orders"))
		}
		got := d.FromClient(start, dataPacket(1), nil)
		last, _, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID})
		if (last.Action == flow.Reset) != c.reset {
			t.Errorf("%s: got %v: %s", name, last.Action, last.Reason)
		}
	}
}
