package flow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// movedView returns a view in which the route of orders was moved to the service "photos", and which knows the routes
// of the given period.
func movedView(version uint64, routesKnown time.Duration, former []registry.FormerShare, upstreams ...registry.Upstream) *registry.View {
	view := viewAt(start, version, upstreams...)
	view.Configuration.Routes[0] = routeTo(orders, "photos")
	view.Former = former
	view.RoutesKnownSince = start - routesKnown
	return view
}

var ordersMoved = []registry.FormerShare{{Address: orders.AddrPort(), Service: "orders", Until: start - time.Second}}

func TestAgentDeliversItsFlowWhateverServiceTheRequestNames(t *testing.T) {
	tracker := newTracker(orderView(5))
	acceptFlow(t, tracker, start, 1)
	r := request(flow.PurposeSearch)
	r.Service = flow.ServiceHash("photos")
	wantAction(t, tracker.FromNode(start, dataPacket(1), nil, r), flow.ToServer, flow.NoteHeld)
	r.Purpose = flow.PurposeDeliver
	wantAction(t, tracker.FromNode(start, dataPacket(1), nil, r), flow.ToServer, flow.NoNote)
}

// TestRestartedAgentDeniesFlowsOfAnotherService covers an address that a server of another service uses again. Its new
// agent knows no flows, and must not ask the server.
func TestRestartedAgentDeniesFlowsOfAnotherService(t *testing.T) {
	tracker := newTracker(orderView(5))
	r := request(flow.PurposeSearch)
	r.Service = flow.ServiceHash("photos")
	wantAction(t, tracker.FromNode(start, dataPacket(1), nil, r), flow.Drop, flow.NoteDenied)
}

// TestRestartedAgentAsksItsServerInASearchOfAllServices covers the loss of all processes after a route has moved. Nobody knows
// that the server's service got flows of the address, so only the server can tell whether it holds one of them. An agent that
// did not ask kept the packets from the owner while all servers of the present service got them.
func TestRestartedAgentAsksItsServerInASearchOfAllServices(t *testing.T) {
	for name, service := range map[string]string{"as the view has it": "orders", "with another service in the view": "photos"} {
		tracker := newTracker(orderView(5))
		r := request(flow.PurposeSearch)
		r.Service, r.Wide = flow.ServiceHash(service), true
		wantAction(t, tracker.FromNode(start, dataPacket(1), nil, r), flow.ToServer, flow.NoNote)
		p := *dataPacket(1)
		p.Returned = true
		v := tracker.FromServer(start, &p)
		wantAction(t, v, flow.Drop, flow.NoteDenied)
		if v.Request.Outdated() {
			t.Errorf("%s: the denial of the server proves nothing", name)
		}
		wantAction(t, tracker.FromNode(start, dataPacket(2), nil, r), flow.ToServer, flow.NoNote)
		wantAction(t, tracker.FromServer(start, &flow.Packet{Key: dataPacket(2).Key, Kind: flow.Other, Length: 10}), flow.ToClient, flow.NoteHeld)
		r.Purpose = flow.PurposeOpen
		if v := tracker.FromNode(start, opening(3), nil, r); service == "photos" && v.Action == flow.ToServer {
			t.Errorf("%s: an opening packet reached the server", name)
		}
	}
}

