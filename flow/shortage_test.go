package flow_test

import (
	"container/heap"
	"math"
	"math/rand"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// The tests in this file offer more work than the servers can do and check who gets the capacity. The agents are real
// Trackers that act on their own figures; clients, servers and a balancer that knows only old loads are modeled in
// virtual time.

const (
	shortSlots   = 2
	shortQueue   = 8
	shortRetries = 2
	shortHop     = 300 * time.Microsecond
	// shortStale is the age of the loads that the balancers know.
	shortStale = time.Second
	// shortWarmUp is the time before the measurement, in which the agents learn service times and shares.
	shortWarmUp = time.Second
	shortRun    = 2 * time.Second
	// waitingFloor is the default of MinWaitingPart. With a least part of 1, agents use no shares.
	waitingFloor = 0.25
)

// shortRoute is a route with the demand on it and the results of the requests that began after the warm-up.
type shortRoute struct {
	endpoint        flow.Endpoint
	perSecond       float64
	work, target    time.Duration
	timeout         time.Duration
	priority        int
	client          func(rnd *rand.Rand) flow.IP
	offered, served int
	inTime          float64
}

type shortAgent struct {
	ip      flow.IP
	tracker *flow.Tracker
	queue   workQueue
	load    uint32
	// The agent receives nothing from silentFrom to silentUntil.
	silentFrom, silentUntil time.Duration
}

type shortSim struct {
	// faults decides which agents are silent, so that two runs have the same faults.
	rnd, faults *rand.Rand
	now         time.Duration
	queue       simQueue
	order       int
	agents      []*shortAgent
	byIP        map[flow.IP]*shortAgent
	routes      []*shortRoute
	// port makes the flows of a client distinct.
	port    int
	started time.Duration
	// worked is the work that servers finished after the warm-up, in seconds.
	worked float64
	// byClient holds the offered and the served requests of each client.
	byClient map[flow.IP]*[2]int
	// refused counts the refusals by their reason.
	refused map[flow.Refusal]int
	// waiting holds the requests whose opening packets wait at an agent.
	waiting map[flow.Key]*shortRequest
}

// shortRequest is a request of a client with its current attempt.
type shortRequest struct {
	route    *shortRoute
	client   flow.IP
	started  time.Duration
	attempts int
	key      flow.Key
	opened   bool
	done     bool
	// answered is set once an agent has reported that the flow waits, so that it is not hedged.
	answered bool
}

func newShortSim(servers int, minPart float64, routes ...*shortRoute) *shortSim {
	return newShortSimWith(servers, start-time.Hour, func(c *flow.TrackerConfig) { c.MinWaitingPart = minPart }, routes...)
}

// newShortSimWith returns a model whose agents were started at the given time, with changed settings.
func newShortSimWith(servers int, began time.Duration, change func(*flow.TrackerConfig), routes ...*shortRoute) *shortSim {
	sim := &shortSim{
		rnd: rand.New(rand.NewSource(1)), faults: rand.New(rand.NewSource(2)), now: start, started: start, byIP: map[flow.IP]*shortAgent{}, routes: routes,
		byClient: map[flow.IP]*[2]int{}, refused: map[flow.Refusal]int{}, waiting: map[flow.Key]*shortRequest{},
	}
	view := viewAt(start, 5)
	view.Configuration.Routes = nil
	for _, r := range routes {
		view.Configuration.Routes = append(view.Configuration.Routes, registry.Route{
			Address: r.endpoint.AddrPort(), Shares: []registry.Share{{Service: "desk", Weight: 1}}, Target: r.target, Timeout: r.timeout, Priority: r.priority,
		})
	}
	for i := range servers {
		ip := flow.IP{10, 1, byte(i >> 8), byte(i)}
		view.Upstreams = append(view.Upstreams, registry.Upstream{
			ID: ip.String(), Service: "desk", Address: netip.AddrPortFrom(netip.AddrFrom4(ip), simPort), Slots: shortSlots, Incarnation: 1,
		})
	}
	for i := range servers {
		config := flow.DefaultTrackerConfig("desk", flow.EndpointOf(view.Upstreams[i].Address))
		change(&config)
		a := &shortAgent{ip: config.Address.IP, tracker: flow.NewTracker(config, began), queue: workQueue{slots: shortSlots, maxWaiting: math.MaxInt}}
		a.tracker.SetView(view)
		sim.agents = append(sim.agents, a)
		sim.byIP[a.ip] = a
	}
	return sim
}

func (sim *shortSim) after(d time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.queue, simEvent{at: sim.now + d, order: sim.order, run: do})
}

