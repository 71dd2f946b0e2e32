package flow_test

import (
	"fmt"
	"math/rand"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

var (
	orders = flow.Endpoint{IP: flow.IP{198, 18, 0, 1}, Port: 443}
	photos = flow.Endpoint{IP: flow.IP{198, 18, 0, 2}, Port: 443}
)

func clientEndpoint(n int) flow.Endpoint {
	return flow.Endpoint{IP: flow.IP{100, 64, byte(n >> 8), byte(n)}, Port: 40000}
}

func agentIP(n int) flow.IP { return flow.IP{10, 1, 0, byte(n)} }

// upstreamOf returns the n-th server of a service. Servers with odd numbers are in the place "here", the others in
// "there".
func upstreamOf(n int, service string) registry.Upstream {
	return registry.Upstream{
		ID: fmt.Sprint("s", n), Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4(agentIP(n)), simPort),
		Place: []string{"there", "here"}[n%2], Slots: 4, Incarnation: 1,
	}
}

func routeTo(end flow.Endpoint, service string) registry.Route {
	return registry.Route{Address: end.AddrPort(), Shares: []registry.Share{{Service: service, Weight: 1}}, Target: 200 * time.Millisecond}
}

// viewAt returns a view that the store confirmed at the given time, and without interruption for an hour before.
func viewAt(at time.Duration, version uint64, upstreams ...registry.Upstream) *registry.View {
	return &registry.View{
		Freshness: registry.Freshness{Revision: registry.Revision(version), Changed: registry.Revision(version), Confirmed: at, ContinuousSince: at - time.Hour},
		Content: &registry.Content{
			Configuration: &registry.Configuration{Version: version, Routes: []registry.Route{routeTo(orders, "orders"), routeTo(photos, "photos")}},
			Upstreams:     upstreams,
		},
	}
}

const start = 2 * time.Hour

func newDirector(upstreams ...registry.Upstream) *flow.Director {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, viewAt(start, 5, upstreams...))
	return d
}

func opening(n int) *flow.Packet {
	return &flow.Packet{Key: flow.Key{Client: clientEndpoint(n), Service: orders}, Kind: flow.Opening}
}

func statusOf(n int, busy, flows uint32) flow.AgentStatus {
	return flow.AgentStatus{From: agentIP(n), Process: 1, Accepting: true, Busy: busy, Slots: 4, Flows: flows}
}

// receive delivers the statuses of agents, so that these agents count as responsive.
func receive(d *flow.Director, now time.Duration, statuses ...flow.AgentStatus) {
	for _, status := range statuses {
		d.UpdateStatus(now, status)
	}
}

func wantForward(t *testing.T, d flow.Decision, purpose flow.Purpose) {
	t.Helper()
	if d.Action != flow.Forward || d.Request.Purpose != purpose {
		t.Fatalf("got %v with purpose %v: %s", d.Action, d.Request.Purpose, d.Reason)
	}
}

func ExampleDirector() {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, viewAt(start, 1, upstreamOf(1, "orders")))
	decision := d.FromClient(start, opening(1), nil)
	fmt.Println(decision.Action, decision.To)
	// Output: forward 10.1.0.1
}

func TestNewFlowsPreferLocalAgents(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(2, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "photos"))
	for n := range 50 {
		now := start + time.Duration(n)*time.Second
		receive(d, now, statusOf(1, 1, 1), statusOf(2, 0, 0), statusOf(3, 1, 1))
		got := d.FromClient(now, opening(n), nil)
		wantForward(t, got, flow.PurposeOpen)
		local := []flow.IP{got.To, got.Request.Remaining[0]}
		slices.SortFunc(local, func(a, b flow.IP) int { return slices.Compare(a[:], b[:]) })
		if !slices.Equal(local, []flow.IP{agentIP(1), agentIP(3)}) {
			t.Fatalf("the first agents for flow %d are %v, want the two local ones", n, local)
		}
		if last := got.Request.Remaining[1]; last != agentIP(2) {
			t.Fatalf("the agent for flow %d after those of its own place is %v", n, last)
		}
	}
}

func TestAlternativesIncludeRemoteAgents(t *testing.T) {
	var servers []registry.Upstream
	for n := range 40 {
		servers = append(servers, upstreamOf(n, "orders"))
	}
	d := newDirector(servers...)
	config := flow.DefaultDirectorConfig("here")
	for n := range 50 {
		got := d.FromClient(start, opening(n), nil)
		list := append([]flow.IP{got.To}, got.Request.Remaining...)
		remote := 0
		for _, ip := range list {
			if ip[3]%2 == 0 {
				remote++
			}
		}
		if len(list) != config.MaxAlternatives+1 || remote != config.MinRemote {
			t.Fatalf("%d of the agents %v are in another place", remote, list)
		}
	}
}

