package nodecodec_test

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/frame"
	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
	"github.com/bramleyrack/bramleyrack/registry"
)

const now = time.Hour

func exampleRequest(remaining int) flow.Request {
	r := flow.Request{
		Purpose: flow.PurposeSearch, Service: flow.ServiceHash("orders"), Version: 1 << 40, Best: flow.Offer{Agent: flow.IP{10, 3, 2, 1}, Wait: 43 * time.Millisecond, Suspect: true}, Final: true, SearchID: 1 << 40, Changed: 1 << 40, Wide: true,
		Balancer: flow.IP{10, 1, 2, 3},
	}
	for n := range remaining {
		r.Remaining = append(r.Remaining, flow.IP{10, 2, byte(n >> 8), byte(n)})
	}
	return r
}

func TestRequestRoundTrip(t *testing.T) {
	var sent, received nodev1.Header
	for _, remaining := range []int{0, 7, 3} {
		want := exampleRequest(remaining)
		nodecodec.Clear(&sent)
		nodecodec.PutRequest(&sent, &want)
		nodecodec.PutAge(&sent, 1500*time.Millisecond)
		packet, err := nodecodec.Decode(nodecodec.Encode(nil, &sent, []byte("packet")), &received)
		if err != nil || string(packet) != "packet" {
			t.Fatalf("decoded packet %q, error %v", packet, err)
		}
		if age := nodecodec.Age(&received); age != 1500*time.Millisecond {
			t.Fatalf("got the age %v", age)
		}
		got := nodecodec.Request(&received, nil)
		if !slices.Equal(got.Remaining, want.Remaining) {
			t.Fatalf("got %v, want %v", got.Remaining, want.Remaining)
		}
		got.Remaining, want.Remaining = nil, nil
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}
}

func TestHeaderWithLongestListFits(t *testing.T) {
	config := flow.DefaultDirectorConfig("")
	r := exampleRequest(max(config.ChainLength, config.MaxAlternatives))
	var h nodev1.Header
	nodecodec.PutRequest(&h, &r)
	if size := h.SizeVT(); size > frame.MaxHeader {
		t.Fatalf("the header takes %d bytes, Split accepts at most %d", size, frame.MaxHeader)
	}
}

func TestReportRoundTrip(t *testing.T) {
	key := flow.Key{
		Client:  flow.EndpointOf(netip.MustParseAddrPort("100.64.0.7:40001")),
		Service: flow.EndpointOf(netip.MustParseAddrPort("198.18.0.1:443")),
	}
	status := flow.AgentStatus{From: flow.IP{10, 0, 0, 1}, Process: 9, Accepting: true, Busy: 3, Slots: 5, Flows: 70, ServiceTime: 43 * time.Millisecond, FailureRate: 0.25, ColdRate: 10.5, Work: 1.5, Speed: 0.5, Service: 77, ServerPort: 8080, RouteTimes: flow.RouteTimes{{Key: 7, Time: 19 * time.Millisecond}, {Key: 1 << 31, Time: 25 * time.Millisecond}}}
	freshness := registry.Freshness{Revision: registry.NewRevision(3, 8), Changed: 1<<64 - 1, ConfigurationVersion: 1 << 40, Confirmed: now - 250*time.Millisecond, ContinuousSince: now - time.Minute, Interrupted: true, Reader: 5, RoutesKnownSince: now - 20*time.Second}
	status.View = freshness
	var sent, received nodev1.Header
	nodecodec.PutKey(&sent, key)
	nodecodec.PutStatus(&sent, status)
	nodecodec.PutFreshness(&sent, now, freshness)
	if _, err := nodecodec.Decode(nodecodec.Encode(nil, &sent, nil), &received); err != nil {
		t.Fatal(err)
	}
	if got := nodecodec.Key(&received); got != key {
		t.Errorf("got key %v", got)
	}
	if got := nodecodec.Status(&received, now, status.From); got != status {
		t.Errorf("got status %+v", got)
	}
	if got := nodecodec.Freshness(&received, now); got != freshness {
		t.Errorf("got freshness %+v", got)
	}
}

// TestLongAgeDoesNotWrap covers a store that has not answered for 60 days. The age takes 32 bits in milliseconds.
func TestLongAgeDoesNotWrap(t *testing.T) {
	const now = 100 * 24 * time.Hour
	var h nodev1.Header
	nodecodec.PutFreshness(&h, now, registry.Freshness{Revision: 1, Confirmed: now - 60*24*time.Hour})
	if got := now - nodecodec.Freshness(&h, now).Confirmed; got < 49*24*time.Hour {
		t.Fatalf("a confirmation 60 days ago is %v old after transmission", got)
	}
}