// hop runs a function after the network delay between two processes.
func (sim *shortSim) hop(do func()) {
	sim.after(shortHop+time.Duration(sim.rnd.Int63n(int64(shortHop))), do)
}

// run generates the demand, and lets the requests finish after it.
func (sim *shortSim) run() {
	for _, r := range sim.routes {
		sim.generate(r)
	}
	sim.refresh()
	for len(sim.queue) > 0 && sim.now < sim.started+shortWarmUp+shortRun+time.Second {
		e := heap.Pop(&sim.queue).(simEvent)
		sim.now = e.at
		e.run()
	}
}

// measuring reports whether requests that begin or work that ends now counts.
func (sim *shortSim) measuring() bool {
	return sim.now >= sim.started+shortWarmUp && sim.now < sim.started+shortWarmUp+shortRun
}

func (sim *shortSim) generate(r *shortRoute) {
	if sim.now >= sim.started+shortWarmUp+shortRun {
		return
	}
	request := &shortRequest{route: r, started: sim.now, client: r.client(sim.rnd)}
	if sim.measuring() {
		r.offered++
		if sim.byClient[request.client] == nil {
			sim.byClient[request.client] = &[2]int{}
		}
		sim.byClient[request.client][0]++
	}
	sim.attempt(request)
	sim.after(time.Duration(sim.rnd.ExpFloat64()/r.perSecond*float64(time.Second)), func() { sim.generate(r) })
}

// refresh renews the loads that the balancers know, and lets one agent in fifty be silent until the next time.
func (sim *shortSim) refresh() {
	for _, a := range sim.agents {
		a.load = a.tracker.Status(sim.now).Busy
		a.tracker.Sweep(sim.now)
		sim.release(a)
		if sim.faults.Intn(50) == 0 {
			a.silentFrom = sim.now + time.Duration(sim.faults.Int63n(int64(shortStale)))
			a.silentUntil = a.silentFrom + shortStale
		}
	}
	sim.after(shortStale, sim.refresh)
}

// attempt opens a flow through a balancer, which hedges as long as no agent has reported on it.
func (sim *shortSim) attempt(r *shortRequest) {
	sim.port++
	r.attempts++
	r.opened, r.answered = false, false
	r.key = flow.Key{Client: flow.Endpoint{IP: r.client, Port: uint16(sim.port)}, Service: r.route.endpoint}
	key := r.key
	for _, copied := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		list := sim.list()
		for hedge := range 4 {
			sim.after(copied+time.Duration(hedge)*40*time.Millisecond, func() {
				if r.key == key && !r.opened && !r.done && (hedge == 0 || !r.answered) {
					left := sim.responsiveFirst(list[hedge:])
					sim.toAgent(r, key, left[0], request(flow.PurposeOpen, left[1:]...))
				}
			})
		}
	}
	sim.after(1400*time.Millisecond, func() {
		if r.key == key && !r.opened && !r.done {
			r.done = true
		}
	})
}

// responsiveFirst moves the agents that have not answered for 100 ms to the end, as a balancer does with each hedge.
func (sim *shortSim) responsiveFirst(list []flow.IP) []flow.IP {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b flow.IP) int { return sim.unresponsive(a) - sim.unresponsive(b) })
	return list
}

