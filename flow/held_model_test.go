package flow_test

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
)

// TestHeldRequestsModel sends requests whose packets are split, lost, repeated and reordered on flows of both routes to a
// server that is mostly full. Each request must reach the server in order and once, and in the end none may be held.
func TestHeldRequestsModel(t *testing.T) {
	const seeds, steps = 200, 400
	for seed := int64(1); seed <= seeds; seed++ {
		runHeldModel(t, seed, steps)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// FuzzHeldRequests runs the model of TestHeldRequestsModel with other seeds and lengths.
func FuzzHeldRequests(f *testing.F) {
	f.Add(int64(1), uint16(400))
	f.Fuzz(func(t *testing.T, seed int64, steps uint16) { runHeldModel(t, seed, int(steps)) })
}

func runHeldModel(t *testing.T, seed int64, steps int) {
	t.Helper()
	m := newHeldModel(seed, 12)
	for range steps {
		m.step(t)
	}
	m.finish(t)
}

// heldModelFlow is a flow of the model. sent is the number of bytes that the client has sent, received the number that the
// server has received in order, and answered the number that it has answered.
type heldModelFlow struct {
	key                      flow.Key
	sent, received, answered uint32
	// inFlight are the packets that the client repeats until the server has received them.
	inFlight []flow.Packet
	// heldSince is when the agent began to hold the request, or zero.
	heldSince time.Duration
}

// modelStep is the longest time between two calls of NextHeld.
const modelStep = 50 * time.Millisecond

type heldModel struct {
	rnd     *rand.Rand
	tracker *flow.Tracker
	now     time.Duration
	flows   map[flow.Key]*heldModelFlow
	order   []*heldModelFlow
}

func newHeldModel(seed int64, flows int) *heldModel {
	m := &heldModel{rnd: rand.New(rand.NewSource(seed)), tracker: newTracker(patientView(5, nil)), now: start, flows: map[flow.Key]*heldModelFlow{}}
	for n := range flows {
		p := opening(n)
		if n%2 == 0 {
			p = urgentOpening(n)
		}
		f := &heldModelFlow{key: p.Key}
		m.flows[p.Key] = f
		m.order = append(m.order, f)
		m.now += 200 * time.Millisecond
		m.tracker.FromNode(m.now, p, nil, request(flow.PurposeOpen))
		m.tracker.FromServer(m.now, &flow.Packet{Key: p.Key, Kind: flow.Accepting, Ack: 1})
	}
	return m
}

// step sends a new request of up to three packets, repeats a packet or lets the server answer a request.
func (m *heldModel) step(t *testing.T) {
	m.now += time.Duration(m.rnd.Intn(30)) * time.Millisecond
	f := m.order[m.rnd.Intn(len(m.order))]
	switch {
	case m.rnd.Intn(3) == 0:
		m.answer(t, f)
	case len(f.inFlight) > 0:
		m.send(t, f, f.inFlight[m.rnd.Intn(len(f.inFlight))])
	case f.answered == f.sent:
		for range 1 + m.rnd.Intn(3) {
			f.inFlight = append(f.inFlight, flow.Packet{Key: f.key, Seq: 1 + f.sent, Length: 10, Ack: 77})
			f.sent += 10
		}
		for _, i := range m.rnd.Perm(len(f.inFlight)) {
			if m.rnd.Intn(5) > 0 && i < len(f.inFlight) {
				m.send(t, f, f.inFlight[i])
			}
		}
	}
	m.tracker.Check(m.now)
	m.release(t)
}

func (m *heldModel) send(t *testing.T, f *heldModelFlow, p flow.Packet) {
	switch v := m.tracker.FromNode(m.now, &p, nil, request(flow.PurposeDeliver)); v.Action {
	case flow.ToServer:
		m.receive(t, p)
	case flow.Wait:
		if f.heldSince == 0 {
			f.heldSince = m.now
		}
	default:
		t.Errorf("got %v for a packet of an open flow: %s", v.Action, v.Reason)
	}
}

func (m *heldModel) release(t *testing.T) {
	for {
		v, p, _ := m.tracker.NextHeld(m.now)
		if p == nil {
			return
		}
		f := m.flows[p.Key]
		if limit := 3*time.Second + modelStep; f.heldSince > 0 && m.now-f.heldSince > limit {
			t.Errorf("flow %v was held for %v", p.Key, m.now-f.heldSince)
		}
		f.heldSince = 0
		if v.Action != flow.ToServer {
			t.Errorf("got %v for a held packet: %s", v.Action, v.Reason)
			continue
		}
		if p.Seq+uint32(p.Length) <= 1+f.received {
			t.Errorf("packet %d of flow %v was held although the server had it", p.Seq, p.Key)
		}
		m.receive(t, *p)
	}
}

// receive lets the server receive a packet. It acknowledges everything that it has received in order.
func (m *heldModel) receive(t *testing.T, p flow.Packet) {
	f := m.flows[p.Key]
	if p.Seq == 1+f.received {
		f.received += 10
	}
	f.inFlight = slices.DeleteFunc(f.inFlight, func(q flow.Packet) bool { return q.Seq < 1+f.received })
	m.tracker.FromServer(m.now, &flow.Packet{Key: f.key, Ack: 1 + f.received})
}

// answer lets the server answer a request that it has received completely.
func (m *heldModel) answer(t *testing.T, f *heldModelFlow) {
	if f.received != f.sent || f.answered == f.sent {
		return
	}
	f.answered = f.sent
	m.tracker.FromServer(m.now, &flow.Packet{Key: f.key, Length: 100, Ack: 1 + f.received})
}

// finish lets the server answer everything.
func (m *heldModel) finish(t *testing.T) {
	for range 200 {
		m.now += modelStep
		for _, f := range m.order {
			if len(f.inFlight) > 0 {
				m.send(t, f, f.inFlight[0])
			}
			m.answer(t, f)
		}
		m.tracker.Check(m.now)
		m.release(t)
	}
	for _, f := range m.order {
		if f.answered != f.sent {
			t.Errorf("flow %v: the server has answered %d of %d bytes and received %d", f.key, f.answered, f.sent, f.received)
		}
	}
	if got := m.tracker.Held(); got.Requests != 0 || m.tracker.Status(m.now).Busy != 0 {
		t.Errorf("in the end %+v is counted, and %d requests are busy", got, m.tracker.Status(m.now).Busy)
	}
}
