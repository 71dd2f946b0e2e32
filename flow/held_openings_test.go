package flow_test

import (
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// burstAfterRestart lets patient clients come at once to agents that have just started, and returns the parts of the
// requests that were served. Refused flows are repeated twice after 10 to 50 ms.
func burstAfterRestart(t *testing.T, maxWaiting int, clients ...int) []float64 {
	t.Helper()
	proof, markup := clochan(0, 0)
	routes := []*shortRoute{markup, proof}[:len(clients)]
	for _, r := range routes {
		r.timeout = 3 * time.Second
	}
	sim := newShortSimWith(10, start, func(c *flow.TrackerConfig) { c.MaxWaiting = maxWaiting }, routes...)
	sim.routes = nil
	sim.started = start - shortWarmUp
	for i, r := range routes {
		for range clients[i] {
			r.offered++
			request := &shortRequest{route: r, started: start, client: r.client(sim.rnd)}
			sim.byClient[request.client] = &[2]int{}
			sim.attempt(request)
		}
	}
	var tick func()
	tick = func() {
		for _, a := range sim.agents {
			a.tracker.Check(sim.now)
			sim.release(a)
		}
		sim.after(50*time.Millisecond, tick)
	}
	tick()
	sim.run()
	var served []float64
	var counts flow.HeldCounts
	for _, r := range routes {
		served = append(served, float64(r.served)/float64(r.offered))
	}
	for _, a := range sim.agents {
		w := a.tracker.Held()
		counts.Openings, counts.TotalOpenings, counts.TooLong = counts.Openings+w.Openings, counts.TotalOpenings+w.TotalOpenings, counts.TooLong+w.TooLong
	}
	t.Logf("at most %d waiting, %v clients: %.3f served, %+v, refused %v", maxWaiting, clients, served, counts, sim.refused)
	return served
}

// TestBurstOfPatientClientsIsServed guards against clients that come at once after a restart and fail within 100 ms,
// because they use up their repetitions before the servers have free slots again. Further clients of a less urgent route
// must not change that.
func TestBurstOfPatientClientsIsServed(t *testing.T) {
	for _, c := range []struct {
		clients []int
		// most is the largest part of the most urgent requests that may be served without waiting at agents, to show that
		// the burst is a problem, and least the smallest part with it.
		most, least float64
	}{{[]int{300}, 0.9, 0.99}, {[]int{600}, 0.6, 0.95}, {[]int{300, 600}, 0.9, 0.99}} {
		without, with := burstAfterRestart(t, 0, c.clients...), burstAfterRestart(t, 256, c.clients...)
		if without[0] > c.most || with[0] < c.least {
			t.Errorf("%v clients: %.3f of the most urgent requests were served without waiting at agents, and %.3f with it", c.clients, without[0], with[0])
		}
	}
}

// newFullTracker returns a Tracker whose server has 4 slots, all of them busy with the urgent requests of flows 0 to 5, and
// whose routes have patient clients. The route to photos is more urgent than that to orders. The server has 5 of the
// requests, and the agent holds one.
func newFullTracker(t *testing.T) *flow.Tracker {
	t.Helper()
	tracker := newTracker(patientView(5, nil))
	fill(t, tracker)
	return tracker
}

func fill(t *testing.T, tracker *flow.Tracker) {
	t.Helper()
	for n := range 6 {
		openAt(t, tracker, start, urgentOpening(n).Key)
		want := flow.ToServer
		if n >= 5 {
			want = flow.Wait
		}
		wantAction(t, sendData(tracker, start, urgentOpening(n).Key, 0), want, flow.NoNote)
	}
}

// openAt opens a flow.
func openAt(t *testing.T, tracker *flow.Tracker, now time.Duration, key flow.Key) {
	t.Helper()
	wantAction(t, tracker.FromNode(now, &flow.Packet{Key: key, Kind: flow.Opening}, nil, request(flow.PurposeOpen)), flow.ToServer, flow.NoNote)
	wantAction(t, tracker.FromServer(now, &flow.Packet{Key: key, Kind: flow.Accepting, Ack: 1}), flow.ToClient, flow.NoteHeld)
}

// sendData lets a client send the n-th packet of 10 bytes on a flow.
func sendData(tracker *flow.Tracker, now time.Duration, key flow.Key, n uint32) flow.Verdict {
	return tracker.FromNode(now, &flow.Packet{Key: key, Seq: 1 + 10*n, Length: 10, Ack: 77}, nil, request(flow.PurposeDeliver))
}

// answerUrgent lets the server answer the request of an urgent flow.
func answerUrgent(tracker *flow.Tracker, now time.Duration, n int) {
	tracker.FromServer(now, &flow.Packet{Key: urgentOpening(n).Key, Length: 100})
}

func patientView(version uint64, change func(*registry.View)) *registry.View {
	view := orderView(version)
	routes := view.Configuration.Routes
	routes[1].Shares = routes[0].Shares
	routes[0].Priority, routes[1].Priority = 1, 0
	routes[0].Timeout, routes[1].Timeout = 4*time.Second, 4*time.Second
	if change != nil {
		change(view)
	}
	return view
}

func urgentOpening(n int) *flow.Packet {
	p := opening(n)
	p.Key.Service = photos
	return p
}

// wantNext expects the next decision on a waiting packet, which concerns p, or none if p is nil.
func wantNext(t *testing.T, tracker *flow.Tracker, now time.Duration, p *flow.Packet, action flow.Action) flow.Verdict {
	t.Helper()
	v, got, _ := tracker.NextHeld(now)
	if (got == nil) != (p == nil) || p != nil && (got.Key != p.Key || v.Action != action) {
		t.Fatalf("got %v (%s) for %v, want %v for %v", v.Action, v.Reason, got, action, p)
	}
	return v
}

// nextOpening returns the next decision on an opening packet that waits. Requests that are released before it are ignored.
func nextOpening(tracker *flow.Tracker, now time.Duration) (flow.Verdict, *flow.Packet) {
	for {
		v, p, _ := tracker.NextHeld(now)
		if p == nil || p.Kind == flow.Opening {
			return v, p
		}
	}
}

func wait(t *testing.T, tracker *flow.Tracker, now time.Duration, p *flow.Packet) flow.Verdict {
	t.Helper()
	v := tracker.FromNode(now, p, nil, request(flow.PurposeOpen))
	wantAction(t, v, flow.Wait, flow.NoteWaiting)
	return v
}

// TestUrgentWorkLeavesTheQueueFirst guards the order of the queue: by priority, then by arrival, openings and requests
// alike. It also covers that nothing is released without room, and that the raw packet is kept.
func TestUrgentWorkLeavesTheQueueFirst(t *testing.T) {
	tracker := newFullTracker(t)
	for _, p := range []*flow.Packet{opening(20), opening(22), urgentOpening(21), urgentOpening(23)} {
		wait(t, tracker, start, p)
		raw := []byte{p.Key.Client.IP[3]}
		tracker.KeepRaw(p, raw)
		raw[0] = 0
	}
	now := start
	wantNext(t, tracker, now, nil, flow.Drop)
	// The request that is held leaves the queue first. An opening packet needs a free slot.
	now += time.Millisecond
	answerUrgent(tracker, now, 0)
	wantNext(t, tracker, now, &flow.Packet{Key: urgentOpening(5).Key}, flow.ToServer)
	wantNext(t, tracker, now, nil, flow.Drop)
	now += time.Millisecond
	answerUrgent(tracker, now, 1)
	wantNext(t, tracker, now, nil, flow.Drop)
	for i, want := range []*flow.Packet{urgentOpening(21), urgentOpening(23), opening(20), opening(22)} {
		now += time.Millisecond
		answerUrgent(tracker, now, 2+i)
		v, p, raw := tracker.NextHeld(now)
		if p == nil || v.Action != flow.ToServer || p.Key != want.Key || !slices.Equal(raw, want.Key.Client.IP[3:]) {
			t.Fatalf("got %v for %v with raw form %v, want %v", v.Action, p, raw, want)
		}
		wantNext(t, tracker, now, nil, flow.Drop)
	}
	if got, want := tracker.Held(), (flow.HeldCounts{TotalOpenings: 4, TotalRequests: 1}); got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
}

// TestWaitingOpeningsAreBounded guards the memory of an agent and the clients' time: a full queue, a copy that arrives
// again, a flow that has waited for too long, and one whose copy shows that its client began earlier.
func TestWaitingOpeningsAreBounded(t *testing.T) {
	config := flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort})
	config.MaxWaiting = 2
	tracker := flow.NewTracker(config, start)
	tracker.SetView(patientView(5, nil))
	fill(t, tracker)
	late := opening(21)
	late.Copy = 1
	wait(t, tracker, start, opening(20))
	if limit := wait(t, tracker, start, late).Place.Limit; limit != 1100*time.Millisecond {
		t.Fatalf("the limit for a copy sent after 200 ms is %v", limit)
	}
	wantAction(t, tracker.FromNode(start, late, nil, request(flow.PurposeOpen, agentIP(3))), flow.Drop, flow.NoteWaiting)
	if v := tracker.FromNode(start, opening(22), nil, request(flow.PurposeOpen)); v.Action != flow.Reset || v.Refusal != flow.RefusedBusy {
		t.Fatalf("got %v with refusal %v although the queue is full", v.Action, v.Refusal)
	}
	for now := start; now <= start+1300*time.Millisecond; now += 50 * time.Millisecond {
		tracker.Check(now)
		switch now - start {
		case 1100 * time.Millisecond:
			wantAction(t, wantNext(t, tracker, now, late, flow.Reset), flow.Reset, flow.NoteRefused)
		case 1300 * time.Millisecond:
			wantAction(t, wantNext(t, tracker, now, opening(20), flow.Reset), flow.Reset, flow.NoteRefused)
		}
		wantNext(t, tracker, now, nil, flow.Drop)
	}
	if got, want := tracker.Held(), (flow.HeldCounts{TotalOpenings: 2, TooLong: 2, Requests: 1, TotalRequests: 1}); got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
}