// TestServerThatReturnedAPacketIsNotGivenFurtherOnesOfItsFlow guards against the copies of a packet that go to the same wrong servers
// each time, while the owner gets none because messages to it are lost.
func TestServerThatReturnedAPacketIsNotGivenFurtherOnesOfItsFlow(t *testing.T) {
	tracker := newTracker(orderView(5))
	r := request(flow.PurposeSearch)
	r.Service, r.Wide = flow.ServiceHash("orders"), true
	returned := *dataPacket(1)
	returned.Returned = true
	wantAction(t, tracker.FromNode(start, dataPacket(1), nil, r), flow.ToServer, flow.NoNote)
	wantAction(t, tracker.FromServer(start, &returned), flow.Drop, flow.NoteDenied)
	later := start + 200*time.Millisecond
	v := tracker.FromNode(later, dataPacket(1), nil, r)
	wantAction(t, v, flow.Drop, flow.NoteDenied)
	if v.Request.Outdated() {
		t.Error("the denial proves nothing although the server has returned a packet of the flow")
	}
	wantAction(t, tracker.FromNode(later, dataPacket(2), nil, r), flow.ToServer, flow.NoNote)

	// The client uses its port again for another flow, which the server takes.
	wantAction(t, tracker.FromNode(later, opening(1), nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
	wantAction(t, tracker.FromNode(later, dataPacket(1), nil, r), flow.ToServer, flow.NoNote)
}

// TestServerThatReturnedAPacketOfAnUnansweredOpeningIsAskedAgain covers a server that was given the opening packet as well: the
// client may still take its answer.
func TestServerThatReturnedAPacketOfAnUnansweredOpeningIsAskedAgain(t *testing.T) {
	tracker := newTracker(orderView(5))
	wantAction(t, tracker.FromNode(start, opening(1), nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
	returned := *dataPacket(1)
	returned.Returned = true
	tracker.FromServer(start, &returned)
	wantAction(t, tracker.FromNode(start, dataPacket(1), nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
}

// requestsByAgent returns the request with which a decision asks each agent.
func requestsByAgent(d flow.Decision) map[flow.IP]flow.Request {
	requests := map[flow.IP]flow.Request{}
	for _, branch := range append([]flow.Branch{{To: d.To, Request: d.Request}}, d.Branches...) {
		for _, ip := range append([]flow.IP{branch.To}, branch.Request.Remaining...) {
			requests[ip] = branch.Request
		}
	}
	return requests
}

func TestFlowIsSearchedAtFormerServiceOfItsRoute(t *testing.T) {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	servers := []registry.Upstream{upstreamOf(1, "orders"), upstreamOf(2, "orders"), upstreamOf(3, "photos"), upstreamOf(4, "archive")}
	d.SetView(start, movedView(5, time.Minute, ordersMoved, servers...))
	got := d.FromClient(start, dataPacket(1), nil)
	wantForward(t, got, flow.PurposeSearch)
	requests := requestsByAgent(got)
	if len(requests) != 3 {
		t.Fatalf("asked %v, want the agents of both services", requests)
	}
	for n, service := range map[int]string{1: "orders", 2: "orders", 3: "photos"} {
		if requests[agentIP(n)].Service != flow.ServiceHash(service) {
			t.Errorf("agent %d was asked for another service than its own", n)
		}
	}
	denial := flow.Denial{Key: opening(1).Key, SearchID: got.Request.SearchID}
	if _, p, _ := d.HandleDenial(start, denial); p != nil {
		t.Fatal("search ended before the former service's agents denied the flow")
	}
	if reset, p, _ := d.HandleDenial(start, denial); p == nil || reset.Action != flow.Reset {
		t.Fatalf("got %v, want a reset after all denials", reset.Action)
	}
}

func TestFlowIsSearchedEverywhereWhileFormerRoutesAreUnknown(t *testing.T) {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	servers := []registry.Upstream{upstreamOf(1, "orders"), upstreamOf(3, "photos"), upstreamOf(4, "archive")}
	d.SetView(start, movedView(5, time.Second, nil, servers...))
	got := d.FromClient(start, dataPacket(1), nil)
	if asked := agentsAsked(got); !slices.Equal(asked, []flow.IP{agentIP(3)}) {
		t.Fatalf("asked %v first, want the agent of the service in force", asked)
	}
	denial := flow.Denial{Key: opening(1).Key, SearchID: got.Request.SearchID}
	wide, _, _ := d.HandleDenial(start, denial)
	wantForward(t, wide, flow.PurposeSearch)
	if asked := agentsAsked(wide); len(asked) != 2 {
		t.Fatalf("asked %v next, want the agents of all other services", asked)
	}
	if _, p, _ := d.HandleDenial(start, denial); p != nil {
		t.Fatal("search ended before all agents denied the flow")
	}
	if reset, _, _ := d.HandleDenial(start, denial); reset.Action != flow.Reset {
		t.Fatalf("got %v, want a reset after all denials", reset.Action)
	}
}

// TestRestartedAgentProvesNoLoss covers the loss of all processes after a route has moved. The denial of an agent that has
// restarted and did not ask its server was taken as proof, and the flow was reset.
func TestRestartedAgentProvesNoLoss(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	r := request(flow.PurposeSearch)
	r.Wide = true
	for after, asks := range map[time.Duration]bool{0: true, config.IdleTimeout + time.Second: true, config.MaxFlowAge + time.Second: false} {
		v := newTracker(orderView(5)).FromNode(start+after, dataPacket(1), nil, r)
		if (v.Action == flow.ToServer) != asks || !asks && (v.Note != flow.NoteDenied || v.Request.Outdated()) {
			t.Errorf("after %v: got %v with note %d, outdated %v", after, v.Action, v.Note, v.Request.Outdated())
		}
	}
}

// TestAgentThatStartedWithItsServerProvesLosses covers a power failure: an agent that has tracked the whole run of its server
// knows at once which flows that does not hold, and only then.
func TestAgentThatStartedWithItsServerProvesLosses(t *testing.T) {
	const startTime = 1_800_000_000_000
	for name, c := range map[string]struct {
		born              uint64
		created, written  registry.Revision
		earlier, provides bool
	}{
		"both started together":                   {startTime - 27, 9, 8, false, true},
		"server started later":                    {startTime + 5000, 9, 8, false, true},
		"server is older":                         {startTime - 400, 9, 8, false, false},
		"entry is older than the configuration":   {startTime - 27, 8, 9, false, false},
		"revision of the configuration not known": {startTime - 27, 9, 0, false, false},
		"server restarted under the agent":        {startTime + 5000, 8, 9, true, true},
		"first view showed an earlier run":        {startTime - 400, 8, 9, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			config := flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort})
			config.StartTime = startTime
			tracker := flow.NewTracker(config, start)
			view := func(version uint64, born uint64) *registry.View {
				u := upstreamOf(1, "orders")
				u.Incarnation, u.Created = born, c.created
				v := viewAt(start, version, u)
				v.Configuration.Revision = c.written
				return v
			}
			if c.earlier {
				tracker.SetView(view(4, startTime-60_000))
			}
			tracker.SetView(view(5, c.born))
			r := request(flow.PurposeSearch)
			r.Wide = true
			v := tracker.FromNode(start, dataPacket(1), nil, r)
			if c.provides && (v.Note != flow.NoteDenied || v.Request.Outdated()) || !c.provides && v.Action != flow.ToServer {
				t.Fatalf("got %v with note %d, outdated %v", v.Action, v.Note, v.Request.Outdated())
			}
		})
	}
}

// TestUnprovedLossResetsNoFlow covers a search of all services that an agent could only deny without knowing.
func TestUnprovedLossResetsNoFlow(t *testing.T) {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, movedView(5, time.Second, nil, upstreamOf(1, "orders"), upstreamOf(3, "photos")))
	got := d.FromClient(start, dataPacket(1), nil)
	wide, _, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID})
	wantForward(t, wide, flow.PurposeSearch)
	last, _, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID, Outdated: true})
	if last.Action != flow.Drop {
		t.Fatalf("got %v, want the packet dropped: %s", last.Action, last.Reason)
	}
	for now := start; now < start+2*time.Second; now += 50 * time.Millisecond {
		if resumed, p, _ := d.NextResumedSearch(now); p != nil && resumed.Action == flow.Reset {
			t.Fatalf("flow was reset later: %s", resumed.Reason)
		}
	}
}

