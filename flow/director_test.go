package flow_test

import (
	"fmt"
	"net/netip"
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

func clientEnd(n int) flow.Endpoint {
	return flow.Endpoint{IP: flow.IP{100, 64, byte(n >> 8), byte(n)}, Port: 40000}
}

func agentIP(n int) flow.IP { return flow.IP{10, 1, 0, byte(n)} }

// upstreamOf returns a server of a service; odd ones stand in the place "here", even ones in "there".
func upstreamOf(n int, service string) registry.Upstream {
	return registry.Upstream{
		ID: fmt.Sprint("s", n), Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4(agentIP(n)), simPort),
		Place: []string{"there", "here"}[n%2], Slots: 4, Incarnation: 1,
	}
}

func routeTo(end flow.Endpoint, service string) registry.Route {
	return registry.Route{Address: end.AddrPort(), Shares: []registry.Share{{Service: service, Weight: 1}}, Target: 200 * time.Millisecond}
}

// viewAt returns a view that the store confirms at a time and has long done.
func viewAt(at time.Duration, version uint64, upstreams ...registry.Upstream) *registry.View {
	return &registry.View{
		Freshness: registry.Freshness{Revision: version, Changed: version, Confirmed: at, Continuous: at - time.Hour},
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
	return &flow.Packet{Key: flow.Key{Client: clientEnd(n), Service: orders}, Kind: flow.Opening}
}

func word(n int, busy, flows uint32) flow.AgentStatus {
	return flow.AgentStatus{From: agentIP(n), Process: 1, Accepting: true, Busy: busy, Slots: 4, Flows: flows}
}

// hear lets agents answer, so that none is in doubt.
func hear(d *flow.Director, now time.Duration, words ...flow.AgentStatus) {
	for _, w := range words {
		d.UpdateStatus(now, w)
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

func TestNewFlowsStayInTheirPlaceAsLongAsItHasRoom(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(2, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "photos"))
	for n := range 50 {
		now := start + time.Duration(n)*time.Second
		hear(d, now, word(1, 1, 1), word(2, 0, 0), word(3, 1, 1))
		got := d.FromClient(now, opening(n), nil)
		wantForward(t, got, flow.Open)
		near := []flow.IP{got.To, got.Request.Remaining[0]}
		slices.SortFunc(near, func(a, b flow.IP) int { return slices.Compare(a[:], b[:]) })
		if !slices.Equal(near, []flow.IP{agentIP(1), agentIP(3)}) {
			t.Fatalf("flow %d is offered to %v first", n, near)
		}
		if last := got.Request.Remaining[1]; last != agentIP(2) {
			t.Fatalf("flow %d goes to %v if its place is full", n, last)
		}
	}
}

func TestAFullPlaceLeavesRoomForOthersInTheList(t *testing.T) {
	var servers []registry.Upstream
	for n := range 40 {
		servers = append(servers, upstreamOf(n, "orders"))
	}
	d := newDirector(servers...)
	config := flow.DefaultDirectorConfig("here")
	for n := range 50 {
		got := d.FromClient(start, opening(n), nil)
		list := append([]flow.IP{got.To}, got.Request.Remaining...)
		elsewhere := 0
		for _, ip := range list {
			if ip[3]%2 == 0 {
				elsewhere++
			}
		}
		if len(list) != config.MaxAlternatives+1 || elsewhere != config.MinRemote {
			t.Fatalf("%d of %v are in another place", elsewhere, list)
		}
	}
}

func TestOfTwoRanksTheLessLoadedIsTaken(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	for n := range 50 {
		hear(d, start, word(1, 0, 10), word(3, 0, 2))
		if got := d.FromClient(start, opening(n), nil); got.To != agentIP(3) {
			t.Fatalf("flow %d went to the loaded server", n)
		}
	}
}

func TestNewFlowsAvoidServersThatTakeNone(t *testing.T) {
	draining := upstreamOf(1, "orders")
	draining.Draining = true
	d := newDirector(draining, upstreamOf(3, "orders"), upstreamOf(5, "orders"), upstreamOf(7, "orders"))
	refusing := word(3, 0, 0)
	refusing.Accepting = false
	for n := range 50 {
		hear(d, start, refusing, word(5, 0, 0), word(7, 0, 0))
		got := d.FromClient(start, opening(n), nil)
		if all := append([]flow.IP{got.To}, got.Request.Remaining...); slices.Contains(all, agentIP(1)) || slices.Contains(all, agentIP(3)) {
			t.Fatalf("flow %d may go to %v", n, all)
		}
	}
}

func TestAgentThatDoesNotAnswerComesLast(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	hear(d, start, word(1, 0, 0), word(3, 0, 0))
	var asked []flow.IP
	for ip, ok := d.Heartbeat(start + time.Second); ok; ip, ok = d.Heartbeat(start + time.Second) {
		asked = append(asked, ip)
	}
	if len(asked) != 2 {
		t.Fatalf("heartbeats to %v", asked)
	}
	now := start + 1200*time.Millisecond
	hear(d, now, word(3, 0, 0))
	for n := range 20 {
		hear(d, now, word(3, 0, 0))
		got := d.FromClient(now, opening(n), nil)
		if got.To != agentIP(3) || !slices.Equal(got.Request.Remaining, []flow.IP{agentIP(1)}) {
			t.Fatalf("flow %d goes to %v and then %v", n, got.To, got.Request.Remaining)
		}
	}
}

func TestEachCopyOfAnOpeningPacketStartsElsewhere(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "orders"))
	seen := map[flow.IP]bool{}
	for number := range 3 {
		p := opening(1)
		p.Copy = uint32(number)
		hear(d, start, word(1, 0, 0), word(3, 0, 0), word(5, 0, 0))
		seen[d.FromClient(start, p, nil).To] = true
	}
	if len(seen) != 3 {
		t.Fatalf("three copies went to %v", seen)
	}
}