func TestLessLoadedOfTopTwoAgentsIsSelected(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	for n := range 50 {
		receive(d, start, statusOf(1, 0, 10), statusOf(3, 0, 2))
		if got := d.FromClient(start, opening(n), nil); got.To != agentIP(3) {
			t.Fatalf("flow %d was sent to the agent with the higher load", n)
		}
	}
}

func TestNewFlowsAvoidUnavailableServers(t *testing.T) {
	draining := upstreamOf(1, "orders")
	draining.Draining = true
	d := newDirector(draining, upstreamOf(3, "orders"), upstreamOf(5, "orders"), upstreamOf(7, "orders"))
	refusing := statusOf(3, 0, 0)
	refusing.Accepting = false
	for n := range 50 {
		receive(d, start, refusing, statusOf(5, 0, 0), statusOf(7, 0, 0))
		got := d.FromClient(start, opening(n), nil)
		if all := append([]flow.IP{got.To}, got.Request.Remaining...); slices.Contains(all, agentIP(1)) || slices.Contains(all, agentIP(3)) {
			t.Fatalf("the agents for flow %d are %v", n, all)
		}
	}
}

func TestUnresponsiveAgentIsTriedLast(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	receive(d, start, statusOf(1, 0, 0), statusOf(3, 0, 0))
	var asked []flow.IP
	for ip, ok := d.Heartbeat(start + time.Second); ok; ip, ok = d.Heartbeat(start + time.Second) {
		asked = append(asked, ip)
	}
	if len(asked) != 2 {
		t.Fatalf("heartbeats were sent to %v, want 2 agents", asked)
	}
	now := start + 1200*time.Millisecond
	receive(d, now, statusOf(3, 0, 0))
	for n := range 20 {
		receive(d, now, statusOf(3, 0, 0))
		got := d.FromClient(now, opening(n), nil)
		if got.To != agentIP(3) || !slices.Equal(got.Request.Remaining, []flow.IP{agentIP(1)}) {
			t.Fatalf("the agents for flow %d are %v and then %v", n, got.To, got.Request.Remaining)
		}
	}
}

func TestEachCopyOfAnOpeningPacketStartsAtAnotherAgent(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "orders"))
	seen := map[flow.IP]bool{}
	for number := range 3 {
		p := opening(1)
		p.Copy = uint32(number)
		receive(d, start, statusOf(1, 0, 0), statusOf(3, 0, 0), statusOf(5, 0, 0))
		seen[d.FromClient(start, p, nil).To] = true
	}
	if len(seen) != 3 {
		t.Fatalf("three copies were sent to %v", seen)
	}
}

func TestUnansweredOpeningPacketIsHedged(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "orders"))
	first := d.FromClient(start, opening(1), []byte("raw"))
	alternatives := slices.Clone(first.Request.Remaining)
	if _, p, _ := d.NextHedge(start + 30*time.Millisecond); p != nil {
		t.Fatal("packet was sent again too early")
	}
	got, p, raw := d.NextHedge(start + 50*time.Millisecond)
	if p == nil || string(raw) != "raw" || got.To == first.To || !slices.Contains(alternatives, got.To) {
		t.Fatalf("got %+v, %v, %q", got, p, raw)
	}
	d.HandleReport(start+60*time.Millisecond, flow.Report{Key: p.Key, Held: true, From: got.To, Service: flow.ServiceHash("orders")})
	if _, p, _ := d.NextHedge(start + time.Second); p != nil {
		t.Fatal("packet was sent again although it was answered")
	}
}

func TestFlowWithoutAvailableUpstreamIsRefused(t *testing.T) {
	d := newDirector(upstreamOf(5, "photos"))
	got := d.FromClient(start, opening(1), nil)
	if got.Action != flow.Reset || got.Seq != 0 {
		t.Fatalf("got %v: %s", got.Action, got.Reason)
	}
	d.SetView(start+time.Minute, viewAt(start, 6))
	if got := d.FromClient(start+time.Minute, opening(1), nil); got.Action != flow.Drop {
		t.Fatalf("got %v with an outdated view", got.Action)
	}
}

func TestFlowWithoutRouteIsRefused(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"))
	p := opening(1)
	p.Key.Service.Port++
	if got := d.FromClient(start, p, nil); got.Action != flow.Reset || got.Reason != "no route" {
		t.Fatalf("got %v: %s", got.Action, got.Reason)
	}
}

// TestFlowWithoutRouteIsNotReset covers a balancer whose view does not show a new route yet, while the flow was opened through
// another one. A client takes a reset with number zero if its own numbers happen to be near zero.
func TestFlowWithoutRouteIsNotReset(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"))
	p := dataPacket(1)
	p.Key.Service.Port++
	if got := d.FromClient(start, p, nil); got.Action != flow.Drop {
		t.Fatalf("got %v: %s", got.Action, got.Reason)
	}
}