func TestDeltaRoundTrip(t *testing.T) {
	want := registry.Delta{
		From:      registry.NewRevision(65535, 3),
		Freshness: registry.Freshness{Revision: registry.NewRevision(65535, 8), Changed: registry.NewRevision(65535, 7), ConfigurationVersion: 12, Confirmed: now - time.Second, ContinuousSince: now - time.Minute, Reader: 5, RoutesKnownSince: now - 30*time.Second},
		Former:    []registry.FormerShare{{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "b", Until: now - 10*time.Second}},
		Configuration: &registry.Configuration{Version: 12, Revision: 77, IdleTimeout: 15 * time.Second, Routes: []registry.Route{{
			Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []registry.Share{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}},
			Repeatable: true, Target: 200 * time.Millisecond, Timeout: 4 * time.Second, Priority: 2,
		}}, Services: map[string]registry.Service{"a": {ColdStart: 7500 * time.Millisecond, ColdRate: 12.5}, "b": {}}},
		Upstreams: []registry.Upstream{
			{ID: "x", Service: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Place: "north", Slots: 5, Incarnation: 7, Sequence: 9, Created: registry.NewRevision(65535, 4)},
			{ID: "y", Service: "b", Address: netip.MustParseAddrPort("10.0.0.2:80"), Place: "south", Slots: 2, Draining: true, WarmAt: now + time.Second},
		},
		Lapsed:  []bool{false, true},
		Removed: []string{"z"},
		Evacuations: []registry.Evacuation{
			{Place: "north", Revision: registry.NewRevision(65535, 5), Started: now - 3*time.Second},
			{Place: "south", Revision: registry.NewRevision(65534, 9), Ended: true},
			// The request is older than the process, whose clock started at zero.
			{Place: "west", Revision: 4, Started: -time.Minute},
		},
	}
	encoded, err := nodecodec.EncodeDelta(now, want).MarshalVT()
	if err != nil {
		t.Fatal(err)
	}
	var message nodev1.View
	if err := message.UnmarshalVT(encoded); err != nil {
		t.Fatal(err)
	}
	if got := nodecodec.DecodeDelta(now, &message); !reflect.DeepEqual(got, want) {
		t.Fatalf("got  %+v\nwant %+v", got, want)
	}
}

// TestStartOfAnEvacuationIsNotLost guards against a new process that takes an old evacuation for one that has just begun,
// or one that begins when its clock starts for one of unknown age.
func TestStartOfAnEvacuationIsNotLost(t *testing.T) {
	sent := registry.Delta{Evacuations: []registry.Evacuation{{Place: "north", Revision: 5, Started: now - time.Minute}}}
	for received, want := range map[time.Duration]time.Duration{100 * time.Millisecond: 100*time.Millisecond - time.Minute, time.Minute: 1} {
		if got := nodecodec.DecodeDelta(received, nodecodec.EncodeDelta(now, sent)).Evacuations[0].Started; got != want {
			t.Errorf("received at %v: started at %v, want %v", received, got, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	var h nodev1.Header
	r := exampleRequest(3)
	nodecodec.PutRequest(&h, &r)
	f.Add(nodecodec.Encode(nil, &h, []byte("packet")))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var h nodev1.Header
		packet, err := nodecodec.Decode(b, &h)
		if err != nil {
			return
		}
		if len(packet) > len(b) {
			t.Fatal("the packet is longer than the datagram")
		}
		nodecodec.Request(&h, nil)
		nodecodec.Key(&h)
		nodecodec.Freshness(&h, now)
		nodecodec.Status(&h, now, flow.IP{})
		nodecodec.PeerStats(&h)
	})
}

func BenchmarkCarry(b *testing.B) {
	var sent, received nodev1.Header
	r := exampleRequest(6)
	packet := make([]byte, 1200)
	buffer := make([]byte, 0, nodecodec.MaxDatagram)
	var list []flow.IP
	b.ReportAllocs()
	for b.Loop() {
		nodecodec.Clear(&sent)
		nodecodec.PutRequest(&sent, &r)
		buffer = nodecodec.Encode(buffer[:0], &sent, packet)
		if _, err := nodecodec.Decode(buffer, &received); err != nil {
			b.Fatal(err)
		}
		list = nodecodec.Request(&received, list).Remaining
	}
}