func TestOpeningPacketWithoutAnAnswerGoesToTheNextAgent(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "orders"))
	first := d.FromClient(start, opening(1), []byte("raw"))
	alternatives := slices.Clone(first.Request.Remaining)
	if _, p, _ := d.NextHedge(start + 30*time.Millisecond); p != nil {
		t.Fatal("sent again too early")
	}
	got, p, raw := d.NextHedge(start + 50*time.Millisecond)
	if p == nil || string(raw) != "raw" || got.To == first.To || !slices.Contains(alternatives, got.To) {
		t.Fatalf("got %+v, %v, %q", got, p, raw)
	}
	d.HandleReport(start+60*time.Millisecond, flow.Report{Key: p.Key, Held: true, From: got.To, Service: flow.ServiceHash("orders")})
	if _, p, _ := d.NextHedge(start + time.Second); p != nil {
		t.Fatal("sent again although it was answered")
	}
}

func TestFlowThatNoServerTakesIsRefused(t *testing.T) {
	d := newDirector(upstreamOf(5, "photos"))
	got := d.FromClient(start, opening(1), nil)
	if got.Action != flow.Reset || got.Seq != 0 {
		t.Fatalf("got %v: %s", got.Action, got.Reason)
	}
	d.SetView(start+time.Minute, viewAt(start, 6))
	if got := d.FromClient(start+time.Minute, opening(1), nil); got.Action != flow.Drop {
		t.Fatalf("an old view decided on %v", got.Action)
	}
}

func TestRouteThatDoesNotExistIsRefused(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"))
	p := opening(1)
	p.Key.Service.Port++
	if got := d.FromClient(start, p, nil); got.Action != flow.Reset || got.Reason != "no route" {
		t.Fatalf("got %v: %s", got.Action, got.Reason)
	}
}

func TestWeightsOfARouteShareItsFlows(t *testing.T) {
	view := viewAt(start, 5, upstreamOf(1, "orders"), upstreamOf(3, "photos"))
	view.Configuration.Routes[0].Shares = []registry.Share{{Service: "orders", Weight: 90}, {Service: "photos", Weight: 10}}
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, view)
	taken := map[flow.IP]int{}
	for n := range 2000 {
		hear(d, start, word(1, 0, 0), word(3, 0, 0))
		taken[d.FromClient(start, opening(n), nil).To]++
	}
	if share := float64(taken[agentIP(1)]) / 2000; share < 0.87 || share > 0.93 {
		t.Fatalf("%v of the flows went to the service with 0.9 of the weight", share)
	}
}