func TestFlowsAreSplitByRouteWeights(t *testing.T) {
	view := viewAt(start, 5, upstreamOf(1, "orders"), upstreamOf(3, "photos"))
	view.Configuration.Routes[0].Shares = []registry.Share{{Service: "orders", Weight: 90}, {Service: "photos", Weight: 10}}
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, view)
	taken := map[flow.IP]int{}
	for n := range 2000 {
		receive(d, start, statusOf(1, 0, 0), statusOf(3, 0, 0))
		taken[d.FromClient(start, opening(n), nil).To]++
	}
	if share := float64(taken[agentIP(1)]) / 2000; share < 0.87 || share > 0.93 {
		t.Fatalf("service with 0.9 of the weight got %v of the flows", share)
	}
}

// reportHeld delivers an agent's report that its server holds a flow.
func reportHeld(d *flow.Director, now time.Duration, key flow.Key, agent int) {
	d.HandleReport(now, flow.Report{Key: key, Held: true, From: agentIP(agent), Service: flow.ServiceHash("orders")})
}

func dataPacket(n int) *flow.Packet {
	return &flow.Packet{Key: opening(n).Key, Kind: flow.Other, Ack: 77, Length: 10}
}

func TestPacketsOfFlowWithHintGoToItsOwner(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	reportHeld(d, start, opening(1).Key, 3)
	got := d.FromClient(start, dataPacket(1), nil)
	wantForward(t, got, flow.PurposeDeliver)
	if got.To != agentIP(3) {
		t.Fatalf("forwarded to %v", got.To)
	}
}

func TestPacketsAreQueuedDuringSearch(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	wantForward(t, d.FromClient(start, dataPacket(1), []byte("first")), flow.PurposeSearch)
	if got := d.FromClient(start, dataPacket(1), []byte("second")); got.Action != flow.Drop {
		t.Fatalf("got %v while a search is in progress", got.Action)
	}
	waiting := d.HandleReport(start, flow.Report{Key: opening(1).Key, Held: true, From: agentIP(1), Service: flow.ServiceHash("orders")})
	if len(waiting) != 1 || string(waiting[0].Raw) != "second" {
		t.Fatalf("got waiting packets %+v", waiting)
	}
	wantForward(t, d.FromClient(start, &waiting[0].Packet, waiting[0].Raw), flow.PurposeDeliver)
}

// manyUpstreams returns n servers of one service, the last one draining.
func manyUpstreams(n int) []registry.Upstream {
	var upstreams []registry.Upstream
	for i := range n {
		upstreams = append(upstreams, upstreamOf(i+1, "orders"))
	}
	upstreams[n-1].Draining = true
	return upstreams
}

// agentsAsked returns all agents that a decision's packets may visit.
func agentsAsked(d flow.Decision) []flow.IP {
	var all []flow.IP
	for _, branch := range append([]flow.Branch{{To: d.To, Request: d.Request}}, d.Branches...) {
		all = append(append(all, branch.To), branch.Request.Remaining...)
	}
	return all
}

func TestSearchAsksEveryServerOnce(t *testing.T) {
	const servers = 100
	d := newDirector(manyUpstreams(servers)...)
	first := d.FromClient(start, dataPacket(1), []byte("raw"))
	wantForward(t, first, flow.PurposeSearch)
	all := agentsAsked(first)
	got, p, raw := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: first.Request.SearchID})
	if p == nil || string(raw) != "raw" {
		t.Fatal("search has no second round")
	}
	all = append(all, agentsAsked(got)...)
	seen := map[flow.IP]bool{}
	for _, ip := range all {
		seen[ip] = true
	}
	if len(all) != servers || len(seen) != servers {
		t.Fatalf("%d agents were asked, %d of them distinct", len(all), len(seen))
	}
	// Only the denial of the last chain proves that the flow is lost.
	for range len(got.Branches) {
		if _, p, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID}); p != nil {
			t.Fatal("got a decision before every chain had ended")
		}
	}
	end, p, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID})
	if p == nil || end.Action != flow.Reset || end.Seq != 77 {
		t.Fatalf("got %+v", end)
	}
}

func TestSearchIsInconclusiveAfterStoreInterruption(t *testing.T) {
	view := viewAt(start, 5, upstreamOf(1, "orders"))
	view.ContinuousSince, view.Interrupted = start-time.Second, true
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, view)
	first := d.FromClient(start, dataPacket(1), nil)
	if got, p, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: first.Request.SearchID}); p == nil || got.Action != flow.Drop {
		t.Fatalf("got %v", got.Action)
	}
}

