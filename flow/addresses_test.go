package flow_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// foreignEntry returns an entry that another writer created with the IP of the n-th server and another port.
func foreignEntry(n int, service string) registry.Upstream {
	return registry.Upstream{
		ID: "foreign", Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4(agentIP(n)), simPort+3), Place: "here", Slots: 1,
		Incarnation: 99, Created: 1000,
	}
}

// servingStatus returns the status of the n-th agent, which states the server beside it.
func servingStatus(n int, service string) flow.AgentStatus {
	status := statusOf(n, 0, 0)
	status.Service, status.ServerPort = flow.ServiceHash(service), simPort
	return status
}

// denyAll denies the flow of a search for every agent except one, and returns the last decision. It fails if that agent is
// not asked.
func denyAll(t *testing.T, d *flow.Director, now time.Duration, got flow.Decision, key flow.Key, owner flow.IP) flow.Decision {
	t.Helper()
	asked := false
	for got.Action == flow.Forward && got.Request.Purpose == flow.PurposeSearch {
		var denials int
		for _, branch := range append([]flow.Branch{{To: got.To, Request: got.Request}}, got.Branches...) {
			found := branch.To == owner
			for _, ip := range branch.Request.Remaining {
				found = found || ip == owner
			}
			asked = asked || found
			if !found {
				denials++
			}
		}
		id, next := got.Request.SearchID, flow.Decision{}
		for range denials {
			if after, p, _ := d.HandleDenial(now, flow.Denial{Key: key, SearchID: id}); p != nil {
				next = after
			}
		}
		got = next
	}
	if !asked {
		t.Error("the search did not ask the agent of the flow's server")
	}
	return got
}

// TestForeignEntryHidesNoServer covers an entry of another writer with the IP of a live server. The flows of that server
// were reset, and it got no new ones.
func TestForeignEntryHidesNoServer(t *testing.T) {
	servers := []registry.Upstream{upstreamOf(1, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "orders"), upstreamOf(7, "photos")}
	for name, service := range map[string]string{"service that nothing names": "metrics", "service of another route": "photos", "same service": "orders"} {
		for name, states := range map[string]bool{name + ", agents state their servers": true, name + ", agents do not": false} {
			t.Run(name, func(t *testing.T) {
				d := newDirector(servers...)
				statuses := func(now time.Duration) {
					for _, n := range []int{1, 3, 5} {
						status := statusOf(n, 0, 0)
						if states {
							status = servingStatus(n, "orders")
						}
						d.UpdateStatus(now, status)
					}
				}
				statuses(start)
				d.HandleReport(start, flow.Report{Key: dataPacket(1).Key, Held: true, From: agentIP(1), Service: flow.ServiceHash("orders")})
				now := start + 3*time.Second
				statuses(now)
				d.SetView(now, viewAt(now, 6, append(servers[:4:4], foreignEntry(1, service))...))
				now += 3 * time.Second
				d.SetView(now, viewAt(now, 7, append(servers[:4:4], foreignEntry(1, service))...))
				statuses(now)
				switch got := d.FromClient(now, dataPacket(1), nil); {
				case got.Action == flow.Forward && got.Request.Purpose == flow.PurposeDeliver && got.To == agentIP(1):
				case denyAll(t, d, now, got, dataPacket(1).Key, agentIP(1)).Action == flow.Reset:
					t.Error("flow with a known owner was reset")
				}
				got := d.FromClient(now, dataPacket(2), nil)
				if denyAll(t, d, now, got, dataPacket(2).Key, agentIP(1)).Action == flow.Reset {
					t.Error("flow without a known owner was reset")
				}
				if service == "photos" && !states {
					return
				}
				placed := false
				for n := range 30 {
					placed = placed || d.FromClient(now, opening(100+n), nil).To == agentIP(1)
				}
				if !placed {
					t.Error("the server got no new flow")
				}
			})
		}
	}
}

