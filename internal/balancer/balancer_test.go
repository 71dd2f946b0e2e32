package balancer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/balancer"
	"github.com/bramleyrack/bramleyrack/internal/datagram"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

const (
	orders = 1
	photos = 2
	// failAfter ends a test that waits for a packet which never comes.
	failAfter = 20 * time.Second
)

var key = []byte("0123456789abcdef")

// fixedView is a view whose tree the test sets.
type fixedView struct {
	tree     atomic.Pointer[settings.Tree]
	observed chan uint64
}

func (v *fixedView) Current() *settings.Tree { return v.tree.Load() }

func (v *fixedView) Observe(revision uint64, _ string) { v.observed <- revision }

// received is a datagram at an agent, or a packet at a caller, which has no header.
type received struct {
	header  *bramleyv1.DatagramHeader
	payload []byte
	from    netip.AddrPort
}

// endpoint is a UDP socket of a test.
type endpoint struct {
	t    *testing.T
	conn *net.UDPConn
}

func newEndpoint(t *testing.T) *endpoint {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &endpoint{t: t, conn: conn}
}

func (e *endpoint) address() netip.AddrPort {
	return e.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (e *endpoint) send(b []byte, to netip.AddrPort) {
	if _, err := e.conn.WriteToUDPAddrPort(b, to); err != nil {
		e.t.Fatal(err)
	}
}

func (e *endpoint) receive() received {
	e.t.Helper()
	buffer := make([]byte, datagram.MaxDatagram)
	e.conn.SetReadDeadline(time.Now().Add(failAfter))
	n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		e.t.Fatal(err)
	}
	return received{payload: buffer[:n], from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
}

// receiveKind returns the next datagram of a kind and skips others.
func (e *endpoint) receiveKind(kind bramleyv1.DatagramKind) received {
	e.t.Helper()
	for {
		r := e.receive()
		r.header = &bramleyv1.DatagramHeader{}
		payload, err := datagram.Split(r.payload, r.header)
		if err != nil {
			e.t.Fatal(err)
		}
		if r.header.Kind == kind {
			r.payload = payload
			return r
		}
	}
}

func (e *endpoint) receiveForward() received {
	e.t.Helper()
	return e.receiveKind(bramleyv1.DatagramKind_DATAGRAM_KIND_FORWARD)
}

// bench is a balancer between one caller and the agents of two services.
type bench struct {
	t        *testing.T
	view     *fixedView
	balancer *balancer.Balancer
	codec    *placement.Codec
	agents   map[uint32]*endpoint
	caller   *endpoint
	liveness placement.LivenessConfig
	// peer is where every agent serves its peers.
	peer netip.AddrPort
	// events holds the health of agents as it changes.
	events chan string
}

// newBench starts a balancer. Servers 1 to 3 belong to orders, server 4 to photos.
func newBench(t *testing.T) *bench {
	return newBenchWith(t, placement.DefaultLivenessConfig(), netip.AddrPort{})
}

// newQuickBench starts a balancer that finds failures soon.
func newQuickBench(t *testing.T) *bench {
	return newBenchWith(t, quickLiveness(), netip.AddrPort{})
}

func newBenchWith(t *testing.T, liveness placement.LivenessConfig, peer netip.AddrPort) *bench {
	b := &bench{t: t, agents: map[uint32]*endpoint{}, caller: newEndpoint(t), liveness: liveness, peer: peer}
	b.events = make(chan string, 1024)
	b.codec, _ = placement.NewCodec(key, nil)
	for server := uint32(1); server <= 4; server++ {
		b.agents[server] = newEndpoint(t)
	}
	b.view = &fixedView{observed: make(chan uint64, 16)}
	b.view.tree.Store(b.tree(5, map[uint32][]uint32{orders: {1, 2, 3}, photos: {4}}))
	b.start()
	return b
}

func (b *bench) start() {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	opened := make(chan struct{}, 16)
	created, err := balancer.New(balancer.Config{
		View:        b.view,
		Codec:       b.codec,
		AgentListen: loopback,
		Liveness:    b.liveness,
		Event: func(op string, kv ...any) {
			switch op {
			case "service_received":
				opened <- struct{}{}
			case "agent_health":
				b.events <- fmt.Sprint(op, " ", kv[1], " ", kv[3])
			case "cut_off":
				b.events <- fmt.Sprint(op, " ", kv[0], " ", kv[1])
			}
		},
	})
	if err != nil {
		b.t.Fatal(err)
	}
	b.balancer = created
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- created.Run(ctx) }()
	b.t.Cleanup(func() {
		cancel()
		if err := <-stopped; err != nil {
			b.t.Error(err)
		}
	})
	<-opened
	<-opened
	for created.Ready() != nil {
		<-time.After(time.Millisecond)
	}
}