// TestLostFlowIsResetOnceAllAgentsHaveReported covers a process that searches with a view that it has just read for
// the first time, when an entry may be missing because of an earlier interruption of the store.
func TestLostFlowIsResetOnceAllAgentsHaveReported(t *testing.T) {
	view := viewAt(start, 5, upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	view.ContinuousSince = start
	steady := view.Freshness
	interrupted := steady
	interrupted.Interrupted = true
	outdated := steady
	outdated.Revision, outdated.Confirmed = 4, start-5*time.Second
	for _, c := range []struct {
		name   string
		views  []registry.Freshness
		resets bool
	}{
		{"all agents", []registry.Freshness{steady, steady}, true},
		{"an agent without a view", []registry.Freshness{steady, {}}, true},
		{"not all agents", []registry.Freshness{steady}, false},
		{"an agent that knows of an interruption", []registry.Freshness{steady, interrupted}, false},
		{"an agent with an outdated view", []registry.Freshness{steady, outdated}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
			d.SetView(start, view)
			first := d.FromClient(start, dataPacket(1), nil)
			if got, _, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: first.Request.SearchID}); got.Action != flow.Drop {
				t.Fatalf("got %v before any agent has sent its status", got.Action)
			}
			for i, freshness := range c.views {
				if _, p, _ := d.NextResumedSearch(start); p != nil {
					t.Fatal("search ended before the last agent has sent its status")
				}
				status := statusOf(2*i+1, 0, 0)
				status.View = freshness
				d.UpdateStatus(start+time.Millisecond, status)
			}
			got, p, _ := d.NextResumedSearch(start + 2*time.Millisecond)
			if c.resets && (p == nil || got.Action != flow.Reset || got.Seq != dataPacket(1).Ack) {
				t.Fatalf("got %+v", got)
			}
			if !c.resets && p != nil {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

func TestOutdatedSearchRestartsWhenViewChanges(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"))
	first := d.FromClient(start, dataPacket(1), nil)
	if got, p, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: first.Request.SearchID, Outdated: true}); p == nil || got.Action != flow.Drop {
		t.Fatalf("got %v", got.Action)
	}
	if _, p, _ := d.NextResumedSearch(start); p != nil {
		t.Fatal("search restarted with the same view")
	}
	d.SetView(start+time.Millisecond, viewAt(start, 6, upstreamOf(1, "orders"), upstreamOf(3, "orders")))
	got, p, _ := d.NextResumedSearch(start + time.Millisecond)
	if p == nil || len(agentsAsked(got)) != 2 {
		t.Fatalf("got %+v", got)
	}
}

func TestRepeatedSearchAsksAllAgentsInParallel(t *testing.T) {
	d := newDirector(manyUpstreams(20)...)
	d.FromClient(start, dataPacket(1), nil)
	got := d.FromClient(start+300*time.Millisecond, dataPacket(1), nil)
	if len(got.Branches) != 19 {
		t.Fatalf("got %d agents besides the first, want 19", len(got.Branches))
	}
}

// TestSearchThatAnAgentDoesNotAnswerStartsAgain covers an agent that dies while it has a packet of a search. The client
// of a lost flow sends its next copy up to 1.6 s later.
func TestSearchThatAnAgentDoesNotAnswerStartsAgain(t *testing.T) {
	d := newDirector(manyUpstreams(20)...)
	first := d.FromClient(start, dataPacket(1), nil)
	if _, p, _ := d.NextResumedSearch(start + 140*time.Millisecond); p != nil {
		t.Fatal("search started again before its timeout")
	}
	got, p, _ := d.NextResumedSearch(start + 160*time.Millisecond)
	if p == nil || len(agentsAsked(got)) != 20 || got.Request.SearchID == first.Request.SearchID {
		t.Fatalf("got %v to %d agents, want a new search that asks all 20 directly", got.Action, len(agentsAsked(got)))
	}
	now := start + 160*time.Millisecond
	searches := 2
	for range 500 {
		now += 20 * time.Millisecond
		if _, p, _ := d.NextResumedSearch(now); p != nil {
			searches++
		}
	}
	if searches != 3 {
		t.Errorf("the flow was searched %d times without a new packet of its client, want 3", searches)
	}
}

func TestFlowIsSearchedIfOwnersAddressWasReused(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	reportHeld(d, start, opening(1).Key, 1)
	reused := upstreamOf(1, "photos")
	reused.Incarnation = 2
	d.SetView(start+time.Minute, viewAt(start+time.Minute, 6, reused, upstreamOf(3, "orders")))
	got := d.FromClient(start+10*time.Second, dataPacket(1), nil)
	wantForward(t, got, flow.PurposeSearch)
	if got.To != agentIP(3) {
		t.Fatalf("forwarded to %v", got.To)
	}
}

// TestFlowOfSuspendedVMIsKept covers a VM that is suspended for longer than the store keeps the entry of its server.
// The server continues its requests afterwards, so a flow whose client can't repeat its request must not be reset.
func TestFlowOfSuspendedVMIsKept(t *testing.T) {
	for _, c := range []struct {
		name                 string
		repeatable, draining bool
		hint                 bool
		silence              time.Duration
		want                 flow.Action
	}{
		{"with a hint", false, false, true, 4 * time.Second, flow.Forward},
		{"without a hint", false, false, false, 4 * time.Second, flow.Drop},
		{"repeatable", true, false, true, 4 * time.Second, flow.Reset},
		{"drained before", false, true, true, 4 * time.Second, flow.Reset},
		{"silent for too long", false, false, true, 12 * time.Second, flow.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
			other, owner := upstreamOf(1, "orders"), upstreamOf(3, "orders")
			owner.Draining = c.draining
			views := []*registry.View{viewAt(start, 5, other, owner), viewAt(start+c.silence, 6, other)}
			for _, view := range views {
				view.Configuration.Routes[0].Repeatable = c.repeatable
			}
			d.SetView(start, views[0])
			receive(d, start, statusOf(1, 0, 0), statusOf(3, 0, 0))
			if c.hint {
				reportHeld(d, start, opening(1).Key, 3)
			}
			now := start + c.silence
			d.SetView(now, views[1])
			receive(d, now, statusOf(1, 0, 0))
			got := d.FromClient(now, dataPacket(1), nil)
			if got.Action == flow.Forward && got.Request.Purpose == flow.PurposeSearch {
				got, _, _ = d.HandleDenial(now, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID})
			}
			if got.Action != c.want {
				t.Fatalf("got %v, want %v: %s", got.Action, c.want, got.Reason)
			}
		})
	}
}

