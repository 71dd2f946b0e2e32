package flow_test

import (
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
)

// openSignals opens flows of the less urgent route on which nothing happens yet, and returns the time after that.
func openSignals(t *testing.T, tracker *flow.Tracker, flows int) time.Duration {
	t.Helper()
	now := start
	for n := range flows {
		openAt(t, tracker, now, opening(n).Key)
		now += time.Second
	}
	return now
}

// TestUrgentRequestOvertakesThoseOfOpenFlows covers long flows on which more requests arrive at once than the server can
// run. The server runs what it is given in the order of arrival, so an urgent request would wait behind all of them.
func TestUrgentRequestOvertakesThoseOfOpenFlows(t *testing.T) {
	tracker := newTracker(patientView(5, nil))
	now := openSignals(t, tracker, 12)
	openAt(t, tracker, now, urgentOpening(50).Key)
	now += time.Second
	given := 0
	for n := range 12 {
		if sendData(tracker, now, opening(n).Key, 0).Action == flow.ToServer {
			given++
		}
	}
	if given != 5 {
		t.Fatalf("the server with 4 slots got %d requests, want 5", given)
	}
	wantAction(t, sendData(tracker, now, urgentOpening(50).Key, 0), flow.Wait, flow.NoNote)
	if got := tracker.Held(); got.Requests != 8 {
		t.Fatalf("counted %+v, want 8 requests", got)
	}
	now += 20 * time.Millisecond
	tracker.FromServer(now, &flow.Packet{Key: opening(0).Key, Length: 100})
	wantNext(t, tracker, now, &flow.Packet{Key: urgentOpening(50).Key}, flow.ToServer)
	wantNext(t, tracker, now, nil, flow.Drop)
	// An urgent flow that is opened now waits only for what the server has.
	v := tracker.FromNode(now, urgentOpening(51), nil, request(flow.PurposeOpen))
	wantAction(t, v, flow.ToServer, flow.NoNote)
	// One that is less urgent can't be answered in time.
	if v := tracker.FromNode(now, opening(60), nil, request(flow.PurposeOpen, agentIP(3))); v.Action != flow.Forward {
		t.Fatalf("got %v for a less urgent flow, want it passed on", v.Action)
	}
}

// TestLateRequestsDoNotMakeOthersLate covers a burst that leaves more requests than can be answered in time. Those that
// come after it are answered in time, and the late ones from the capacity that is left.
func TestLateRequestsDoNotMakeOthersLate(t *testing.T) {
	tracker := newTracker(patientView(5, nil))
	now := openSignals(t, tracker, 12)
	for n := range 11 {
		sendData(tracker, now, opening(n).Key, 0)
	}
	for n := range 5 {
		now += 100 * time.Millisecond
		tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Ack: 11})
		wantNext(t, tracker, now, nil, flow.Drop)
	}
	wantAction(t, sendData(tracker, now, opening(11).Key, 0), flow.Wait, flow.NoNote)
	tracker.FromServer(now, &flow.Packet{Key: opening(0).Key, Length: 100})
	wantNext(t, tracker, now, &flow.Packet{Key: opening(11).Key}, flow.ToServer)
	tracker.FromServer(now, &flow.Packet{Key: opening(1).Key, Length: 100})
	wantNext(t, tracker, now, &flow.Packet{Key: opening(5).Key}, flow.ToServer)
}

// TestHeldRequestReachesTheServerOnce covers packets of a held request that are repeated, reordered or follow it. A copy
// that came after the request would be a second one, and a packet that overtook another one would be discarded.
func TestHeldRequestReachesTheServerOnce(t *testing.T) {
	tracker := newFullTracker(t)
	key := urgentOpening(5).Key
	if v := sendData(tracker, start, key, 0); v.Action != flow.Wait {
		t.Fatalf("got %v for a copy", v.Action)
	}
	wantAction(t, sendData(tracker, start, key, 2), flow.Wait, flow.NoNote)
	wantAction(t, sendData(tracker, start, key, 1), flow.Wait, flow.NoNote)
	wantAction(t, sendData(tracker, start, key, 2), flow.Wait, flow.NoNote)
	wantAction(t, tracker.FromNode(start, &flow.Packet{Key: key, Ack: 78, Seq: 11}, nil, request(flow.PurposeDeliver)), flow.ToServer, flow.NoNote)
	answerUrgent(tracker, start, 0)
	for _, seq := range []uint32{1, 11, 21} {
		v, p, _ := tracker.NextHeld(start)
		if p == nil || p.Key != key || p.Seq != seq || v.Action != flow.ToServer {
			t.Fatalf("got %v for %+v, want number %d", v.Action, p, seq)
		}
	}
	wantNext(t, tracker, start, nil, flow.Drop)
	if status := tracker.Status(start); status.Busy != 5 {
		t.Fatalf("%d requests are busy, want 5", status.Busy)
	}
	// The client has not received the acknowledgment yet. Its copy is no new request.
	answerUrgent(tracker, start, 5)
	wantAction(t, sendData(tracker, start, key, 0), flow.ToServer, flow.NoNote)
	if status := tracker.Status(start); status.Busy != 4 {
		t.Fatalf("%d requests are busy after a late copy, want 4", status.Busy)
	}
}

