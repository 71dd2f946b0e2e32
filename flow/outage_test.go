package flow_test

import (
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// TestFlowOpenedDuringAnOutageReachesItsServer covers a server that restarts while the store is silent, and takes flows
// before the view can name its new run. Its agent is in another place, so its last status is often older than StatusTTL.
// A balancer took such a flow for one of the earlier run, did not ask the server, and reset it.
func TestFlowOpenedDuringAnOutageReachesItsServer(t *testing.T) {
	owner := upstreamOf(2, "orders")
	later := owner
	later.Incarnation = 2
	d := newDirector(owner, upstreamOf(1, "orders"))
	receive(d, start, statusOf(1, 0, 0), statusOf(2, 0, 0))
	opened := start + time.Second
	reportHeld(d, opened, opening(1).Key, 2)
	storeBack := start + 7*time.Second
	receive(d, storeBack-100*time.Millisecond, statusOf(2, 0, 1))
	d.SetView(storeBack, viewAt(storeBack, 6, later, upstreamOf(1, "orders")))
	for _, silence := range []time.Duration{0, 600 * time.Millisecond, 10 * time.Second} {
		got := d.FromClient(storeBack+silence, dataPacket(1), nil)
		if !slices.Contains(agentsAsked(got), agentIP(2)) {
			t.Fatalf("%v after the outage the packet went to %v, not to the server that holds its flow: %s", silence, agentsAsked(got), got.Reason)
		}
	}
}

// TestFlowOfAnEarlierRunIsStillReset covers the other meaning of the same view: the server lost the flow in its restart. Its
// agent returns the packet, and the flow is reset once the others have denied it as well.
func TestFlowOfAnEarlierRunIsStillReset(t *testing.T) {
	owner := upstreamOf(2, "orders")
	later := owner
	later.Incarnation = 2
	d := newDirector(owner, upstreamOf(1, "orders"))
	reportHeld(d, start, opening(1).Key, 2)
	now := start + 7*time.Second
	d.SetView(now, viewAt(now, 6, later, upstreamOf(1, "orders")))
	now += time.Second
	wantForward(t, d.FromClient(now, dataPacket(1), nil), flow.PurposeDeliver)
	got := d.HandleReturned(now, dataPacket(1), nil, agentIP(2), false)
	if asked := agentsAsked(got); !slices.Equal(asked, []flow.IP{agentIP(1)}) {
		t.Fatalf("asked %v, want the other agent only", asked)
	}
	got, _, _ = d.HandleDenial(now, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID})
	if got.Action != flow.Reset {
		t.Fatalf("got %v: %s", got.Action, got.Reason)
	}
}

// TestOwnerAtAReusedAddressIsAsked covers a view that names a server of another service at the owner's address. It may be
// older than the flow, for example if the store was restored from a copy. No time of the view proves that the owner is gone,
// so its agent must be asked before the flow is reset.
func TestOwnerAtAReusedAddressIsAsked(t *testing.T) {
	d, now := directorWithReusedAddress()
	wantOwnerAsked(t, d, now, d.FromClient(now, dataPacket(1), nil))
}

// directorWithReusedAddress returns a Director with a hint of flow 1 to server 2 of "orders", at the time when its view first names
// a server of "photos" at that address.
func directorWithReusedAddress() (*flow.Director, time.Duration) {
	d := newDirector(upstreamOf(2, "orders"), upstreamOf(1, "orders"))
	reportHeld(d, start, opening(1).Key, 2)
	now := start + 10*time.Second
	d.SetView(now, viewWithReusedAddress(now, 6))
	return d, now
}

func viewWithReusedAddress(now time.Duration, version uint64) *registry.View {
	other := upstreamOf(2, "photos")
	other.ID = "other"
	return viewAt(now, version, upstreamOf(1, "orders"), other)
}

// TestOwnerAtAReusedAddressIsAskedAgain covers the same in a search that starts again with a newer view.
func TestOwnerAtAReusedAddressIsAskedAgain(t *testing.T) {
	d, now := directorWithReusedAddress()
	got := d.FromClient(now, dataPacket(1), nil)
	for got.Action == flow.Forward {
		got, _, _ = d.HandleDenial(now, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID, Outdated: true})
	}
	now += 100 * time.Millisecond
	d.SetView(now, viewWithReusedAddress(now, 7))
	got, p, _ := d.NextResumedSearch(now)
	if p == nil {
		t.Fatal("the search does not start again")
	}
	wantOwnerAsked(t, d, now, got)
}

// wantOwnerAsked follows a search until it asks agent 2 as one of the service "orders".
func wantOwnerAsked(t *testing.T, d *flow.Director, now time.Duration, got flow.Decision) {
	t.Helper()
	denials := 0
	for got.Action == flow.Forward {
		for _, branch := range append([]flow.Branch{{To: got.To, Request: got.Request}}, got.Branches...) {
			if slices.Contains(append(branch.Request.Remaining, branch.To), agentIP(2)) {
				if branch.Request.Service != flow.ServiceHash("orders") {
					t.Fatal("the owner's agent is asked as one of another service")
				}
				return
			}
		}
		denials++
		got, _, _ = d.HandleDenial(now, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID})
	}
	t.Fatalf("after %d denials got %v without asking the owner's agent: %s", denials, got.Action, got.Reason)
}