func TestHeartbeatRateIsLimitedInLargeFleet(t *testing.T) {
	config := flow.DefaultDirectorConfig("here")
	var upstreams []registry.Upstream
	for n := range 2000 {
		u := upstreamOf(1, "orders")
		u.ID, u.Address = fmt.Sprint(n), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), simPort)
		upstreams = append(upstreams, u)
	}
	d := flow.NewDirector(config, start)
	d.SetView(start, viewAt(start, 5, upstreams...))
	sent := 0
	for now := start; now < start+10*time.Second; now += 20 * time.Millisecond {
		for _, ok := d.Heartbeat(now); ok; _, ok = d.Heartbeat(now) {
			sent++
		}
	}
	// The initial burst is added to the rate.
	if limit := 10*config.MaxHeartbeats + 50; sent > limit {
		t.Fatalf("%d heartbeats in 10 s, want at most %d", sent, limit)
	}
}

func TestRemoteAgentsGetFewerHeartbeats(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(2, "orders"))
	sent := map[flow.IP]int{}
	for now := start; now < start+10*time.Second; now += 20 * time.Millisecond {
		for ip, ok := d.Heartbeat(now); ok; ip, ok = d.Heartbeat(now) {
			sent[ip]++
			d.UpdateStatus(now, statusOf(int(ip[3]), 0, 0))
		}
	}
	if local, remote := sent[agentIP(1)], sent[agentIP(2)]; local < 30 || remote > 11 || remote < 9 {
		t.Fatalf("got %d heartbeats to the local agent and %d to the remote one", local, remote)
	}
}

// TestNewBalancerSendsHeartbeatBurst checks that a new balancer sends as many heartbeats at once as its burst
// allows.
// TestChangeReachesAllAgentsOfALargeFleetSoon lets all balancers announce a new view at the same moment. Each takes more
// than a second to reach all agents, but every agent must hear of it from one of them soon.
func TestChangeReachesAllAgentsOfALargeFleetSoon(t *testing.T) {
	const balancers, agents = 59, 136
	rnd := rand.New(rand.NewSource(1))
	var directors []*flow.Director
	for range balancers {
		config := flow.DefaultDirectorConfig("here")
		config.HeartbeatStart = rnd.Intn(1 << 30)
		d := flow.NewDirector(config, start)
		d.SetView(start, viewAt(start, 5, manyUpstreams(agents)...))
		directors = append(directors, d)
	}
	now := start
	tick := func(handle func(flow.IP)) {
		for _, d := range directors {
			for ip, ok := d.Heartbeat(now); ok; ip, ok = d.Heartbeat(now) {
				handle(ip)
			}
		}
		now += 20 * time.Millisecond
	}
	for range 500 {
		tick(func(flow.IP) {})
	}
	for _, d := range directors {
		d.HeartbeatAll()
	}
	changed := now
	reached := map[flow.IP]bool{}
	for len(reached) < agents && now < changed+2*time.Second {
		tick(func(ip flow.IP) { reached[ip] = true })
	}
	if took := now - changed; took > 200*time.Millisecond {
		t.Fatalf("the change reached %d of %d agents in %v", len(reached), agents, took)
	}
}

