package flow

import (
	"fmt"
	"math/rand"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// explainedSeeds is the number of random histories. A description of the whole state takes about 2 ms, so it is compared
// only at every fifth step; the decisions are compared at each step.
const (
	explainedSeeds = 25
	describedSteps = 5
)

func describeSome(step int, v any) string {
	if step%describedSteps != 0 {
		return ""
	}
	return describe(v)
}

// describe returns the state behind a value, including unexported fields, so that any change is found.
func describe(v any) string {
	var b strings.Builder
	describeTo(&b, reflect.ValueOf(v), map[uintptr]bool{})
	return b.String()
}

func describeTo(b *strings.Builder, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] {
			fmt.Fprint(b, "&", v.IsNil())
			return
		}
		seen[v.Pointer()] = true
		describeTo(b, v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			fmt.Fprint(b, " ", v.Type().Field(i).Name, ":")
			describeTo(b, v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		fmt.Fprint(b, "[", v.Len())
		for i := range v.Len() {
			b.WriteByte(' ')
			describeTo(b, v.Index(i), seen)
		}
	case reflect.Map:
		values := map[string]reflect.Value{}
		var keys []string
		for _, key := range v.MapKeys() {
			name := fmt.Sprint(key)
			keys, values[name] = append(keys, name), v.MapIndex(key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			fmt.Fprint(b, "{", key)
			describeTo(b, values[key], seen)
		}
	case reflect.Interface:
		if !v.IsNil() {
			describeTo(b, v.Elem(), seen)
		}
	case reflect.Func, reflect.Chan:
	default:
		fmt.Fprint(b, v)
	}
}

var (
	explainedServices = []string{"orders", "photos"}
	explainedPlaces   = []string{"a", "b", "c"}
	explainedAddress  = Endpoint{IP: IP{198, 18, 0, 1}, Port: 443}
	explainedServer   = Endpoint{IP: IP{10, 0, 0, 1}, Port: 8000}
)

// randomView returns a view with servers, a route, evacuations and an age at random.
func randomView(rnd *rand.Rand, now time.Duration, version uint64) *registry.View {
	content := &registry.Content{Configuration: &registry.Configuration{
		Version:  version,
		Services: map[string]registry.Service{"orders": {ColdStart: 5 * time.Second, ColdRate: float64(rnd.Intn(3))}},
		Routes: []registry.Route{{
			Address: explainedAddress.AddrPort(), Repeatable: rnd.Intn(2) == 0, Priority: rnd.Intn(3),
			Target: 200 * time.Millisecond, Timeout: time.Duration(1+rnd.Intn(3)) * 1500 * time.Millisecond,
			Shares: []registry.Share{{Service: "orders", Weight: 3}, {Service: "photos", Weight: uint32(rnd.Intn(2))}},
		}},
	}}
	for n := range 1 + rnd.Intn(14) {
		content.Upstreams = append(content.Upstreams, registry.Upstream{
			ID: fmt.Sprint(n), Service: explainedServices[rnd.Intn(5)/4], Place: explainedPlaces[rnd.Intn(3)], Slots: 1 + rnd.Intn(3),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + n)}), 8000), Draining: rnd.Intn(6) == 0,
			WarmAt: now + time.Duration(rnd.Intn(4000)-3000)*time.Millisecond, Incarnation: uint64(1 + rnd.Intn(2)),
		})
	}
	for _, place := range explainedPlaces[:rnd.Intn(3)] {
		if rnd.Intn(2) == 0 {
			started := []time.Duration{0, now - time.Duration(rnd.Intn(1500))*time.Millisecond}[rnd.Intn(2)]
			content.Evacuations = append(content.Evacuations, registry.Evacuation{Place: place, Revision: registry.Revision(version), Started: started})
		}
	}
	confirmed := now - time.Duration(rnd.Intn(4))*time.Second
	return &registry.View{
		Freshness: registry.Freshness{Revision: registry.Revision(version), Changed: registry.Revision(version), Confirmed: confirmed, ContinuousSince: confirmed - time.Minute},
		Content:   content,
	}
}