func (b *bench) tree(revision uint64, servers map[uint32][]uint32) *settings.Tree {
	tree := &settings.Tree{Revision: revision}
	for number := uint32(orders); number <= photos; number++ {
		service := settings.Service{Name: "service", Number: number, Address: netip.MustParseAddrPort("127.0.0.1:0")}
		for _, server := range servers[number] {
			service.Upstreams = append(service.Upstreams, settings.Upstream{
				Number:       server,
				AgentAddress: b.agents[server].address(),
				PeerAddress:  b.peer,
				Policy:       settings.DefaultPolicy(),
			})
		}
		tree.Services = append(tree.Services, service)
	}
	return tree
}

func (b *bench) address(service uint32) netip.AddrPort {
	address, ok := b.balancer.ServiceAddress(service)
	if !ok {
		b.t.Fatalf("service %d is not received", service)
	}
	return address
}

// known returns a packet of an established flow of an owner.
func (b *bench) known(owner placement.Owner) []byte {
	id := b.codec.Encode(owner, 1)
	return append(append([]byte{0x40}, id[:]...), "known"...)
}

func initial(id string) []byte {
	packet := []byte{0xc0, 0, 0, 0, 1, byte(len(id))}
	return append(append(packet, id...), make([]byte, 1200)...)
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestNewFlowReachesTheFirstRank(t *testing.T) {
	b := newBench(t)
	candidates := []placement.Candidate{{Number: 1, Weight: 1}, {Number: 2, Weight: 1}, {Number: 3, Weight: 1}}
	for _, id := range []string{"flow-one", "flow-two", "flow-three", "flow-four"} {
		ranks := placement.Rank(nil, placement.FlowHash([]byte(id)), "", candidates)
		b.caller.send(initial(id), b.address(orders))
		got := b.agents[ranks[0]].receiveForward()
		if got.header.Service != orders || got.header.Server != ranks[0] || got.header.Revision != 5 {
			t.Fatalf("header %v", got.header)
		}
		if len(got.header.Candidates) != 2 || got.header.Candidates[0] != ranks[1] || got.header.Candidates[1] != ranks[2] {
			t.Fatalf("candidates %v, want %v", got.header.Candidates, ranks[1:])
		}
		if caller, err := datagram.DecodeAddr(got.header.Caller); err != nil || caller != b.caller.address() {
			t.Fatalf("caller %v, %v", caller, err)
		}
		if at, err := datagram.DecodeAddr(got.header.Balancer); err != nil || at != b.balancer.AgentAddress() {
			t.Fatalf("balancer %v, %v", at, err)
		}
	}
}

func TestKnownFlowReachesItsOwnerAndBack(t *testing.T) {
	b := newBench(t)
	packet := b.known(placement.Owner{Service: orders, Server: 2})
	b.caller.send(packet, b.address(orders))
	got := b.agents[2].receiveForward()
	if string(got.payload) != string(packet) || got.from != b.balancer.AgentAddress() {
		t.Fatalf("got %x from %v", got.payload, got.from)
	}
	answer := &bramleyv1.DatagramHeader{
		Kind:    bramleyv1.DatagramKind_DATAGRAM_KIND_RETURN,
		Service: orders, Server: 2, Revision: 6, Caller: got.header.Caller,
	}
	b.agents[2].send(datagram.Append(nil, answer, []byte("answer")), b.balancer.AgentAddress())
	back := b.caller.receive()
	if string(back.payload) != "answer" || back.from != b.address(orders) {
		t.Fatalf("got %q from %v", back.payload, back.from)
	}
	if revision := <-b.view.observed; revision != 6 {
		t.Fatalf("observed revision %d", revision)
	}
}

// Neither direction may carry a packet across services, whatever its connection ID or header says.
func TestPacketsStayInTheirService(t *testing.T) {
	b := newBench(t)
	b.caller.send(b.known(placement.Owner{Service: orders, Server: 1}), b.address(photos))
	b.caller.send(b.known(placement.Owner{Service: photos, Server: 1}), b.address(photos))
	if got := b.agents[4].receiveForward(); got.header.Server != 4 {
		t.Fatalf("header %v", got.header)
	}
	if n := b.balancer.Counters()["route_other_service"]; n != 1 {
		t.Fatalf("%d packets of another service counted", n)
	}
	stray := &bramleyv1.DatagramHeader{
		Kind:    bramleyv1.DatagramKind_DATAGRAM_KIND_RETURN,
		Service: orders, Server: 1, Caller: datagram.EncodeAddr(b.caller.address()),
	}
	b.agents[4].send(datagram.Append(nil, stray, []byte("stray")), b.balancer.AgentAddress())
	stray.Service, stray.Server = photos, 4
	b.agents[4].send(datagram.Append(nil, stray, []byte("own")), b.balancer.AgentAddress())
	if got := b.caller.receive(); string(got.payload) != "own" {
		t.Fatalf("the caller got %q", got.payload)
	}
}

func TestPingIsAnswered(t *testing.T) {
	b := newBench(t)
	ping := &bramleyv1.DatagramHeader{Kind: bramleyv1.DatagramKind_DATAGRAM_KIND_PING, Service: orders, Server: 1, Probe: 77}
	b.agents[1].send(datagram.Append(nil, ping, nil), b.balancer.AgentAddress())
	if got := b.agents[1].receiveKind(bramleyv1.DatagramKind_DATAGRAM_KIND_PONG); got.header.Probe != 77 {
		t.Fatalf("header %v", got.header)
	}
}

// An upstream that the settings drop keeps its flows, until its address belongs to another service.
func TestRemovedUpstreamKeepsItsFlows(t *testing.T) {
	b := newBench(t)
	packet := b.known(placement.Owner{Service: orders, Server: 3})
	b.view.tree.Store(b.tree(6, map[uint32][]uint32{orders: {1, 2}, photos: {4}}))
	for {
		b.caller.send(packet, b.address(orders))
		if got := b.agents[3].receiveForward(); got.header.Revision == 6 {
			break
		}
	}
	b.agents[5] = b.agents[3]
	b.view.tree.Store(b.tree(7, map[uint32][]uint32{orders: {1}, photos: {4, 5}}))
	for {
		b.caller.send(packet, b.address(orders))
		b.caller.send(b.known(placement.Owner{Service: orders, Server: 1}), b.address(orders))
		got := b.agents[1].receiveForward()
		if got.header.Revision == 7 {
			break
		}
	}
	orphans := b.balancer.Counters()["route_orphan"]
	b.caller.send(packet, b.address(orders))
	for got := b.agents[1].receiveForward(); string(got.payload) != string(packet); {
		got = b.agents[1].receiveForward()
	}
	if b.balancer.Counters()["route_orphan"] <= orphans {
		t.Fatal("the packet did not go to a live agent for a reset")
	}
}