// TestHeldRequestIsPassedOnAtItsLimit covers a server whose slots stay busy. The client must not wait in vain until its
// timeout: the server may still answer, or state that it has not run the request.
func TestHeldRequestIsPassedOnAtItsLimit(t *testing.T) {
	tracker := newFullTracker(t)
	limit := 3 * time.Second
	for now := start; now < start+limit; now += 100 * time.Millisecond {
		tracker.FromServer(now, &flow.Packet{Key: urgentOpening(0).Key})
		wantNext(t, tracker, now, nil, flow.Drop)
	}
	wantNext(t, tracker, start+limit, &flow.Packet{Key: urgentOpening(5).Key}, flow.ToServer)
	if got := tracker.Held(); got.Overdue != 1 || got.Requests != 0 {
		t.Errorf("counted %+v", got)
	}
}

// TestExplanationOfARequestOnAnOpenFlow guards the answer that operators get before they search the logs: it must be that of
// the decision.
func TestExplanationOfARequestOnAnOpenFlow(t *testing.T) {
	tracker := newTracker(patientView(5, nil))
	now := openSignals(t, tracker, 8)
	if got := tracker.Explain(now, opening(0).Key).Request; got.Outcome != flow.OutcomeTake || got.LimitMs != 3000 {
		t.Fatalf("got %+v on an idle server", got)
	}
	for n := range 7 {
		sendData(tracker, now, opening(n).Key, 0)
	}
	got := tracker.Explain(now, opening(7).Key).Request
	if got.Outcome != flow.OutcomeWait || got.Ahead != 7 || got.ExpectedMs <= 0 {
		t.Fatalf("got %+v behind 7 requests on 4 slots", got)
	}
	if got := tracker.Explain(now, urgentOpening(7).Key).Request; got.Outcome != flow.OutcomeWait || got.Ahead != 5 {
		t.Fatalf("got %+v for an urgent request, want it behind what the server has", got)
	}
	wantAction(t, sendData(tracker, now, opening(7).Key, 0), flow.Wait, flow.NoNote)
	// The packet of a held request must not be counted twice, and nothing may be added to it.
	p := dataPacket(7)
	p.Seq = 201
	wantAction(t, tracker.FromNode(now, p, nil, request(flow.PurposeDeliver)), flow.Wait, flow.NoNote)
	if got := tracker.Explain(now, p.Key).Request; got.Outcome != flow.OutcomeWait || got.Ahead != 8 {
		t.Fatalf("got %+v for a flow with a held request", got)
	}
	for n := range 5 {
		tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Length: 100})
	}
	for _, n := range []int{5, 6, 7, 7} {
		wantNext(t, tracker, now, opening(n), flow.ToServer)
	}
	wantNext(t, tracker, now, nil, flow.Drop)
}

// TestAbandonedRequestTakesNoSlot covers a client that gives up its request while the agent holds it.
func TestAbandonedRequestTakesNoSlot(t *testing.T) {
	tracker := newFullTracker(t)
	key := urgentOpening(5).Key
	wantAction(t, tracker.FromNode(start, &flow.Packet{Key: key, Kind: flow.Resetting, Seq: 11}, nil, request(flow.PurposeDeliver)), flow.ToServer, flow.NoNote)
	answerUrgent(tracker, start, 0)
	wantNext(t, tracker, start, nil, flow.Drop)
	if got := tracker.Held(); got.Abandoned != 1 || got.Requests != 0 {
		t.Errorf("counted %+v", got)
	}
}

