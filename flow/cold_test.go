package flow_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

const coldStartTime = 4 * time.Second

// coldView returns a view of the store at the given time, in which a run of server 1 is cold for the remaining time.
func coldView(at time.Duration, rate float64, run uint64, remaining time.Duration) *registry.View {
	server := upstreamOf(1, "orders")
	server.Incarnation = run
	if remaining > 0 {
		server.WarmAt = at + remaining
	}
	return withColdRate(viewAt(at, 5, server), rate)
}

func withColdRate(view *registry.View, rate float64) *registry.View {
	view.Configuration.Services = map[string]registry.Service{"orders": {ColdStart: coldStartTime, ColdRate: rate}}
	return view
}

// newColdTracker returns the Tracker beside server 1, of an agent that started long before.
func newColdTracker(view *registry.View) *flow.Tracker {
	tracker := flow.NewTracker(flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort}), start-time.Minute)
	tracker.SetView(view)
	return tracker
}

// coldLimit is the number of opening packets that a cold server may get in any second.
func coldLimit(rate float64) float64 { return 1.5*rate + 5 }

// maxInSecond returns the largest number of times in any sliding second.
func maxInSecond(times []time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdRateHoldsOnEveryPath guards against a path on which a cold server gets more opening packets than its rate
// allows: first openings, copies of them, final offers, trials after a time-out, and a restart of the agent, also if the
// server counts as cold only because its agent has just started.
func TestColdRateHoldsOnEveryPath(t *testing.T) {
	for i, rate := range []float64{0.5, 1, 4, 10, 25, 1, 4, 10, 25} {
		rnd := rand.New(rand.NewSource(1))
		view := repeatable(coldView(start, rate, 1, 10*time.Second))
		tracker := newColdTracker(view)
		if i >= 5 {
			view = repeatable(coldView(start, rate, 1, 0))
			tracker = newTracker(view)
		}
		var sent []time.Duration
		now := start
		for ; ; now += time.Millisecond {
			if _, _, cold := tracker.Cold(now); !cold {
				break
			}
			if (now-start)%(50*time.Millisecond) == 0 {
				tracker.Check(now)
			}
			if now == start+1300*time.Millisecond {
				tracker = flow.NewTracker(flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort}), now)
				tracker.SetView(view)
			}
			p, r := opening(rnd.Intn(3000)), request(flow.PurposeOpen, agentIP(3))
			p.Copy = uint32(rnd.Intn(3))
			if rnd.Intn(3) == 0 {
				r.Remaining, r.Final, r.Best = nil, true, flow.Offer{Agent: agentIP(1)}
			}
			if v := tracker.FromNode(now, p, nil, r); v.Action != flow.ToServer {
				continue
			}
			sent = append(sent, now)
			// Half of the openings remain unanswered, so that the server is given trials.
			if rnd.Intn(2) == 0 {
				tracker.FromServer(now, &flow.Packet{Key: p.Key, Kind: flow.Accepting})
				sendRequest(tracker, now, int(p.Key.Client.IP[2])<<8|int(p.Key.Client.IP[3]))
				sendAnswer(tracker, now, int(p.Key.Client.IP[2])<<8|int(p.Key.Client.IP[3]))
			}
		}
		if got := maxInSecond(sent); float64(got) > coldLimit(rate) {
			t.Errorf("at a rate of %v, the server got %d opening packets in a second", rate, got)
		}
		if float64(len(sent)) < 0.4*rate*(now-start).Seconds() {
			t.Errorf("at a rate of %v, the server got only %d opening packets in %v", rate, len(sent), now-start)
		}
	}
}

// TestColdServerPassesFlowsOn guards against a flow that is held or dropped when the budget of a cold server is used up,
// and against a budget that a restarted agent takes for full.
func TestColdServerPassesFlowsOn(t *testing.T) {
	tracker := newTracker(coldView(start, 10, 1, coldStartTime))
	v := tracker.FromNode(start, opening(1), nil, request(flow.PurposeOpen, agentIP(3)))
	wantAction(t, v, flow.Forward, flow.NoteStatus)
	if v.Reason != "server is cold" || v.To != agentIP(3) {
		t.Fatalf("passed to %v: %s", v.To, v.Reason)
	}
	wantAction(t, tracker.FromNode(start, opening(1), nil, request(flow.PurposeOpen)), flow.Reset, flow.NoteRefused)
	acceptFlow(t, tracker, start+100*time.Millisecond, 2)
	acceptFlow(t, tracker, start+coldStartTime, 3)
	acceptFlow(t, tracker, start+coldStartTime, 4)
}