// TestWaitingOpeningIsRefusedOnceItCanNotBeServed guards against clients that wait for a server that will not take them.
func TestWaitingOpeningIsRefusedOnceItCanNotBeServed(t *testing.T) {
	for name, change := range map[string]func(*flow.Tracker){
		"evacuation": func(tr *flow.Tracker) {
			tr.SetView(patientView(5, func(v *registry.View) { evacuate(v, 0, "here") }))
		},
		"draining": func(tr *flow.Tracker) {
			tr.SetView(patientView(5, func(v *registry.View) { v.Upstreams[0].Draining = true }))
		},
		"server gone": func(tr *flow.Tracker) { tr.SetView(patientView(5, func(v *registry.View) { v.Upstreams = nil })) },
		"route removed": func(tr *flow.Tracker) {
			tr.SetView(patientView(6, func(v *registry.View) { v.Configuration.Routes = nil }))
		},
		"server down": func(tr *flow.Tracker) { tr.ServerDown() },
		"agent stops": func(tr *flow.Tracker) { tr.StopHolding() },
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newFullTracker(t)
			wait(t, tracker, start, opening(20))
			wait(t, tracker, start, opening(21))
			now := start + 10*time.Millisecond
			change(tracker)
			for _, want := range []*flow.Packet{opening(20), opening(21), nil} {
				v, p := nextOpening(tracker, now)
				if (p == nil) != (want == nil) || p != nil && p.Key != want.Key {
					t.Fatalf("got %v for %v, want a refusal of %v", v.Action, p, want)
				}
				if p != nil {
					wantAction(t, v, flow.Reset, flow.NoteRefused)
				}
			}
			if v := tracker.FromNode(now, opening(22), nil, request(flow.PurposeOpen)); v.Action == flow.Wait {
				t.Error("a further flow waits")
			}
		})
	}
}