// TestSearchLearnsOfAHeldRequest covers an agent that holds a request and a balancer that does not know the owner of the
// flow. Without a report it would count the flow as lost.
func TestSearchLearnsOfAHeldRequest(t *testing.T) {
	tracker := newFullTracker(t)
	p := &flow.Packet{Key: urgentOpening(5).Key, Seq: 1, Length: 10, Ack: 77}
	wantAction(t, tracker.FromNode(start, p, nil, request(flow.PurposeSearch)), flow.Wait, flow.NoteHeld)
}

// TestTransferOfAnUploadIsNotHeld covers requests of many packets. The server runs one when it has received all of it, so
// holding its first packet would only delay the transfer, and the uploads in progress take no slots from other requests.
// The last packet is held like that of any other request.
func TestTransferOfAnUploadIsNotHeld(t *testing.T) {
	config := flow.DefaultTrackerConfig("", flow.Endpoint{})
	tracker := newTracker(patientView(5, nil))
	now := openSignals(t, tracker, 12)
	send := func(n int, i uint32, length int, want flow.Action) {
		t.Helper()
		p := &flow.Packet{Key: opening(n).Key, Seq: 1 + i*uint32(config.MaxPayload), Length: length, Ack: 77}
		wantAction(t, tracker.FromNode(now, p, nil, request(flow.PurposeDeliver)), want, flow.NoNote)
	}
	for n := range 10 {
		for i := range uint32(3) {
			send(n, i, config.MaxPayload, flow.ToServer)
		}
	}
	if status := tracker.Status(now); status.Busy != 0 {
		t.Fatalf("%d requests are busy while all are being transferred", status.Busy)
	}
	for n := range 10 {
		want := flow.ToServer
		if n >= 5 {
			want = flow.Wait
		}
		send(n, 3, 100, want)
	}
	// A copy of a packet that the server has is no request.
	send(9, 2, config.MaxPayload, flow.ToServer)
	if status := tracker.Status(now); status.Busy != 10 {
		t.Fatalf("%d requests are busy, want 10", status.Busy)
	}
	tracker.FromServer(now, &flow.Packet{Key: opening(0).Key, Length: 100})
	wantNext(t, tracker, now, &flow.Packet{Key: opening(5).Key}, flow.ToServer)
}

// TestHeldPacketsAreBounded guards the memory of an agent. Requests beyond the bound go to the server.
func TestHeldPacketsAreBounded(t *testing.T) {
	config := flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(1), Port: simPort})
	config.MaxHeldPackets = 3
	tracker := flow.NewTracker(config, start)
	tracker.SetView(patientView(5, nil))
	now := openSignals(t, tracker, 14)
	actions := map[flow.Action]int{}
	for n := range 14 {
		actions[sendData(tracker, now, opening(n).Key, 0).Action]++
	}
	if actions[flow.Wait] != 3 || actions[flow.ToServer] != 11 {
		t.Errorf("got %v, want 3 requests held", actions)
	}
}

// BenchmarkKnownFlow measures an agent's decisions on a request of an open flow and on its answer, without and with
// requests that are held at the same time.
func BenchmarkKnownFlow(b *testing.B) {
	for name, busy := range map[string]int{"idle": 0, "held": 200} {
		b.Run(name, func(b *testing.B) {
			tracker := newTracker(patientView(5, nil))
			now := start
			for n := range 2000 {
				now += 150 * time.Millisecond
				tracker.FromNode(now, opening(n), nil, request(flow.PurposeOpen))
				tracker.FromServer(now, &flow.Packet{Key: opening(n).Key, Kind: flow.Accepting, Ack: 1})
			}
			for n := range busy {
				sendData(tracker, now, opening(1000+n).Key, 0)
			}
			header, answer := request(flow.PurposeDeliver), flow.Packet{Length: 100}
			b.ReportAllocs()
			for n := uint32(0); b.Loop(); n++ {
				key := opening(int(n % 1000)).Key
				p := flow.Packet{Key: key, Seq: 1 + 10*(n/1000), Length: 10, Ack: 77}
				tracker.FromNode(now, &p, nil, header)
				answer.Key, answer.Ack = key, p.Seq+10
				tracker.FromServer(now, &answer)
			}
		})
	}
}