// TestDenialsOfEarlierVersionsProveNoLoss covers an upgrade in which agents of the earlier version run beside new balancers:
// those deny flows of which they can't know.
func TestDenialsOfEarlierVersionsProveNoLoss(t *testing.T) {
	for name, states := range map[string]bool{"earlier version": false, "present version": true} {
		d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
		view := movedView(5, time.Second, nil, upstreamOf(1, "orders"), upstreamOf(3, "photos"))
		view.Configuration.Services = map[string]registry.Service{"orders": {}, "photos": {}}
		d.SetView(start, view)
		d.UpdateStatus(start, servingStatus(3, "photos"))
		if d.UpdateStatus(start, statusOf(1, 0, 0)); states {
			d.UpdateStatus(start, servingStatus(1, "orders"))
		}
		got := d.FromClient(start, dataPacket(1), nil)
		denial := flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID}
		wide, _, _ := d.HandleDenial(start, denial)
		wantForward(t, wide, flow.PurposeSearch)
		if last, _, _ := d.HandleDenial(start, denial); (last.Action == flow.Reset) != states {
			t.Errorf("%s: got %v: %s", name, last.Action, last.Reason)
		}
	}
}

// TestFoundFlowShowsAFormerRoute covers a balancer that does not know former routes: once an agent has reported a flow of the
// former service, the searches for the others ask that service too, whose servers may get their packets.
func TestFoundFlowShowsAFormerRoute(t *testing.T) {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	servers := []registry.Upstream{upstreamOf(1, "orders"), upstreamOf(3, "photos"), upstreamOf(5, "orders")}
	view := func(version uint64, routesKnown time.Duration) *registry.View {
		v := movedView(version, routesKnown, nil, servers...)
		v.Configuration.Services = map[string]registry.Service{"orders": {}, "photos": {}}
		return v
	}
	d.SetView(start, view(5, time.Second))
	d.HandleReport(start, flow.Report{Key: dataPacket(1).Key, Held: true, From: agentIP(1), Service: flow.ServiceHash("orders")})
	wantAsked := func(now time.Duration, n, agents int) {
		t.Helper()
		got := d.FromClient(now, dataPacket(n), nil)
		wantForward(t, got, flow.PurposeSearch)
		if requests := requestsByAgent(got); len(requests) != agents || got.Request.Wide {
			t.Fatalf("asked %v, wide %v, want %d agents", requests, got.Request.Wide, agents)
		}
	}
	wantAsked(start, 2, 3)
	now := start + 30*time.Second
	d.SetView(now, view(6, 31*time.Second))
	wantAsked(now, 3, 3)
	now = start + 2*time.Minute
	d.SetView(now, view(7, 121*time.Second))
	wantAsked(now, 4, 1)
}