// TestOpeningWaitsWhereTheQueueIsShortest covers a burst that all servers together can serve in a while. If each flow waited
// at the last agent on its list, some queues would be so long that flows are refused, while others are short.
func TestOpeningWaitsWhereTheQueueIsShortest(t *testing.T) {
	tracker := newFullTracker(t)
	for n := range 10 {
		wait(t, tracker, start, opening(20+n))
	}
	offered := tracker.FromNode(start, opening(40), nil, request(flow.PurposeOpen, agentIP(3))).Request.Best
	if offered.Agent != agentIP(1) {
		t.Fatalf("got the offer %+v", offered)
	}
	for difference, want := range map[time.Duration]flow.Action{-1: flow.Forward, 1: flow.Wait} {
		r := request(flow.PurposeOpen)
		r.Best = flow.Offer{Agent: agentIP(3), Wait: offered.Wait + difference*time.Millisecond}
		v := tracker.FromNode(start, opening(50+int(difference)), nil, r)
		if v.Action != want || want == flow.Forward && (v.To != agentIP(3) || !v.Request.Final) {
			t.Errorf("another agent expects %v more: got %v to %v", difference*time.Millisecond, v.Action, v.To)
		}
	}
	// The agent with the shortest queue must not send the flow on again.
	r := request(flow.PurposeOpen)
	r.Final, r.Best = true, flow.Offer{Agent: agentIP(1), Wait: offered.Wait}
	wantAction(t, tracker.FromNode(start, opening(60), nil, r), flow.Wait, flow.NoteWaiting)
}