// unresponsive returns 1 if the balancers know that an agent does not answer, or 0.
func (sim *shortSim) unresponsive(ip flow.IP) int {
	if a := sim.byIP[ip]; sim.now >= a.silentFrom+100*time.Millisecond && sim.now < a.silentUntil {
		return 1
	}
	return 0
}

// list returns the agents for a flow.
func (sim *shortSim) list() []flow.IP {
	list := make([]flow.IP, 0, 8)
	for len(list) < cap(list) {
		a := sim.agents[sim.rnd.Intn(len(sim.agents))]
		if sim.unresponsive(a.ip) == 0 && !slices.Contains(list, a.ip) {
			list = append(list, a.ip)
		}
	}
	if sim.byIP[list[1]].load < sim.byIP[list[0]].load {
		list[0], list[1] = list[1], list[0]
	}
	return list
}

func (sim *shortSim) toAgent(r *shortRequest, key flow.Key, ip flow.IP, header flow.Request) {
	header = copyRequest(header)
	header.Service = flow.ServiceHash("desk")
	sim.hop(func() {
		if a := sim.byIP[ip]; sim.now < a.silentFrom || sim.now >= a.silentUntil {
			p := &flow.Packet{Key: key, Kind: flow.Opening}
			sim.apply(r, key, a, a.tracker.FromNode(sim.now, p, nil, header))
		}
	})
}

// apply executes the verdict of an agent on an opening packet.
func (sim *shortSim) apply(r *shortRequest, key flow.Key, a *shortAgent, v flow.Verdict) {
	switch v.Action {
	case flow.Forward:
		sim.toAgent(r, key, v.To, v.Request)
	case flow.Reset:
		sim.refused[v.Refusal]++
		sim.hop(func() { sim.retry(r, key) })
	case flow.ToServer:
		if a.queue.running+len(a.queue.waiting) >= shortSlots+shortQueue {
			sim.apply(r, key, a, a.tracker.FromServer(sim.now, &flow.Packet{Key: key, Kind: flow.Opening, Returned: true}))
			return
		}
		a.tracker.FromServer(sim.now, &flow.Packet{Key: key, Kind: flow.Accepting})
		sim.hop(func() { sim.accepted(r, key, a) })
	case flow.Wait:
		sim.waiting[key] = r
	}
	if v.Note == flow.NoteWaiting {
		sim.hop(func() { r.answered = r.answered || r.key == key })
	}
}

// release lets an agent decide on what it holds.
func (sim *shortSim) release(a *shortAgent) {
	for {
		v, p, _ := a.tracker.NextHeld(sim.now)
		if p == nil {
			return
		}
		if r := sim.waiting[p.Key]; p.Kind == flow.Opening {
			sim.apply(r, p.Key, a, v)
		} else {
			sim.serve(r, p.Key, a)
		}
	}
}

func (sim *shortSim) retry(r *shortRequest, key flow.Key) {
	if r.key != key || r.opened || r.done {
		return
	}
	if r.attempts > shortRetries {
		r.done = true
		return
	}
	r.key = flow.Key{}
	sim.after(time.Duration(10+sim.rnd.Intn(40))*time.Millisecond, func() { sim.attempt(r) })
}

// accepted lets the client send its request, unless another server has accepted the flow before.
func (sim *shortSim) accepted(r *shortRequest, key flow.Key, a *shortAgent) {
	if r.key != key || r.opened || r.done {
		return
	}
	r.opened = true
	sim.hop(func() {
		if v := a.tracker.FromNode(sim.now, &flow.Packet{Key: key, Length: 100}, nil, request(flow.PurposeDeliver)); v.Action == flow.Wait {
			sim.waiting[key] = r
			return
		}
		sim.serve(r, key, a)
	})
}

// serve gives a request to the server beside an agent.
func (sim *shortSim) serve(r *shortRequest, key flow.Key, a *shortAgent) {
	a.queue.add(func() {
		work := time.Duration(float64(r.route.work) * math.Exp(loadSpread*sim.rnd.NormFloat64()-loadSpread*loadSpread/2))
		sim.after(work, func() { sim.answer(r, key, a, work) })
	})
}