// TestRequestsOfOpenFlowsUseColdBudget guards against requests of open flows that are held, and against new flows in
// addition to as many requests as the rate allows.
func TestRequestsOfOpenFlowsUseColdBudget(t *testing.T) {
	tracker := newColdTracker(coldView(start, 10, 1, coldStartTime))
	now := start + time.Second
	acceptFlow(t, tracker, now, 1)
	for range 8 {
		wantAction(t, sendRequest(tracker, now, 1), flow.ToServer, flow.NoNote)
		sendAnswer(tracker, now, 1)
	}
	now += 500 * time.Millisecond
	wantAction(t, tracker.FromNode(now, opening(2), nil, request(flow.PurposeOpen, agentIP(3))), flow.Forward, flow.NoteStatus)
	acceptFlow(t, tracker, now+300*time.Millisecond, 2)
}

// TestRestartedServerIsColdUntilItsEntryShows guards against a server that was down and counts as warm because the view
// still shows the run before, or a run that ended in the meantime.
func TestRestartedServerIsColdUntilItsEntryShows(t *testing.T) {
	wantCold := func(tracker *flow.Tracker, now time.Duration, want bool) {
		t.Helper()
		if _, remaining, cold := tracker.Cold(now); cold != want {
			t.Fatalf("at %v: cold is %v for %v more", now-start, cold, remaining)
		}
	}
	tracker := newColdTracker(coldView(start, 10, 1, 0))
	acceptFlow(t, tracker, start, 1)
	wantCold(tracker, start, false)
	down := start + time.Second
	tracker.Check(down)
	tracker.ServerDown()
	wantCold(tracker, down, true)
	answers := down + 700*time.Millisecond
	acceptFlow(t, tracker, answers, 2)
	for _, view := range []*registry.View{
		coldView(answers, 10, 1, 0),
		// This run began before the server was found to be down.
		coldView(answers, 10, 2, coldStartTime-2*time.Second),
		coldView(answers, 10, 2, 0),
	} {
		tracker.SetView(view)
		wantCold(tracker, answers+coldStartTime-time.Millisecond, true)
		wantCold(tracker, answers+coldStartTime, false)
	}
	tracker.SetView(coldView(answers, 10, 3, coldStartTime-500*time.Millisecond))
	wantCold(tracker, answers+coldStartTime-501*time.Millisecond, true)
	wantCold(tracker, answers+coldStartTime-500*time.Millisecond, false)
	tracker.SetView(coldView(answers, 10, 1, 0))
	wantCold(tracker, answers, true)
}

// TestEntryCountsOnceTheStoreConfirmsIt guards against a server that was down and gets no flows again: the entry of its new
// run was ignored because it could be that of an earlier run, and the view did not change afterwards.
func TestEntryCountsOnceTheStoreConfirmsIt(t *testing.T) {
	down := start + time.Second
	for name, c := range map[string]struct {
		view *registry.View
		// confirmed is when the store still states the entry, so that it is that of the present run.
		confirmed time.Duration
	}{
		"without the time of the cold start": {coldView(down+time.Second, 10, 2, 0), down + coldStartTime},
		"without cold starts":                {viewAt(down-time.Millisecond, 5, coldView(down, 10, 2, 0).Upstreams[0]), down},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newColdTracker(coldView(start, 10, 1, 0))
			tracker.Check(down)
			tracker.ServerDown()
			tracker.SetView(c.view)
			tracker.Confirm(c.confirmed - 1)
			if tracker.Accepting(c.confirmed) {
				t.Fatal("the entry counts although it may be that of an earlier run")
			}
			tracker.Confirm(c.confirmed)
			if !tracker.Accepting(c.confirmed) {
				t.Fatal("the server gets no flows although the store still states its entry")
			}
		})
	}
}

// TestServerMayHaveStartedWithItsAgent guards against a server that counts as warm after a power failure of its VM because
// the view still shows the run before, and against an agent that restarts alone and holds flows back for long.
func TestServerMayHaveStartedWithItsAgent(t *testing.T) {
	wantRemaining := func(tracker *flow.Tracker, want time.Duration) {
		t.Helper()
		if _, remaining, cold := tracker.Cold(start); remaining != want || cold != (want > 0) {
			t.Fatalf("cold is %v for %v more, want %v", cold, remaining, want)
		}
	}
	registration := flow.DefaultTrackerConfig("", flow.Endpoint{}).RegistrationTime
	wantRemaining(newTracker(withColdRate(viewAt(start, 5), 10)), coldStartTime)

	confirmed := newTracker(coldView(start, 10, 1, 0))
	confirmed.Confirm(start + registration - 1)
	wantRemaining(confirmed, coldStartTime)
	confirmed.Confirm(start + registration)
	wantRemaining(confirmed, 0)

	replaced := newTracker(coldView(start, 10, 1, 0))
	replaced.SetView(coldView(start, 10, 2, time.Second))
	wantRemaining(replaced, time.Second)

	// Only a packet of a flow that the server was given before proves that it is older.
	older := newTracker(coldView(start, 10, 1, 0))
	later := start + time.Second
	acceptFlow(t, older, later, 1)
	sendRequest(older, later, 1)
	sendAnswer(older, later, 1)
	older.FromServer(later, &flow.Packet{Key: opening(2).Key, Kind: flow.Resetting})
	wantRemaining(older, coldStartTime)
	sendAnswer(older, later, 3)
	wantRemaining(older, 0)
}