// open makes an agent report a flow as held.
func open(d *flow.Director, now time.Duration, key flow.Key, agent int) {
	d.HandleReport(now, flow.Report{Key: key, Held: true, From: agentIP(agent), Service: flow.ServiceHash("orders")})
}

func later(n int) *flow.Packet {
	return &flow.Packet{Key: opening(n).Key, Kind: flow.Other, Ack: 77, Length: 10}
}

func TestLaterPacketsFollowTheHint(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	open(d, start, opening(1).Key, 3)
	got := d.FromClient(start, later(1), nil)
	wantForward(t, got, flow.Deliver)
	if got.To != agentIP(3) {
		t.Fatalf("went to %v", got.To)
	}
}

func TestPacketsOfOneFlowWaitForItsSearch(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	wantForward(t, d.FromClient(start, later(1), []byte("first")), flow.Search)
	if got := d.FromClient(start, later(1), []byte("second")); got.Action != flow.Drop {
		t.Fatalf("a second search: %v", got.Action)
	}
	waiting := d.HandleReport(start, flow.Report{Key: opening(1).Key, Held: true, From: agentIP(1), Service: flow.ServiceHash("orders")})
	if len(waiting) != 1 || string(waiting[0].Raw) != "second" {
		t.Fatalf("waiting %+v", waiting)
	}
	wantForward(t, d.FromClient(start, &waiting[0].Packet, waiting[0].Raw), flow.Deliver)
}

// manyUpstreams returns servers of one service, the last one draining.
func manyUpstreams(n int) []registry.Upstream {
	var upstreams []registry.Upstream
	for i := range n {
		upstreams = append(upstreams, upstreamOf(i+1, "orders"))
	}
	upstreams[n-1].Draining = true
	return upstreams
}

// asked returns the agents that a decision asks.
func asked(d flow.Decision) []flow.IP {
	var all []flow.IP
	for _, branch := range append([]flow.Branch{{To: d.To, Request: d.Request}}, d.Branches...) {
		all = append(append(all, branch.To), branch.Request.Remaining...)
	}
	return all
}

func TestSearchAsksEveryServerOnce(t *testing.T) {
	const servers = 100
	d := newDirector(manyUpstreams(servers)...)
	first := d.FromClient(start, later(1), []byte("raw"))
	wantForward(t, first, flow.Search)
	all := asked(first)
	got, p, raw := d.HandleDenial(start, flow.Denial{Key: later(1).Key, Search: first.Request.Search})
	if p == nil || string(raw) != "raw" {
		t.Fatal("no second round")
	}
	all = append(all, asked(got)...)
	seen := map[flow.IP]bool{}
	for _, ip := range all {
		seen[ip] = true
	}
	if len(all) != servers || len(seen) != servers {
		t.Fatalf("%d agents were asked, %d different ones", len(all), len(seen))
	}
	// Only the denial of the last chain proves that the flow is lost.
	for range len(got.Branches) {
		if _, p, _ := d.HandleDenial(start, flow.Denial{Key: later(1).Key, Search: got.Request.Search}); p != nil {
			t.Fatal("decided before every chain has ended")
		}
	}
	end, p, _ := d.HandleDenial(start, flow.Denial{Key: later(1).Key, Search: got.Request.Search})
	if p == nil || end.Action != flow.Reset || end.Seq != 77 {
		t.Fatalf("got %+v", end)
	}
}

func TestSearchProvesNothingShortlyAfterAnInterruptionOfTheStore(t *testing.T) {
	view := viewAt(start, 5, upstreamOf(1, "orders"))
	view.Continuous, view.Interrupted = start-time.Second, true
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, view)
	first := d.FromClient(start, later(1), nil)
	if got, p, _ := d.HandleDenial(start, flow.Denial{Key: later(1).Key, Search: first.Request.Search}); p == nil || got.Action != flow.Drop {
		t.Fatalf("got %v", got.Action)
	}
}

