package flowbalancer

import (
	"math/rand"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
	"github.com/bramleyrack/bramleyrack/registry"
)

// observingView is a View that keeps what it observed last.
type observingView struct {
	testView
	observed registry.Freshness
}

func (v *observingView) Observe(f registry.Freshness, _ netip.AddrPort) { v.observed = f }

// TestConfirmationThatWaitedIsNotFresh guards against a balancer that was late itself and takes the confirmation of a view, which
// waited in its socket, for one from after a server has written its entry.
func TestConfirmationThatWaitedIsNotFresh(t *testing.T) {
	view := &observingView{}
	l := newLoop(&Balancer{config: Config{
		View: view, Clock: clock.New(), Director: flow.DefaultDirectorConfig("a"), Rand: rand.New(rand.NewSource(1)), Event: func(string, ...any) {},
	}})
	now := time.Hour
	h := &nodev1.Header{Kind: nodev1.Kind_KIND_ANSWER, Process: 7, Revision: 9}
	nodecodec.PutFreshness(h, now, registry.Freshness{Revision: 9, Confirmed: now - 20*time.Millisecond, ContinuousSince: now - time.Second})
	l.age = 300 * time.Millisecond
	l.handleNodeDatagram(now, flow.IP{10, 0, 0, 1}, nodecodec.Encode(nil, h, nil))
	if got := now - view.observed.Confirmed; got != 320*time.Millisecond {
		t.Errorf("the view counts as confirmed %v ago, want 320ms", got)
	}
	if got := now - l.status(now, flow.IP{10, 0, 0, 1}).View.Confirmed; got != 320*time.Millisecond {
		t.Errorf("the view of the agent counts as confirmed %v ago, want 320ms", got)
	}
	if got := now - view.observed.ContinuousSince; got != time.Second {
		t.Errorf("the store counts as not interrupted for %v, want 1s", got)
	}
}

// TestReportEndsHedging guards against further copies of an opening packet that waits at an agent, and against a waiting
// flow that is logged as refused or for which the balancer assumes an owner.
func TestReportEndsHedging(t *testing.T) {
	service := netip.MustParseAddrPort("198.18.0.1:443")
	content := &registry.Content{Configuration: &registry.Configuration{Version: 3, Routes: []registry.Route{
		{Address: service, Shares: []registry.Share{{Service: "orders", Weight: 1}}},
	}}}
	for _, address := range []string{"10.0.0.1:8000", "10.0.0.2:8000", "10.0.0.3:8000"} {
		content.Upstreams = append(content.Upstreams, registry.Upstream{ID: address, Service: "orders", Slots: 2, Address: netip.MustParseAddrPort(address)})
	}
	for verdict, c := range map[nodev1.Verdict]struct{ hedged, refused, owned bool }{
		nodev1.Verdict_VERDICT_UNSPECIFIED: {hedged: true},
		nodev1.Verdict_VERDICT_WAITING:     {},
		nodev1.Verdict_VERDICT_REFUSED:     {refused: true},
		nodev1.Verdict_VERDICT_HELD:        {owned: true},
	} {
		var events []string
		l := newLoop(&Balancer{config: Config{
			View: &testView{}, Clock: clock.New(), Director: flow.DefaultDirectorConfig("a"), Rand: rand.New(rand.NewSource(1)),
			Event: func(op string, _ ...any) { events = append(events, op) }, RecordReportTime: func(time.Duration) {},
		}})
		now := l.config.Clock.Now()
		l.director.SetView(now, &registry.View{Freshness: registry.Freshness{Revision: 9, Changed: 9, Confirmed: now}, Content: content})
		p := &flow.Packet{Kind: flow.Opening, Key: flow.Key{Client: flow.Endpoint{IP: flow.IP{100, 64, 0, 1}, Port: 1025}, Service: flow.EndpointOf(service)}}
		placed := l.director.FromClient(now, p, nil)
		if placed.Action != flow.Forward {
			t.Fatalf("got %v: %s", placed.Action, placed.Reason)
		}
		if verdict != nodev1.Verdict_VERDICT_UNSPECIFIED {
			report := &nodev1.Header{Kind: nodev1.Kind_KIND_REPORT, Verdict: verdict, Process: 7, Accepting: true, Service: flow.ServiceHash("orders")}
			nodecodec.PutKey(report, p.Key)
			l.handleNodeDatagram(now, placed.To, nodecodec.Encode(nil, report, nil))
		}
		_, hedge, _ := l.director.NextHedge(now + time.Second)
		data := l.director.FromClient(now, &flow.Packet{Key: p.Key, Length: 1}, nil)
		owned := data.Action == flow.Forward && data.Request.Purpose == flow.PurposeDeliver
		if got := slices.Contains(events, "flow_refused"); got != c.refused || (hedge != nil) != c.hedged || owned != c.owned {
			t.Errorf("%v: refused %v, hedged %v, owned %v, want %+v; events %v", verdict, got, hedge != nil, owned, c, events)
		}
	}
}
