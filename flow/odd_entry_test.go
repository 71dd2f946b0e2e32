package flow_test

import (
	"math"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// TestOddEntryEndsNoAgent covers an entry of another writer that describes the server of an agent with numbers that no server
// has. The agent ended with its first request, and again after each start.
func TestOddEntryEndsNoAgent(t *testing.T) {
	for name, change := range map[string]func(u *registry.Upstream){
		"most slots":      func(u *registry.Upstream) { u.Slots = math.MaxInt },
		"many slots":      func(u *registry.Upstream) { u.Slots = 9e18 },
		"no slots":        func(u *registry.Upstream) { u.Slots = math.MinInt },
		"cold for ever":   func(u *registry.Upstream) { u.WarmAt = math.MaxInt64 },
		"warm long since": func(u *registry.Upstream) { u.WarmAt = math.MinInt64 },
		"last start":      func(u *registry.Upstream) { u.Incarnation = math.MaxUint64 },
		"last write":      func(u *registry.Upstream) { u.Sequence, u.Created = math.MaxUint64, math.MaxUint64 },
	} {
		t.Run(name, func(t *testing.T) {
			odd := upstreamOf(1, "orders")
			odd.ID, odd.Created = "odd", 1000
			change(&odd)
			view := viewAt(start, 5, upstreamOf(1, "orders"), upstreamOf(3, "orders"), odd)
			view.Configuration.Routes[0].Timeout = 5 * time.Second
			tracker := newTracker(view)
			d := newDirector(upstreamOf(3, "orders"))
			d.SetView(start, view)
			for n := range 20 {
				now := start + time.Duration(n)*50*time.Millisecond
				status := tracker.Status(now)
				status.From, status.Process = agentIP(1), 1
				d.UpdateStatus(now, status)
				d.FromClient(now, opening(n), nil)
				d.FromClient(now, dataPacket(n), nil)
				d.Heartbeat(now)
				d.PeerStats(now, agentIP(1))
				d.ColdChanges(now)
				tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen, agentIP(3)))
				tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting})
				sendRequest(tracker, now, n)
				tracker.Check(now)
				tracker.NextHeld(now)
				tracker.ServerState(now)
			}
		})
	}
}