func TestNewBalancerSendsHeartbeatBurst(t *testing.T) {
	var upstreams []registry.Upstream
	for n := range 50 {
		upstreams = append(upstreams, upstreamOf(n, "orders"))
	}
	d := newDirector(upstreams...)
	asked := 0
	for _, ok := d.Heartbeat(start); ok; _, ok = d.Heartbeat(start) {
		asked++
	}
	if asked != len(upstreams) {
		t.Fatalf("heartbeats were sent to %d of %d agents at once", asked, len(upstreams))
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, servers := range []int{7, 50, 200} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			d := newDirector(manyUpstreams(servers)...)
			p, raw := opening(1), make([]byte, 32)
			b.ReportAllocs()
			for b.Loop() {
				p.Key.Client.Port++
				d.FromClient(start, p, raw)
				d.HandleReport(start, flow.Report{Key: p.Key})
			}
		})
	}
}

func BenchmarkDeliver(b *testing.B) {
	d := newDirector(manyUpstreams(10)...)
	reportHeld(d, start, opening(1).Key, 3)
	p := dataPacket(1)
	b.ReportAllocs()
	for b.Loop() {
		d.FromClient(start, p, nil)
	}
}

func TestPeersAreMediansOfTheService(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(2, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "photos"))
	report := func(n int, service time.Duration, failureRate float64) {
		status := statusOf(n, 0, 0)
		status.ServiceTime, status.FailureRate = service, failureRate
		d.UpdateStatus(start, status)
	}
	report(1, 40*time.Millisecond, 0)
	report(2, time.Millisecond, 1)
	if got := d.PeerStats(start, agentIP(1)); got != (flow.PeerStats{}) {
		t.Fatalf("got %+v for two servers, want none", got)
	}
	report(3, 50*time.Millisecond, 0.1)
	report(5, 5*time.Millisecond, 0)
	now := start + time.Second
	if got, want := d.PeerStats(now, agentIP(2)), (flow.PeerStats{ServiceTime: 40 * time.Millisecond, FailureRate: 0.1}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if got := d.PeerStats(now, agentIP(5)); got != (flow.PeerStats{}) {
		t.Fatalf("got %+v for a service with one server, want none", got)
	}
}

// TestStatusIsAcceptedAfterAgentClockStepsBack restarts an agent with a lower process number than before. Its
// status must be accepted, and late messages of the earlier run must be ignored.
func TestStatusIsAcceptedAfterAgentClockStepsBack(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	before := statusOf(1, 0, 0)
	before.Process = 900
	receive(d, start, before, statusOf(3, 0, 0))
	d.HandleLeave(start, agentIP(1), 900)
	after := before
	after.Process = 400
	now := start + time.Second
	receive(d, now, after, statusOf(3, 0, 5))
	if got := d.FromClient(now, opening(1), nil); got.To != agentIP(1) {
		t.Fatalf("flow is sent to %v", got.To)
	}
	refusing := before
	refusing.Accepting = false
	receive(d, now, refusing)
	if got := d.FromClient(now, opening(2), nil); got.To != agentIP(1) {
		t.Fatalf("late message of the earlier run was applied: flow is sent to %v", got.To)
	}
}

// TestLatestStoreEntryOwnsAReusedAddress covers an address that was taken over by a server whose clock is behind.
// The entry that the store created last must win.
func TestLatestStoreEntryOwnsAReusedAddress(t *testing.T) {
	old, next := upstreamOf(1, "photos"), upstreamOf(1, "orders")
	old.ID, old.Incarnation, old.Created = "z", 900, 5
	next.Incarnation, next.Created = 400, 8
	d := newDirector(next, old)
	wantForward(t, d.FromClient(start, opening(1), nil), flow.PurposeOpen)
	tracker := newTracker(viewAt(start, 5, next, old))
	if !tracker.Accepting(start) || tracker.Status(start).Slots != 4 {
		t.Fatal("agent uses the entry of another server")
	}
}