func (sim *shortSim) answer(r *shortRequest, key flow.Key, a *shortAgent, work time.Duration) {
	a.tracker.FromServer(sim.now, &flow.Packet{Key: key, Length: 100})
	a.tracker.FromServer(sim.now, &flow.Packet{Key: key, Kind: flow.Closing})
	a.queue.done()
	sim.release(a)
	r.done = true
	if sim.measuring() {
		sim.worked += work.Seconds()
	}
	if r.started < sim.started+shortWarmUp {
		return
	}
	r.route.served++
	sim.byClient[r.client][1]++
	if sim.now+shortHop-r.started <= r.route.target {
		r.route.inTime++
	}
}

// manyClients draws from so many addresses that none offers a noticeable part.
func manyClients(rnd *rand.Rand) flow.IP {
	return flow.IP{100, 64, byte(rnd.Intn(256)), byte(rnd.Intn(256))}
}

// clochan returns the two routes of the service review-desk, with a multiple of their demand on a multiple of its 39
// servers.
func clochan(proofs, markups float64) (proof, markup *shortRoute) {
	proof = &shortRoute{endpoint: orders, perSecond: 985 * proofs, work: 15 * time.Millisecond, target: 200 * time.Millisecond, priority: 2, client: manyClients}
	markup = &shortRoute{endpoint: photos, perSecond: 488 * markups, work: 20 * time.Millisecond, target: 200 * time.Millisecond, priority: 1, client: manyClients}
	return proof, markup
}

// shortResult holds the parts of the offered requests that were answered in time, and the used part of the capacity.
type shortResult struct{ proof, markup, used float64 }

// playClochan runs a multiple of the demand of each route on sites times 39 servers.
func playClochan(t *testing.T, sites int, proofs, markups, minPart float64) shortResult {
	proof, markup := clochan(float64(sites)*proofs, float64(sites)*markups)
	return play(t, 39*sites, minPart, proof, markup)
}

func play(t *testing.T, servers int, minPart float64, proof, markup *shortRoute) shortResult {
	sim := newShortSim(servers, minPart, proof, markup)
	sim.run()
	result := shortResult{
		proof: proof.inTime / float64(proof.offered), markup: markup.inTime / float64(markup.offered),
		used: sim.worked / (shortRun.Seconds() * float64(servers) * shortSlots),
	}
	t.Logf("%d servers, %.0f and %.0f requests a second, least part %.2f: in time %.3f of proof-thumb, %.3f of markup-post; %.3f of the capacity used; refused %v",
		servers, proof.perSecond, markup.perSecond, minPart, result.proof, result.markup, result.used, sim.refused)
	return result
}

// TestUrgentRequestsAreServedInAShortage compares the results with those of routes of equal priority, and those without
// shares of the waiting budget. As long as the urgent work alone fits, it must be served, and the rest of the capacity must
// go to the less urgent work. Without shares, more of that is admitted than can be answered in time.
func TestUrgentRequestsAreServedInAShortage(t *testing.T) {
	for _, c := range []struct {
		sites  int
		demand float64
	}{{1, 3.5}, {1, 4}, {5, 4.5}} {
		before, after := playClochan(t, c.sites, c.demand, c.demand, 1), playClochan(t, c.sites, c.demand, c.demand, waitingFloor)
		proof, markup := clochan(float64(c.sites)*c.demand, float64(c.sites)*c.demand)
		markup.priority = proof.priority
		equal := play(t, 39*c.sites, waitingFloor, proof, markup)
		if after.markup < 0.97 || after.markup < equal.markup+0.08 {
			t.Errorf("%.3f of the urgent requests were served in time, %.3f with equal priorities", after.markup, equal.markup)
		}
		if after.proof <= before.proof {
			t.Errorf("%.3f of the less urgent requests were served in time, %.3f without shares", after.proof, before.proof)
		}
		if after.used < 0.98*before.used {
			t.Errorf("%.3f of the capacity was used, %.3f without shares", after.used, before.used)
		}
		slots := 39.0 * shortSlots
		left := (slots*after.used - c.demand*488*0.020) / (c.demand * 985 * 0.015)
		if after.proof < 0.9*left {
			t.Errorf("%.3f of the less urgent requests were served in time; the urgent ones left capacity for %.3f", after.proof, left)
		}
	}
}