// TestColdRateHoldsForWaitingOpenings guards against a release of many flows at once to a server that turns out to be
// cold while they wait.
func TestColdRateHoldsForWaitingOpenings(t *testing.T) {
	tracker := newFullTracker(t)
	for n := range 20 {
		wait(t, tracker, start, opening(20+n))
	}
	const rate = 10
	tracker.SetView(withColdRate(patientView(6, func(v *registry.View) {
		v.Upstreams[0].Incarnation, v.Upstreams[0].WarmAt = 2, start+10*time.Second
	}), rate))
	if v := tracker.FromNode(start, opening(50), nil, request(flow.PurposeOpen)); v.Action != flow.Reset {
		t.Fatalf("got %v at a cold server that has used up its limit", v.Action)
	}
	wantNext(t, tracker, start, nil, flow.Drop)
	for n := range 5 {
		answerUrgent(tracker, start, n)
	}
	wantNext(t, tracker, start, urgentOpening(5), flow.ToServer)
	answerUrgent(tracker, start, 5)
	var sent []time.Duration
	refused := 0
	for now := start; now <= start+1500*time.Millisecond; now += 10 * time.Millisecond {
		tracker.Check(now)
		for {
			v, p, _ := tracker.NextHeld(now)
			if p == nil {
				break
			}
			if v.Action == flow.Reset {
				refused++
				continue
			}
			sent = append(sent, now)
			key := p.Key
			tracker.FromServer(now, &flow.Packet{Key: key, Kind: flow.Accepting})
			tracker.FromNode(now, &flow.Packet{Key: key, Length: 10}, nil, request(flow.PurposeDeliver))
			tracker.FromServer(now, &flow.Packet{Key: key, Length: 10})
		}
	}
	if got := maxInSecond(sent); float64(got) > coldLimit(rate) || len(sent) < rate/2 || len(sent)+refused != 20 {
		t.Errorf("released %d flows, at most %d in a second, and refused %d", len(sent), got, refused)
	}
}

// TestOpeningRefusedForItsShareWaits guards against refusing the clients of a less urgent route after a restart, only because
// the rest of the server's queue is left to more urgent ones: these leave the agent's queue first in any case.
func TestOpeningRefusedForItsShareWaits(t *testing.T) {
	tracker := newFullTracker(t)
	for n := range 3 {
		wait(t, tracker, start, urgentOpening(20+n))
	}
	wait(t, tracker, start, opening(30))
}