// newColdDirector returns the Director of a balancer that knows the given number of servers in its place, of which the
// first one is cold for a second, with a cold rate of 10.
func newColdDirector(servers int) *flow.Director {
	var upstreams []registry.Upstream
	for n := range servers {
		upstreams = append(upstreams, upstreamOf(2*n+1, "orders"))
	}
	upstreams[0].WarmAt = start + time.Second
	d := flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, withColdRate(viewAt(start, 5, upstreams...), 10))
	return d
}

// TestColdServerIsWeighedByItsRate guards against balancers that send a cold server more flows than its rate allows. At
// 100 ms a request, a rate of 10 is worth one of its 4 slots.
func TestColdServerIsWeighedByItsRate(t *testing.T) {
	for _, tc := range []struct {
		serviceTime time.Duration
		coldFlows   uint32
		want        flow.IP
	}{
		{100 * time.Millisecond, 1, agentIP(1)},
		{100 * time.Millisecond, 3, agentIP(3)},
		// The rate is never worth more than the slots, and without a service time the constant applies.
		{10 * time.Second, 8, agentIP(1)},
		{10 * time.Second, 11, agentIP(3)},
		{0, 5, agentIP(1)},
		{0, 7, agentIP(3)},
	} {
		// A part of the choice is random, so that balancers with the same figures do not all choose the same server.
		const flows = 200
		preferred := 0
		for n := range flows {
			d := newColdDirector(2)
			cold := statusOf(1, 0, tc.coldFlows)
			cold.ServiceTime, cold.ColdRate = tc.serviceTime, 12
			receive(d, start, cold, statusOf(3, 0, 10))
			if d.FromClient(start, opening(n), nil).To == tc.want {
				preferred++
			}
		}
		if preferred < flows*9/10 {
			t.Errorf("with %d flows and %v a request, %d of %d flows went to %v", tc.coldFlows, tc.serviceTime, preferred, flows, tc.want)
		}
	}
}

// TestExhaustedColdServerComesLast guards against flows that take a hop through an agent that must pass them on.
func TestExhaustedColdServerComesLast(t *testing.T) {
	d := newColdDirector(4)
	exhausted := statusOf(1, 0, 0)
	exhausted.ColdRate = 10.9
	for n := range 30 {
		receive(d, start, exhausted, statusOf(3, 9, 90), statusOf(5, 9, 90), statusOf(7, 9, 90))
		got := d.FromClient(start, opening(n), nil)
		if last := got.Request.Remaining[len(got.Request.Remaining)-1]; last != agentIP(1) {
			t.Fatalf("the last agent for flow %d is %v, not that of the exhausted server", n, last)
		}
	}
	// Its last status allows two flows.
	allowed := 0
	exhausted.ColdRate = 12
	receive(d, start, exhausted)
	for n := range 30 {
		receive(d, start, statusOf(3, 9, 90), statusOf(5, 9, 90), statusOf(7, 9, 90))
		if d.FromClient(start, opening(100+n), nil).To == agentIP(1) {
			allowed++
		}
	}
	if allowed != 2 {
		t.Fatalf("%d flows were sent to a server that may get 2", allowed)
	}
	// Alone, it is still asked: its agent decides.
	d = flow.NewDirector(flow.DefaultDirectorConfig("here"), start)
	d.SetView(start, withColdRate(viewAt(start, 5, upstreamOf(1, "orders"), upstreamOf(2, "orders")), 10))
	exhausted.ColdRate = 10
	cold := statusOf(2, 0, 0)
	cold.ColdRate = 10
	receive(d, start, exhausted, cold)
	wantForward(t, d.FromClient(start, opening(1), nil), flow.PurposeOpen)
}

// TestSearchesDoNotUseColdBudget guards against the searches for lost flows, which reach every restarted server, using
// up the budget for new flows.
func TestSearchesDoNotUseColdBudget(t *testing.T) {
	tracker := newTracker(coldView(start, 10, 1, coldStartTime))
	now := start + time.Second
	for n := range 100 {
		p := dataPacket(10 + n)
		wantAction(t, tracker.FromNode(now, p, nil, request(flow.PurposeSearch)), flow.ToServer, flow.NoNote)
		p.Returned = true
		wantAction(t, tracker.FromServer(now, p), flow.Drop, flow.NoteDenied)
	}
	acceptFlow(t, tracker, now, 1)
}