// TestSearchKeepsTheServiceOfItsAgents covers an address that a server of another service uses again during a search.
// The second round must not ask its agent for a flow of the new service.
func TestSearchKeepsTheServiceOfItsAgents(t *testing.T) {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	var servers []registry.Upstream
	for n := range 12 {
		servers = append(servers, upstreamOf(n, "orders"))
	}
	d.SetView(start, viewAt(start, 5, servers...))
	got := d.FromClient(start, dataPacket(1), nil)
	for i := range servers {
		servers[i] = upstreamOf(i, "archive")
	}
	d.SetView(start, viewAt(start, 6, servers...))
	rest, _, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(1).Key, SearchID: got.Request.SearchID})
	wantForward(t, rest, flow.PurposeSearch)
	for ip, request := range requestsByAgent(rest) {
		if request.Service != flow.ServiceHash("orders") {
			t.Errorf("agent %v was asked for a flow of its new service", ip)
		}
	}
}

// TestSearchesOfEverythingAreBounded covers many flows that are lost at once in a fleet that can't search all of its
// agents for each of them. No flow is reset without proof.
func TestSearchesOfEverythingAreBounded(t *testing.T) {
	config := flow.DefaultDirectorConfig("here")
	config.MaxWideMessages = 100
	d := flow.NewDirector(config, start)
	servers := []registry.Upstream{upstreamOf(1, "photos")}
	for n := range 60 {
		servers = append(servers, upstreamOf(n+2, "archive"))
	}
	d.SetView(start, movedView(5, time.Second, nil, servers...))
	wide := 0
	for n := range 50 {
		got := d.FromClient(start, dataPacket(n), nil)
		next, _, _ := d.HandleDenial(start, flow.Denial{Key: dataPacket(n).Key, SearchID: got.Request.SearchID})
		if next.Action == flow.Reset {
			t.Fatalf("flow %d was reset without proof", n)
		}
		wide += len(requestsByAgent(next)) - 1
	}
	if wide > config.MaxWideMessages {
		t.Errorf("%d agents were asked in no time, want at most %d", wide, config.MaxWideMessages)
	}
}