// TestIsolatedBalancerIsRecognized covers a balancer that is cut off from all agents. As long as the routers send packets to
// it, its clients are not served although other balancers could do so. One agent that answers is enough to be useful, and a
// balancer whose agents are all gone from the view, or that has just started, is not cut off.
func TestIsolatedBalancerIsRecognized(t *testing.T) {
	config := flow.DefaultDirectorConfig("here")
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	now := start
	pass := func(d *flow.Director, duration time.Duration, answering ...int) {
		for end := now + duration; now < end; now += 20 * time.Millisecond {
			for {
				ip, ok := d.Heartbeat(now)
				if !ok {
					break
				}
				if slices.Contains(answering, int(ip[3])) {
					receive(d, now, statusOf(int(ip[3]), 0, 0))
				}
			}
		}
	}
	want := func(step string, want bool) {
		t.Helper()
		if got := d.Isolated(now); got != want {
			t.Fatalf("%s: isolated is %v", step, got)
		}
	}
	want("start", false)
	pass(d, 2*time.Second, 1)
	want("one agent answers", false)
	pass(d, config.IsolatedAfter/2)
	want("an answer was just received", false)
	pass(d, config.IsolatedAfter/2+config.HeartbeatInterval)
	want("no agent answers", true)
	pass(d, config.RetryInterval+40*time.Millisecond, 3)
	want("an agent answers again", false)
	pass(d, 2*time.Second)
	want("no agent answers again", true)
	d.SetView(now, viewAt(now, 6))
	d.Sweep(now + time.Minute)
	want("there are no agents", false)
}

func TestHealthChangesReturnsEachChangeOnce(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	receive(d, start, statusOf(1, 0, 0), statusOf(3, 0, 0))
	if got := d.HealthChanges(start); len(got) != 0 {
		t.Fatalf("got %v", got)
	}
	silent := d.FromClient(start, opening(1), nil).To
	now := start + time.Second
	if got := d.HealthChanges(now); len(got) != 1 || got[0] != (flow.HealthChange{Agent: silent, Unresponsive: true, SinceHeard: time.Second}) {
		t.Fatalf("got %+v", got)
	}
	if got := d.HealthChanges(now); len(got) != 0 {
		t.Fatalf("change was returned twice: %v", got)
	}
	receive(d, now, statusOf(1, 0, 0), statusOf(3, 0, 0))
	if got := d.HealthChanges(now); len(got) != 1 || got[0].Unresponsive {
		t.Fatalf("got %+v", got)
	}
}

// BenchmarkSetView puts new views into force, at the size that is expected in two years.
// largeFleet returns 58,000 servers of 5,800 services, and the configuration.
func largeFleet() ([]registry.Upstream, *registry.Configuration) {
	const services, servers = 5800, 10
	var upstreams []registry.Upstream
	c := &registry.Configuration{Version: 1}
	for s := range services {
		name := fmt.Sprint("service", s)
		c.Routes = append(c.Routes, routeTo(flow.Endpoint{IP: flow.IP{198, 18, byte(s >> 8), byte(s)}, Port: 443}, name))
		for n := range servers {
			u := upstreamOf(1, name)
			u.ID = fmt.Sprint("s", s, "-", n)
			u.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n), byte(s >> 8), byte(s)}), simPort)
			upstreams = append(upstreams, u)
		}
	}
	return upstreams, c
}

func BenchmarkSetView(b *testing.B) {
	upstreams, c := largeFleet()
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		view := viewAt(start, uint64(n+1), upstreams...)
		view.Configuration = c
		d.SetView(start, view)
	}
}

// BenchmarkSweep measures what a balancer does about once a second.
func BenchmarkSweep(b *testing.B) {
	upstreams, c := largeFleet()
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	view := viewAt(start, 1, upstreams...)
	view.Configuration = c
	d.SetView(start, view)
	for b.Loop() {
		d.Sweep(start)
		d.ColdChanges(start)
	}
}

// BenchmarkDirectorHeap reports the memory of a balancer's Director at the target size, apart from the view.
func BenchmarkDirectorHeap(b *testing.B) {
	upstreams, c := largeFleet()
	view := viewAt(start, 1, upstreams...)
	view.Configuration = c
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc) / 1e6
	}
	for b.Loop() {
		before := heap()
		d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
		d.SetView(start, view)
		for i := range upstreams {
			d.UpdateStatus(start, flow.AgentStatus{From: flow.IP(upstreams[i].Address.Addr().As4()), Process: 1, Accepting: true})
		}
		b.ReportMetric(heap()-before, "MB")
		runtime.KeepAlive(d)
	}
	runtime.KeepAlive(view)
}

// TestLargeWeightsAddUp covers a traffic split whose weights exceed 32 bits together. The route was taken for one without any
// service, and its flows were refused.
func TestLargeWeightsAddUp(t *testing.T) {
	view := viewAt(start, 5, upstreamOf(1, "orders"), upstreamOf(3, "photos"))
	view.Configuration.Routes[0].Shares = []registry.Share{{Service: "orders", Weight: 1 << 31}, {Service: "photos", Weight: 1 << 31}}
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, view)
	got := map[flow.IP]int{}
	for n := range 100 {
		got[d.FromClient(start, opening(n), nil).To]++
	}
	if got[agentIP(1)] < 25 || got[agentIP(3)] < 25 {
		t.Fatalf("flows by agent: %v", got)
	}
}