func randomKey(rnd *rand.Rand) Key {
	key := Key{Client: Endpoint{IP: IP{100, 64, 0, byte(rnd.Intn(8))}, Port: uint16(1025 + rnd.Intn(4))}, Service: explainedAddress}
	if rnd.Intn(20) == 0 {
		key.Service.Port++
	}
	return key
}

func randomAgent(rnd *rand.Rand) IP { return IP{10, 0, 0, byte(1 + rnd.Intn(14))} }

// changeDirector changes the state of a Director at random. The same source gives the same changes.
func changeDirector(rnd *rand.Rand, d *Director, now time.Duration, step int) {
	key, agent := randomKey(rnd), randomAgent(rnd)
	switch rnd.Intn(8) {
	case 0:
		d.SetView(now, randomView(rnd, now, uint64(step+1)))
	case 1, 2:
		d.UpdateStatus(now, AgentStatus{
			From: agent, Process: uint64(1 + rnd.Intn(2)), Accepting: rnd.Intn(4) > 0, Busy: uint32(rnd.Intn(4)), Slots: 3, Flows: uint32(rnd.Intn(9)),
			ServiceTime: time.Duration(rnd.Intn(30)) * time.Millisecond,
		})
	case 3:
		d.HandleReport(now, Report{Key: key, Held: rnd.Intn(2) == 0, From: agent, Service: ServiceHash("orders")})
	case 4:
		d.HandleLeave(now, agent, 1)
	case 5:
		d.Heartbeat(now)
	case 6:
		d.FromClient(now, &Packet{Key: key, Kind: Other, Length: 10}, nil)
	case 7:
		d.NextHedge(now)
		d.Sweep(now)
	}
}

// TestExplainAgreesWithTheDirector guards against an explanation that differs from the decision that follows, and
// against one that changes the state of the balancer and thereby later decisions.
func TestExplainAgreesWithTheDirector(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range int64(explainedSeeds) {
		config := DefaultDirectorConfig("a")
		d, plain := NewDirector(config, 0), NewDirector(config, 0)
		rnd, plainRnd := rand.New(rand.NewSource(seed)), rand.New(rand.NewSource(seed))
		now := time.Hour
		for step := range 150 {
			changeDirector(rnd, d, now, step)
			changeDirector(plainRnd, plain, now, step)
			p := Packet{Key: randomKey(rnd), Kind: Opening}
			randomKey(plainRnd)
			before := describeSome(step, d)
			d.Explain(now, p.Key)
			e := d.Explain(now, p.Key)
			if describeSome(step, d) != before {
				t.Fatalf("seed %d, step %d: the explanation changed the state", seed, step)
			}
			got, want := d.FromClient(now, &p, nil), plain.FromClient(now, &p, nil)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d, step %d: got %+v after explanations, and %+v without", seed, step, got, want)
			}
			checkExplanation(t, &e, got)
			outcomes[e.Outcome]++
			now += time.Duration(rnd.Intn(400)) * time.Millisecond
			plainRnd.Intn(400)
		}
	}
	for _, outcome := range []string{OutcomeForward, OutcomeRefuse, OutcomeDrop} {
		if outcomes[outcome] < 30 {
			t.Errorf("only %d of the outcomes are %q", outcomes[outcome], outcome)
		}
	}
}

func checkExplanation(t *testing.T, e *Explanation, d Decision) {
	t.Helper()
	outcome := map[Action]string{Forward: OutcomeForward, Reset: OutcomeRefuse, Drop: OutcomeDrop}[d.Action]
	var agents []string
	if d.Action == Forward {
		for _, ip := range append([]IP{d.To}, d.Request.Remaining...) {
			agents = append(agents, ip.String())
		}
	}
	if e.Outcome != outcome || e.Reason != d.Reason || !slices.Equal(e.Agents, agents) {
		t.Fatalf("explained %s %q %v, decided %v %q %v", e.Outcome, e.Reason, e.Agents, d.Action, d.Reason, agents)
	}
	listed := 0
	for _, c := range e.Candidates {
		if c.Position > 0 {
			listed++
			if agents[c.Position-1] != c.Agent {
				t.Fatalf("%s has position %d in %v", c.Agent, c.Position, agents)
			}
		}
		if (c.Reason == "") != (c.Class == "local" || c.Class == "remote") {
			t.Fatalf("%s is %s for the reason %q", c.Agent, c.Class, c.Reason)
		}
	}
	if listed != len(agents) {
		t.Fatalf("%d candidates have a position in %v", listed, agents)
	}
}