// TestFlowWaitsForASearchOfAllServices covers a balancer that has used up its messages for searches of all services. The
// packets of a flow must not go to the servers of the present service again and again while the owner is never asked. The
// search goes on as soon as it may.
func TestFlowWaitsForASearchOfAllServices(t *testing.T) {
	config := flow.DefaultDirectorConfig("here")
	config.MaxWideMessages = 10
	d := flow.NewDirector(config, start)
	servers := []registry.Upstream{upstreamOf(1, "photos")}
	for n := range 8 {
		servers = append(servers, upstreamOf(n+2, "orders"))
	}
	d.SetView(start, movedView(5, time.Second, nil, servers...))
	deny := func(now time.Duration, n int) flow.Decision {
		got := d.FromClient(now, dataPacket(n), []byte("raw"))
		wantForward(t, got, flow.PurposeSearch)
		next, _, _ := d.HandleDenial(now, flow.Denial{Key: dataPacket(n).Key, SearchID: got.Request.SearchID})
		return next
	}
	wantForward(t, deny(start, 1), flow.PurposeSearch)
	if got := deny(start, 2); got.Action != flow.Drop {
		t.Fatalf("got %v although the messages are used up", got.Action)
	}
	for _, later := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		if got := d.FromClient(start+later, dataPacket(2), nil); got.Action != flow.Drop {
			t.Fatalf("a later packet of the flow was sent to %v, without its owner", agentsAsked(got))
		}
		if got, p, _ := d.NextResumedSearch(start + later); p != nil && p.Key == dataPacket(2).Key {
			t.Fatalf("got %v before the messages allow it: %s", got.Action, got.Reason)
		}
	}
	for now := start + 500*time.Millisecond; now < start+1100*time.Millisecond; now += 20 * time.Millisecond {
		got, p, raw := d.NextResumedSearch(now)
		if p == nil || p.Key != dataPacket(2).Key {
			continue
		}
		if wantForward(t, got, flow.PurposeSearch); len(agentsAsked(got)) != 8 || string(raw) != "raw" {
			t.Fatalf("asked %v", agentsAsked(got))
		}
		return
	}
	t.Fatal("the search was not resumed")
}

// TestAgentThatDoesNotAnswerDelaysNoSearchOfAllServices covers an agent of the present service that is dead: it keeps the first
// round from ending, and the owner, which belongs to a former service, must be asked all the same.
func TestAgentThatDoesNotAnswerDelaysNoSearchOfAllServices(t *testing.T) {
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, movedView(5, time.Second, nil, upstreamOf(1, "orders"), upstreamOf(3, "photos")))
	wantForward(t, d.FromClient(start, dataPacket(1), nil), flow.PurposeSearch)
	got, p, _ := d.NextResumedSearch(start + 160*time.Millisecond)
	if p == nil || len(agentsAsked(got)) != 2 || !requestsByAgent(got)[agentIP(1)].Wide {
		t.Fatalf("asked %v, want the agents of both services", requestsByAgent(got))
	}
}

// TestSearchStormLeavesLinkCapacity covers a balancer on a slow link after a mass restart: 2,000 flows without a hint
// retransmit every 200 ms, and no agent answers. Searches must stay within their share of the link, or the messages
// that end them are lost too.
func TestSearchStormLeavesLinkCapacity(t *testing.T) {
	const linkRate, packetSize = 10e6, 900
	config := flow.DefaultDirectorConfig("here")
	config.MaxSearchBytes = flow.SearchBytes(linkRate)
	d := flow.NewDirector(config, start)
	var servers []registry.Upstream
	for n := range 46 {
		servers = append(servers, upstreamOf(n+1, "orders"))
	}
	d.SetView(start, viewAt(start, 5, servers...))
	raw := make([]byte, packetSize)
	sent := 0
	now := start
	for range 20 {
		now += 200 * time.Millisecond
		for n := range 2000 {
			if got := d.FromClient(now, dataPacket(n), raw); got.Action == flow.Forward {
				sent += (1 + len(got.Branches)) * packetSize
			}
		}
	}
	allowed := int((now - start + time.Second).Seconds() * linkRate / 8 / 4)
	if sent > allowed {
		t.Errorf("searches sent %d bytes in %v, want at most %d, a quarter of the link", sent, now-start, allowed)
	}
	if sent < allowed/2 {
		t.Errorf("searches sent only %d of %d bytes that the link allows", sent, allowed)
	}
}