// firstView returns a view that was first read and confirmed at the given time.
func firstView(read, confirmed time.Duration, version uint64, upstreams ...registry.Upstream) *registry.View {
	view := viewAt(confirmed, version, upstreams...)
	view.ContinuousSince = read
	return view
}

// TestFirstViewProvesNoLossBeforeItIsConfirmedAgain guards against the reset of an open flow by a balancer whose first view is
// older than the entry of the flow's server. When all processes and servers start together, that view has no servers at all, or
// only those whose agents are as late.
func TestFirstViewProvesNoLossBeforeItIsConfirmedAgain(t *testing.T) {
	for name, first := range map[string][]registry.Upstream{"no servers": nil, "some servers": {upstreamOf(1, "orders")}} {
		t.Run(name, func(t *testing.T) {
			d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
			d.SetView(start, firstView(start, start, 5, first...))
			receive(d, start, statusOf(1, 0, 0))
			now := start + 400*time.Millisecond
			got := d.FromClient(now, dataPacket(1), nil)
			if got.Action == flow.Forward {
				got, _, _ = d.HandleDenial(now, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID})
			}
			if got.Action == flow.Reset {
				t.Fatalf("the flow was reset: %s", got.Reason)
			}
			if resumed, p, _ := d.NextResumedSearch(now + 20*time.Millisecond); p != nil {
				t.Fatalf("got %v before the view has changed: %s", resumed.Action, resumed.Reason)
			}
			d.SetView(now+100*time.Millisecond, firstView(start, now+50*time.Millisecond, 6, append(first, upstreamOf(3, "orders"))...))
			resumed, p, _ := d.NextResumedSearch(now + 100*time.Millisecond)
			if p == nil || !slices.Contains(agentsAsked(resumed), agentIP(3)) {
				t.Fatalf("got %v to %v, want a search that asks the new server", resumed.Action, agentsAsked(resumed))
			}
		})
	}
}

// TestFirstViewProvesALossOnceItIsConfirmedAgain covers the same balancer while no server appears: the flow is lost.
func TestFirstViewProvesALossOnceItIsConfirmedAgain(t *testing.T) {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, firstView(start, start, 5))
	now := start + 400*time.Millisecond
	if got := d.FromClient(now, dataPacket(1), nil); got.Action != flow.Drop {
		t.Fatalf("got %v", got.Action)
	}
	d.SetView(now+100*time.Millisecond, firstView(start, now+50*time.Millisecond, 5))
	if got, p, _ := d.NextResumedSearch(now + 100*time.Millisecond); p == nil || got.Action != flow.Reset {
		t.Fatalf("got %v, want a reset", got.Action)
	}
}

// TestFirstViewWithoutServersRefusesNoFlow guards against opening packets that are refused because their balancer has read the
// configuration just before the servers wrote their entries.
func TestFirstViewWithoutServersRefusesNoFlow(t *testing.T) {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, firstView(start, start, 5))
	now := start + 700*time.Millisecond
	if got := d.FromClient(now, opening(1), nil); got.Action != flow.Drop {
		t.Fatalf("got %v: %s", got.Action, got.Reason)
	}
	d.SetView(now, firstView(start, now, 5))
	if got := d.FromClient(now, opening(1), nil); got.Action != flow.Reset {
		t.Fatalf("got %v although the view has been confirmed without a server: %s", got.Action, got.Reason)
	}
	draining := upstreamOf(1, "orders")
	draining.Draining = true
	d.SetView(now, firstView(now, now, 6, draining))
	if got := d.FromClient(now, opening(1), nil); got.Action != flow.Reset {
		t.Fatalf("got %v although the only server drains: %s", got.Action, got.Reason)
	}
}

// TestOwnerWithoutEntryIsAskedWhileItsAgentRestarts guards against the reset of a live flow by a balancer that has no hint of it,
// while the agent of its server restarts and another writer has overwritten the server's entry.
func TestOwnerWithoutEntryIsAskedWhileItsAgentRestarts(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	receive(d, start, statusOf(1, 0, 0), statusOf(3, 0, 0))
	now := start + 300*time.Millisecond
	d.SetView(now, viewAt(now, 6, upstreamOf(3, "orders")))
	d.HandleLeave(now, agentIP(1), 1)
	got := d.FromClient(now, dataPacket(1), nil)
	wantForward(t, got, flow.PurposeSearch)
	got, _, _ = d.HandleDenial(now, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID})
	if asked := agentsAsked(got); !slices.Equal(asked, []flow.IP{agentIP(1)}) {
		t.Fatalf("got %v to %v, want the packet at the agent that restarts: %s", got.Action, asked, got.Reason)
	}
}