// TestUrgentWorkBeyondTheCapacity offers more urgent work than the servers can do. The capacity must then serve it.
func TestUrgentWorkBeyondTheCapacity(t *testing.T) {
	before, after := playClochan(t, 1, 4.5, 9, 1), playClochan(t, 1, 4.5, 9, waitingFloor)
	if fits := 39 * shortSlots / (9 * 488 * 0.020); after.markup < 0.95*fits {
		t.Errorf("%.3f of the urgent requests were served in time, %.3f without shares; the capacity suffices for %.3f", after.markup, before.markup, fits)
	}
	if after.used < 0.98*before.used {
		t.Errorf("%.3f of the capacity was used, %.3f without shares", after.used, before.used)
	}
}

// TestSharesChangeNothingWithoutAShortage guards deployments with enough capacity, and those whose routes all have the
// same priority, against any difference.
func TestSharesChangeNothingWithoutAShortage(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand float64
		equal  bool
	}{{"enough capacity", 2, false}, {"one priority in a shortage", 4.5, true}} {
		t.Run(c.name, func(t *testing.T) {
			var results [2]shortResult
			for i, minPart := range []float64{1, waitingFloor} {
				proof, markup := clochan(c.demand, c.demand)
				if c.equal {
					proof.priority = markup.priority
				}
				results[i] = play(t, 39, minPart, proof, markup)
			}
			if results[0] != results[1] {
				t.Errorf("got %+v, and %+v without shares", results[1], results[0])
			}
		})
	}
}

// deskTracker returns a full Tracker with two routes of priority 1 (photos) and 2 (orders), which were offered the same
// work, and the times at which it is asked.
func deskTracker(t *testing.T) (*flow.Tracker, time.Duration) {
	t.Helper()
	proof, markup := clochan(1, 1)
	tracker := newShortSim(1, waitingFloor, proof, markup).agents[0].tracker
	now := start
	for n := range 40 {
		key := flow.Key{Client: clientEndpoint(n), Service: []flow.Endpoint{orders, photos}[n%2]}
		wantAction(t, offerDesk(tracker, now, key, false), flow.ToServer, flow.NoNote)
		tracker.FromServer(now, &flow.Packet{Key: key, Kind: flow.Accepting})
		tracker.FromNode(now, &flow.Packet{Key: key, Length: 100}, nil, request(flow.PurposeDeliver))
		now += 16 * time.Millisecond
		tracker.FromServer(now, &flow.Packet{Key: key, Length: 100})
	}
	for n := range shortSlots {
		offerDesk(tracker, now, flow.Key{Client: clientEndpoint(100 + n), Service: orders}, false)
	}
	return tracker, now
}

// offerDesk offers a flow to a Tracker, to which all other servers are full as well, and returns its verdict.
func offerDesk(tracker *flow.Tracker, now time.Duration, key flow.Key, final bool) flow.Verdict {
	header := request(flow.PurposeOpen)
	header.Service, header.Final = flow.ServiceHash("desk"), final
	return tracker.FromNode(now, &flow.Packet{Key: key, Kind: flow.Opening}, nil, header)
}