// TestAgentDecidesBetweenEntriesOfItsAddress covers a balancer that has started while an odd entry stood beside that of a
// live server: the status of the agent, and not the age of the entries, shows which one is right.
func TestAgentDecidesBetweenEntriesOfItsAddress(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(7, "photos"), foreignEntry(1, "photos"))
	now := start + 10*time.Millisecond
	d.UpdateStatus(now, servingStatus(1, "orders"))
	now += 100 * time.Millisecond
	d.UpdateStatus(now, servingStatus(1, "orders"))
	d.SetView(now, viewAt(now, 5, upstreamOf(1, "orders"), upstreamOf(7, "photos"), foreignEntry(1, "photos")))
	if got := d.FromClient(now, opening(1), nil); got.Action != flow.Forward || got.To != agentIP(1) {
		t.Fatalf("got %v to %v, want the flow at the server that the agent states", got.Action, got.To)
	}
	unused := d.UnusedEntries()
	if len(unused) != 1 || unused[0].Upstream.ID != "foreign" {
		t.Fatalf("unused entries: %v", unused)
	}
}

// TestReusedAddressIsUsedAtOnce covers an address that goes to a server of another service: the agent there states its new
// server before the earlier entry is gone.
func TestReusedAddressIsUsedAtOnce(t *testing.T) {
	reused := upstreamOf(1, "photos")
	reused.ID, reused.Created = "later", 1000
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	d.UpdateStatus(start, servingStatus(1, "orders"))
	now := start + 100*time.Millisecond
	view := viewAt(now, 6, upstreamOf(1, "orders"), upstreamOf(3, "orders"), reused)
	d.SetView(now, view)
	photo := &flow.Packet{Key: flow.Key{Client: clientEndpoint(1), Service: photos}, Kind: flow.Opening}
	now += 100 * time.Millisecond
	status := servingStatus(1, "photos")
	status.Process = 2
	d.UpdateStatus(now, status)
	now += 100 * time.Millisecond
	d.SetView(now, view)
	if got := d.FromClient(now, photo, nil); got.Action != flow.Forward || got.To != agentIP(1) {
		t.Fatalf("got %v to %v: %s", got.Action, got.To, got.Reason)
	}
}

// TestOverwrittenEntryLosesNoFlow covers an entry of a live server that another writer has written over, so that the view does
// not name the server until it writes again. Its repeatable flows were reset although its agent answered.
func TestOverwrittenEntryLosesNoFlow(t *testing.T) {
	view := func(at time.Duration, version uint64, upstreams ...registry.Upstream) *registry.View {
		v := viewAt(at, version, upstreams...)
		v.Configuration.Routes[0].Repeatable = true
		return v
	}
	for name, c := range map[string]struct {
		answered time.Duration
		lost     bool
	}{
		"agent answers":         {700 * time.Millisecond, false},
		"agent does not answer": {3 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
			d.SetView(start, view(start, 5, upstreamOf(1, "orders"), upstreamOf(2, "orders")))
			d.HandleReport(start, flow.Report{Key: dataPacket(1).Key, Held: true, From: agentIP(2), Service: flow.ServiceHash("orders")})
			now := start + 5*time.Second
			d.UpdateStatus(now-c.answered, servingStatus(2, "orders"))
			d.UpdateStatus(now, servingStatus(1, "orders"))
			d.SetView(now, view(now, 6, upstreamOf(1, "orders")))
			for n := 1; n <= 2; n++ {
				got := d.FromClient(now, dataPacket(n), nil)
				if !c.lost && got.Request.Purpose == flow.PurposeDeliver && got.To == agentIP(2) {
					continue
				}
				for got.Action == flow.Forward && !slices.Contains(agentsAsked(got), agentIP(2)) {
					got, _, _ = d.HandleDenial(now, flow.Denial{Key: dataPacket(n).Key, SearchID: got.Request.SearchID})
				}
				if (got.Action == flow.Reset) != c.lost {
					t.Errorf("flow %d: got %v: %s", n, got.Action, got.Reason)
				}
			}
		})
	}
}

// TestAgentIsAskedOnce covers a server that has restarted with another ID: the entry of its earlier run still stands. Asking
// its agent twice doubled the traffic of searches after a power failure.
func TestAgentIsAskedOnce(t *testing.T) {
	later := upstreamOf(1, "orders")
	later.ID, later.Created, later.Incarnation = "later", 1000, 2
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"), later)
	got := d.FromClient(start, dataPacket(1), nil)
	if asked := len(got.Request.Remaining) + 1 + len(got.Branches); asked != 2 {
		t.Fatalf("%d agents were asked, want 2", asked)
	}
	if next, p, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID}); p == nil || next.Action != flow.Reset {
		t.Fatalf("got %v after all denials: %s", next.Action, next.Reason)
	}
}