// TestLostFlowsAreResetSoonOnASlowLink covers a balancer on a slow link after the loss of all servers. The clients of
// hundreds of flows find out that these are lost only when a search has proved it, and some of their timeouts leave no
// time for another attempt if that takes seconds.
func TestLostFlowsAreResetSoonOnASlowLink(t *testing.T) {
	const linkRate, packetSize, flows, hop = 10e6, 500, 400, time.Millisecond
	config := flow.DefaultDirectorConfig("here")
	config.MaxSearchBytes, config.MaxFlowAge = flow.SearchBytes(linkRate), 0
	d := flow.NewDirector(config, start)
	var servers []registry.Upstream
	for n := range 46 {
		servers = append(servers, upstreamOf(n+1, "orders"))
	}
	d.SetView(start, viewAt(start, 5, servers...))
	type denial struct {
		at     time.Duration
		denial flow.Denial
	}
	var denials []denial
	reset := map[flow.Key]bool{}
	apply := func(now time.Duration, key flow.Key, decision flow.Decision) {
		switch decision.Action {
		case flow.Reset:
			reset[key] = true
		case flow.Forward:
			for _, branch := range append([]flow.Branch{{Request: decision.Request}}, decision.Branches...) {
				at := now + time.Duration(len(branch.Request.Remaining)+2)*hop
				denials = append(denials, denial{at, flow.Denial{Key: key, SearchID: branch.Request.SearchID}})
			}
		}
	}
	raw := make([]byte, packetSize)
	for now := start; now < start+time.Second; now += hop {
		for n := range flows {
			if at := now - start - time.Duration(n)*hop; !reset[dataPacket(n).Key] && (at == 0 || at == 200*hop || at == 600*hop) {
				apply(now, dataPacket(n).Key, d.FromClient(now, dataPacket(n), raw))
			}
		}
		for i := 0; i < len(denials); i++ {
			if denials[i].at <= now {
				next, p, _ := d.HandleDenial(now, denials[i].denial)
				denials = slices.Delete(denials, i, i+1)
				i--
				if p != nil {
					apply(now, p.Key, next)
				}
			}
		}
	}
	if len(reset) < flows {
		t.Errorf("%d of %d lost flows were reset within a second", len(reset), flows)
	}
}

// BenchmarkSearch reports the messages of a search for a lost flow, by the size of the fleet and whether the routes of
// the recent past are known. A quarter of the servers belongs to the service in force and a quarter to the former one.
func BenchmarkSearch(b *testing.B) {
	for _, servers := range []int{10, 63, 200} {
		for name, maxFlowAge := range map[string]time.Duration{"known": 0, "unknown": 1000 * time.Hour} {
			b.Run(fmt.Sprintf("%d/routes %s", servers, name), func(b *testing.B) {
				var upstreams []registry.Upstream
				for n := range servers {
					upstreams = append(upstreams, upstreamOf(n+1, []string{"orders", "photos", "archive", "archive"}[n%4]))
				}
				config := flow.DefaultDirectorConfig("here")
				config.MaxFlowAge = maxFlowAge
				d := flow.NewDirector(config, start)
				d.SetView(start, movedView(5, time.Second, ordersMoved, upstreams...))
				messages := 0
				for n := 0; b.Loop(); n++ {
					messages += searchMessages(d, start+time.Duration(n)*time.Second, dataPacket(n%1000))
				}
				b.ReportMetric(float64(messages)/float64(b.N), "messages/search")
			})
		}
	}
}

// searchMessages searches for a flow that no agent holds, and returns the number of messages to agents.
func searchMessages(d *flow.Director, now time.Duration, p *flow.Packet) (messages int) {
	got := d.FromClient(now, p, nil)
	for got.Action == flow.Forward {
		messages += len(requestsByAgent(got))
		id := got.Request.SearchID
		for range 1 + len(got.Branches) {
			got, _, _ = d.HandleDenial(now, flow.Denial{Key: p.Key, SearchID: id})
		}
	}
	return messages
}