// TestOfferIsKeptWithTheSameRule covers an agent that accepts a final flow which it would not have offered to take, or
// that refuses one which it has offered to take.
func TestOfferIsKeptWithTheSameRule(t *testing.T) {
	tracker, now := deskTracker(t)
	accepted := 0
	// The budget of orders is 0.7 of the target of 200 ms.
	for n := 200; n < 220; n++ {
		key := flow.Key{Client: clientEndpoint(n), Service: orders}
		header := request(flow.PurposeOpen, agentIP(99))
		header.Service = flow.ServiceHash("desk")
		offer := tracker.FromNode(now, &flow.Packet{Key: key, Kind: flow.Opening}, nil, header).Request.Best
		v := offerDesk(tracker, now, key, true)
		if offered := offer.Wait <= 140*time.Millisecond; offered != (v.Action == flow.ToServer) {
			t.Fatalf("offered a wait of %v, but the verdict on the final flow is %v: %s", offer.Wait, v.Action, v.Reason)
		}
		if v.Action == flow.ToServer {
			accepted++
		} else if v.Refusal != flow.RefusedShare || v.Part >= 1 {
			t.Fatalf("refused because of %v with part %.2f, want the share", v.Refusal, v.Part)
		}
	}
	// The offers of this loop raise the share of the less urgent work from a half to two thirds.
	if accepted < 2 || accepted > 2*shortQueue/3 {
		t.Fatalf("%d less urgent flows wait; at most two thirds of the queue of %d are theirs", accepted, shortQueue)
	}
	for n := 300; n < 304; n++ {
		key := flow.Key{Client: clientEndpoint(n), Service: photos}
		if v := offerDesk(tracker, now, key, false); v.Action != flow.ToServer {
			t.Fatalf("urgent flow %d found no room in the queue: %s", n-300, v.Reason)
		}
	}
}

// TestOneClientDoesNotDepriveOthers lets one address offer half of twice the capacity. What the others get must not fall
// below their max-min fair share.
func TestOneClientDoesNotDepriveOthers(t *testing.T) {
	const servers, overload = 39, 2
	greedy := flow.IP{100, 65, 0, 1}
	for _, others := range []int{3, 10, 40} {
		parts := []float64{waitingFloor}
		if others == 10 {
			parts = append(parts, 1)
		}
		for _, minPart := range parts {
			route, _ := clochan(0, 0)
			route.perSecond = overload * servers * shortSlots / route.work.Seconds()
			route.client = func(rnd *rand.Rand) flow.IP {
				if rnd.Intn(2) == 0 {
					return greedy
				}
				return flow.IP{100, 64, 0, byte(rnd.Intn(others))}
			}
			sim := newShortSim(servers, minPart, route)
			sim.run()
			least, offered, served := 1.0, 0, 0
			for client, counts := range sim.byClient {
				if client != greedy {
					least = min(least, float64(counts[1])/float64(counts[0]))
					offered, served = offered+counts[0], served+counts[1]
				}
			}
			// Each of the others offers half of the overload divided by their number.
			fair := min(1, 1/float64(others+1)/(overload/2/float64(others)))
			all := float64(served) / float64(offered)
			used := sim.worked / (shortRun.Seconds() * servers * shortSlots)
			t.Logf("%d others, least part %.2f: served %.3f of their requests, at least %.3f of each, fair %.3f; %.3f of those of the one; %.3f of the capacity used; refused %v",
				others, minPart, all, least, fair, float64(sim.byClient[greedy][1])/float64(sim.byClient[greedy][0]), used, sim.refused)
			if minPart < 1 && all < fair {
				t.Errorf("%.3f of the requests of the others were served, want %.3f", all, fair)
			}
		}
	}
}

// TestEqualGroupsAreTreatedEqually guards clients that offer about the same against a refusal for their group.
func TestEqualGroupsAreTreatedEqually(t *testing.T) {
	for _, clients := range []int{20, 500} {
		route, _ := clochan(0, 0)
		route.perSecond = 2 * 39 * shortSlots / route.work.Seconds()
		route.client = func(rnd *rand.Rand) flow.IP {
			n := rnd.Intn(clients)
			return flow.IP{100, 64, byte(n >> 8), byte(n)}
		}
		sim := newShortSim(39, waitingFloor, route)
		sim.run()
		if total := sim.refused[flow.RefusedBusy]; total == 0 || sim.refused[flow.RefusedGroup] > total/200 {
			t.Errorf("%d equal clients: refused %v, want at most one in 200 for its group", clients, sim.refused)
		}
	}
}