// changeTracker changes the state of a Tracker at random. The same source gives the same changes.
func changeTracker(rnd *rand.Rand, tr *Tracker, now time.Duration, step int) {
	key := randomKey(rnd)
	request := Request{Purpose: PurposeOpen, Service: tr.service, Version: uint64(step + rnd.Intn(3)), Balancer: IP{10, 9, 0, 1}}
	switch rnd.Intn(10) {
	case 0:
		if rnd.Intn(3) == 0 {
			tr.SetView(randomView(rnd, now, uint64(step+1)))
		}
	case 1, 2, 3:
		tr.FromNode(now, &Packet{Key: key, Kind: Opening}, nil, request)
	case 4:
		request.Purpose = PurposeDeliver
		tr.FromNode(now, &Packet{Key: key, Length: 10}, nil, request)
	case 5, 6:
		kind := []Kind{Accepting, Other, Closing, Resetting}[rnd.Intn(4)]
		tr.FromServer(now, &Packet{Key: key, Kind: kind, Length: rnd.Intn(2) * 10})
	case 7:
		tr.SetPeers(now, PeerStats{ServiceTime: time.Duration(rnd.Intn(20)) * time.Millisecond})
		tr.Check(now)
	case 8:
		if rnd.Intn(8) == 0 {
			tr.ServerDown()
		}
		tr.Sweep(now)
	case 9:
		for {
			if _, p, _ := tr.NextHeld(now); p == nil {
				break
			}
		}
	}
}

// TestExplainAgreesWithTheTracker guards against an answer of an agent that differs from the decision that follows, and
// against one that changes the state of the agent.
func TestExplainAgreesWithTheTracker(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range int64(explainedSeeds) {
		config := DefaultTrackerConfig("orders", explainedServer)
		config.Place = "a"
		tr, plain := NewTracker(config, time.Hour), NewTracker(config, time.Hour)
		rnd, plainRnd := rand.New(rand.NewSource(seed)), rand.New(rand.NewSource(seed))
		now := time.Hour
		for step := range 200 {
			changeTracker(rnd, tr, now, step)
			changeTracker(plainRnd, plain, now, step)
			p := Packet{Key: randomKey(rnd), Kind: Opening}
			randomKey(plainRnd)
			before := describeSome(step, tr)
			tr.Explain(now, p.Key)
			e := tr.Explain(now, p.Key)
			if describeSome(step, tr) != before {
				t.Fatalf("seed %d, step %d: the explanation changed the state", seed, step)
			}
			request := Request{Purpose: PurposeOpen, Service: tr.service, Version: tr.version}
			outcome, reason := e.LastOutcome, e.LastReason
			if step%2 == 0 {
				request.Remaining = []IP{{10, 0, 0, 99}}
				outcome, reason = e.Outcome, e.Reason
			}
			got, want := tr.FromNode(now, &p, nil, request), plain.FromNode(now, &p, nil, request)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d, step %d: got %+v after explanations, and %+v without", seed, step, got, want)
			}
			if decided := map[Action]string{ToServer: OutcomeTake, Forward: OutcomePass, Reset: OutcomeRefuse, Drop: OutcomeDrop, Wait: OutcomeWait}[got.Action]; decided != outcome || got.Reason != reason {
				t.Fatalf("seed %d, step %d: explained %s %q, decided %s %q", seed, step, outcome, reason, decided, got.Reason)
			}
			outcomes[outcome]++
			now += time.Duration(rnd.Intn(60)) * time.Millisecond
			plainRnd.Intn(60)
		}
	}
	for outcome, least := range map[string]int{OutcomeTake: 30, OutcomePass: 30, OutcomeRefuse: 30, OutcomeWait: 10} {
		if outcomes[outcome] < least {
			t.Errorf("only %d of the outcomes are %q", outcomes[outcome], outcome)
		}
	}
}