// TestLostFlowIsResetOnceEveryAgentHasSpoken lets a new process search for a flow with a view that it has just read.
func TestLostFlowIsResetOnceEveryAgentHasSpoken(t *testing.T) {
	read := viewAt(start, 5, upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	read.Continuous = start
	calm := read.Freshness
	interrupted := calm
	interrupted.Interrupted = true
	silent := calm
	silent.Revision, silent.Confirmed = 4, start-5*time.Second
	for _, c := range []struct {
		name   string
		views  []registry.Freshness
		resets bool
	}{
		{"every agent", []registry.Freshness{calm, calm}, true},
		{"an agent without a view", []registry.Freshness{calm, {}}, true},
		{"not every agent", []registry.Freshness{calm}, false},
		{"one that knows of an interruption", []registry.Freshness{calm, interrupted}, false},
		{"one that has not heard the store for long", []registry.Freshness{calm, silent}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
			d.SetView(start, read)
			first := d.FromClient(start, later(1), nil)
			if got, _, _ := d.HandleDenial(start, flow.Denial{Key: later(1).Key, Search: first.Request.Search}); got.Action != flow.Drop {
				t.Fatalf("%v before any agent has spoken", got.Action)
			}
			for i, view := range c.views {
				if _, p, _ := d.NextResumedSearch(start); p != nil {
					t.Fatal("the search ended before the last agent has spoken")
				}
				w := word(2*i+1, 0, 0)
				w.View = view
				d.UpdateStatus(start+time.Millisecond, w)
			}
			got, p, _ := d.NextResumedSearch(start + 2*time.Millisecond)
			if c.resets && (p == nil || got.Action != flow.Reset || got.Seq != later(1).Ack) {
				t.Fatalf("got %+v", got)
			}
			if !c.resets && p != nil {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

func TestOutdatedSearchBeginsAnewWhenTheViewHasChanged(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"))
	first := d.FromClient(start, later(1), nil)
	if got, p, _ := d.HandleDenial(start, flow.Denial{Key: later(1).Key, Search: first.Request.Search, Outdated: true}); p == nil || got.Action != flow.Drop {
		t.Fatalf("got %v", got.Action)
	}
	if _, p, _ := d.NextResumedSearch(start); p != nil {
		t.Fatal("began anew with the same view")
	}
	d.SetView(start+time.Millisecond, viewAt(start, 6, upstreamOf(1, "orders"), upstreamOf(3, "orders")))
	got, p, _ := d.NextResumedSearch(start + time.Millisecond)
	if p == nil || len(asked(got)) != 2 {
		t.Fatalf("got %+v", got)
	}
}

func TestRepeatedSearchAsksEveryoneAtOnce(t *testing.T) {
	d := newDirector(manyUpstreams(20)...)
	d.FromClient(start, later(1), nil)
	got := d.FromClient(start+300*time.Millisecond, later(1), nil)
	if len(got.Branches) != 19 {
		t.Fatalf("%d agents besides the first", len(got.Branches))
	}
}

func TestFlowOfAnAddressThatAnotherServiceTookIsSearched(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	open(d, start, opening(1).Key, 1)
	reused := upstreamOf(1, "photos")
	reused.Incarnation = 2
	d.SetView(start+time.Minute, viewAt(start+time.Minute, 6, reused, upstreamOf(3, "orders")))
	got := d.FromClient(start+10*time.Second, later(1), nil)
	wantForward(t, got, flow.Search)
	if got.To != agentIP(3) {
		t.Fatalf("went to %v", got.To)
	}
}

func TestHeartbeatsOfALargeFleetStayWithinTheirBudget(t *testing.T) {
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
	// What may be sent at once comes on top.
	if most := 10*config.MaxHeartbeats + 50; sent > most {
		t.Fatalf("%d heartbeats in 10 s, want at most %d", sent, most)
	}
}

func TestAgentsOfOtherPlacesGetFewerHeartbeats(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(2, "orders"))
	sent := map[flow.IP]int{}
	for now := start; now < start+10*time.Second; now += 20 * time.Millisecond {
		for ip, ok := d.Heartbeat(now); ok; ip, ok = d.Heartbeat(now) {
			sent[ip]++
			d.UpdateStatus(now, word(int(ip[3]), 0, 0))
		}
	}
	if near, far := sent[agentIP(1)], sent[agentIP(2)]; near < 30 || far > 11 || far < 9 {
		t.Fatalf("%d heartbeats to an agent in the own place, %d to one elsewhere", near, far)
	}
}

// TestEveryAgentIsAskedAtTheStart lets a new balancer ask as many agents as it may at once.
func TestEveryAgentIsAskedAtTheStart(t *testing.T) {
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
		t.Fatalf("%d of %d agents were asked at once", asked, len(upstreams))
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
	open(d, start, opening(1).Key, 3)
	p := later(1)
	b.ReportAllocs()
	for b.Loop() {
		d.FromClient(start, p, nil)
	}
}

func TestPeersAreTheMedianOfTheService(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(2, "orders"), upstreamOf(3, "orders"), upstreamOf(5, "photos"))
	tell := func(n int, service time.Duration, failing float64) {
		w := word(n, 0, 0)
		w.ServiceTime, w.FailureRate = service, failing
		d.UpdateStatus(start, w)
	}
	tell(1, 40*time.Millisecond, 0)
	tell(2, time.Millisecond, 1)
	if got := d.PeerStats(start, agentIP(1)); got != (flow.PeerStats{}) {
		t.Fatalf("%+v of two servers", got)
	}
	tell(3, 50*time.Millisecond, 0.1)
	tell(5, 5*time.Millisecond, 0)
	now := start + time.Second
	if got, want := d.PeerStats(now, agentIP(2)), (flow.PeerStats{ServiceTime: 40 * time.Millisecond, FailureRate: 0.1}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if got := d.PeerStats(now, agentIP(5)); got != (flow.PeerStats{}) {
		t.Fatalf("%+v of a service with one server", got)
	}
}

// TestAgentWhoseClockHasSteppedBackIsHeard lets an agent restart with a lower identity than before.
func TestAgentWhoseClockHasSteppedBackIsHeard(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	before := word(1, 0, 0)
	before.Process = 900
	hear(d, start, before, word(3, 0, 0))
	d.HandleLeave(start, agentIP(1), 900)
	after := before
	after.Process = 400
	now := start + time.Second
	hear(d, now, after, word(3, 0, 5))
	if got := d.FromClient(now, opening(1), nil); got.To != agentIP(1) {
		t.Fatalf("the flow goes to %v", got.To)
	}
	refusing := before
	refusing.Accepting = false
	hear(d, now, refusing)
	if got := d.FromClient(now, opening(2), nil); got.To != agentIP(1) {
		t.Fatalf("a late message of the earlier run counts: the flow goes to %v", got.To)
	}
}

// TestEntryThatTheStoreCreatedLastHoldsAnAddress lets the clock of a server that took over an address be behind.
func TestEntryThatTheStoreCreatedLastHoldsAnAddress(t *testing.T) {
	old, next := upstreamOf(1, "photos"), upstreamOf(1, "orders")
	old.ID, old.Incarnation, old.Created = "z", 900, 5
	next.Incarnation, next.Created = 400, 8
	d := newDirector(next, old)
	wantForward(t, d.FromClient(start, opening(1), nil), flow.Open)
	k := newKeeper(viewAt(start, 5, next, old))
	if !k.Accepting(start) || k.Status(start).Slots != 4 {
		t.Fatal("the agent goes by the entry of another server")
	}
}

func TestChangesOfDoubtAreTold(t *testing.T) {
	d := newDirector(upstreamOf(1, "orders"), upstreamOf(3, "orders"))
	hear(d, start, word(1, 0, 0), word(3, 0, 0))
	if got := d.HealthChanges(start); len(got) != 0 {
		t.Fatalf("got %v", got)
	}
	silent := d.FromClient(start, opening(1), nil).To
	now := start + time.Second
	if got := d.HealthChanges(now); len(got) != 1 || got[0] != (flow.HealthChange{Agent: silent, Unresponsive: true, SinceHeard: time.Second}) {
		t.Fatalf("got %+v", got)
	}
	if got := d.HealthChanges(now); len(got) != 0 {
		t.Fatalf("told twice: %v", got)
	}
	hear(d, now, word(1, 0, 0), word(3, 0, 0))
	if got := d.HealthChanges(now); len(got) != 1 || got[0].Unresponsive {
		t.Fatalf("got %+v", got)
	}
}

// BenchmarkAdopt puts a view in force that differs in one server, at the size of two years.
func BenchmarkAdopt(b *testing.B) {
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
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		view := viewAt(start, uint64(n+1), upstreams...)
		view.Configuration = c
		d.SetView(start, view)
	}
}
