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
	ordersService = 1
	photosService = 2
	// testTimeout fails a test that waits for a packet that never arrives.
	testTimeout = 20 * time.Second
)

var connectionIDKey = []byte("0123456789abcdef")

// fixedView is a View that returns the settings that the test stores.
type fixedView struct {
	tree     atomic.Pointer[settings.Tree]
	observed chan uint64
}

func (v *fixedView) Current() *settings.Tree { return v.tree.Load() }

func (v *fixedView) Observe(revision uint64, _ string) { v.observed <- revision }

// received is a datagram received by an agent, or a packet received by a caller, which has no header.
type received struct {
	header  *bramleyv1.DatagramHeader
	payload []byte
	from    netip.AddrPort
}

// endpoint is the UDP socket of a simulated agent or caller.
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
	e.conn.SetReadDeadline(time.Now().Add(testTimeout))
	n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		e.t.Fatal(err)
	}
	return received{payload: buffer[:n], from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
}

// receiveKind returns the next datagram of the given kind and discards others.
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

// fixture runs a balancer between one caller and the agents of two services.
type fixture struct {
	t        *testing.T
	view     *fixedView
	balancer *balancer.Balancer
	codec    *placement.Codec
	agents   map[uint32]*endpoint
	caller   *endpoint
	liveness placement.LivenessConfig
	// peer is the peer address of every agent.
	peer netip.AddrPort
	// events receives the agent_health and cut_off events of the balancer.
	events chan string
}

// newFixture starts a balancer with the default liveness configuration. Servers 1 to 3 belong to
// ordersService and server 4 to photosService.
func newFixture(t *testing.T) *fixture {
	return newFixtureWith(t, placement.DefaultLivenessConfig(), netip.AddrPort{})
}

// newFastFixture starts a balancer that detects failures within about a second.
func newFastFixture(t *testing.T) *fixture {
	return newFixtureWith(t, fastLiveness(), netip.AddrPort{})
}

func newFixtureWith(t *testing.T, liveness placement.LivenessConfig, peer netip.AddrPort) *fixture {
	b := &fixture{t: t, agents: map[uint32]*endpoint{}, caller: newEndpoint(t), liveness: liveness, peer: peer}
	b.events = make(chan string, 1024)
	b.codec, _ = placement.NewCodec(connectionIDKey, nil)
	for server := uint32(1); server <= 4; server++ {
		b.agents[server] = newEndpoint(t)
	}
	b.view = &fixedView{observed: make(chan uint64, 16)}
	b.view.tree.Store(b.tree(5, map[uint32][]uint32{ordersService: {1, 2, 3}, photosService: {4}}))
	b.start()
	return b
}

func (b *fixture) start() {
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

func (b *fixture) tree(revision uint64, servers map[uint32][]uint32) *settings.Tree {
	tree := &settings.Tree{Revision: revision}
	for number := uint32(ordersService); number <= photosService; number++ {
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

func (b *fixture) address(service uint32) netip.AddrPort {
	address, ok := b.balancer.ServiceAddress(service)
	if !ok {
		b.t.Fatalf("no caller-facing socket is open for service %d", service)
	}
	return address
}

// knownFlowPacket returns a short-header packet of an established flow of owner.
func (b *fixture) knownFlowPacket(owner placement.Owner) []byte {
	id := b.codec.Encode(owner, 1)
	return append(append([]byte{0x40}, id[:]...), "known"...)
}

// initialPacket returns the first packet of a flow, with id as its destination connection ID.
func initialPacket(id string) []byte {
	packet := []byte{0xc0, 0, 0, 0, 1, byte(len(id))}
	return append(append(packet, id...), make([]byte, 1200)...)
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestNewFlowReachesFirstRank(t *testing.T) {
	b := newFixture(t)
	candidates := []placement.Candidate{{Number: 1, Weight: 1}, {Number: 2, Weight: 1}, {Number: 3, Weight: 1}}
	for _, id := range []string{"flow-one", "flow-two", "flow-three", "flow-four"} {
		ranks := placement.Rank(nil, placement.FlowHash([]byte(id)), "", candidates)
		b.caller.send(initialPacket(id), b.address(ordersService))
		got := b.agents[ranks[0]].receiveForward()
		if got.header.Service != ordersService || got.header.Server != ranks[0] || got.header.Revision != 5 {
			t.Fatalf("unexpected header %v", got.header)
		}
		if len(got.header.Candidates) != 2 || got.header.Candidates[0] != ranks[1] || got.header.Candidates[1] != ranks[2] {
			t.Fatalf("got candidates %v, want %v", got.header.Candidates, ranks[1:])
		}
		if caller, err := datagram.DecodeAddr(got.header.Caller); err != nil || caller != b.caller.address() {
			t.Fatalf("got caller %v, error %v", caller, err)
		}
		if at, err := datagram.DecodeAddr(got.header.Balancer); err != nil || at != b.balancer.AgentAddress() {
			t.Fatalf("got balancer address %v, error %v", at, err)
		}
	}
}

func TestKnownFlowReachesItsOwnerAndBack(t *testing.T) {
	b := newFixture(t)
	packet := b.knownFlowPacket(placement.Owner{Service: ordersService, Server: 2})
	b.caller.send(packet, b.address(ordersService))
	got := b.agents[2].receiveForward()
	if string(got.payload) != string(packet) || got.from != b.balancer.AgentAddress() {
		t.Fatalf("agent received %x from %v", got.payload, got.from)
	}
	answer := &bramleyv1.DatagramHeader{
		Kind:    bramleyv1.DatagramKind_DATAGRAM_KIND_RETURN,
		Service: ordersService, Server: 2, Revision: 6, Caller: got.header.Caller,
	}
	b.agents[2].send(datagram.Append(nil, answer, []byte("answer")), b.balancer.AgentAddress())
	back := b.caller.receive()
	if string(back.payload) != "answer" || back.from != b.address(ordersService) {
		t.Fatalf("caller received %q from %v", back.payload, back.from)
	}
	if revision := <-b.view.observed; revision != 6 {
		t.Fatalf("observed revision %d, want 6", revision)
	}
}

// In neither direction may a packet cross from one service to another, whatever service its
// connection ID or header names.
func TestPacketsStayInTheirService(t *testing.T) {
	b := newFixture(t)
	b.caller.send(b.knownFlowPacket(placement.Owner{Service: ordersService, Server: 1}), b.address(photosService))
	b.caller.send(b.knownFlowPacket(placement.Owner{Service: photosService, Server: 1}), b.address(photosService))
	if got := b.agents[4].receiveForward(); got.header.Server != 4 {
		t.Fatalf("unexpected header %v", got.header)
	}
	if n := b.balancer.Counters()["route_other_service"]; n != 1 {
		t.Fatalf("route_other_service is %d, want 1", n)
	}
	stray := &bramleyv1.DatagramHeader{
		Kind:    bramleyv1.DatagramKind_DATAGRAM_KIND_RETURN,
		Service: ordersService, Server: 1, Caller: datagram.EncodeAddr(b.caller.address()),
	}
	b.agents[4].send(datagram.Append(nil, stray, []byte("stray")), b.balancer.AgentAddress())
	stray.Service, stray.Server = photosService, 4
	b.agents[4].send(datagram.Append(nil, stray, []byte("own")), b.balancer.AgentAddress())
	if got := b.caller.receive(); string(got.payload) != "own" {
		t.Fatalf("caller received %q, want the packet of its own service", got.payload)
	}
}

func TestPingIsAnswered(t *testing.T) {
	b := newFixture(t)
	ping := &bramleyv1.DatagramHeader{Kind: bramleyv1.DatagramKind_DATAGRAM_KIND_PING, Service: ordersService, Server: 1, Probe: 77}
	b.agents[1].send(datagram.Append(nil, ping, nil), b.balancer.AgentAddress())
	if got := b.agents[1].receiveKind(bramleyv1.DatagramKind_DATAGRAM_KIND_PONG); got.header.Probe != 77 {
		t.Fatalf("unexpected header %v", got.header)
	}
}

// An upstream that is removed from the settings keeps its flows until its address belongs to another
// service. Then a packet of such a flow must go to a live agent, which resets the flow.
func TestRemovedUpstreamKeepsItsFlows(t *testing.T) {
	b := newFixture(t)
	packet := b.knownFlowPacket(placement.Owner{Service: ordersService, Server: 3})
	b.view.tree.Store(b.tree(6, map[uint32][]uint32{ordersService: {1, 2}, photosService: {4}}))
	for {
		b.caller.send(packet, b.address(ordersService))
		if got := b.agents[3].receiveForward(); got.header.Revision == 6 {
			break
		}
	}
	b.agents[5] = b.agents[3]
	b.view.tree.Store(b.tree(7, map[uint32][]uint32{ordersService: {1}, photosService: {4, 5}}))
	for {
		b.caller.send(packet, b.address(ordersService))
		b.caller.send(b.knownFlowPacket(placement.Owner{Service: ordersService, Server: 1}), b.address(ordersService))
		got := b.agents[1].receiveForward()
		if got.header.Revision == 7 {
			break
		}
	}
	orphans := b.balancer.Counters()["route_orphan"]
	b.caller.send(packet, b.address(ordersService))
	for got := b.agents[1].receiveForward(); string(got.payload) != string(packet); {
		got = b.agents[1].receiveForward()
	}
	if b.balancer.Counters()["route_orphan"] <= orphans {
		t.Fatal("packet of the removed upstream was not counted as orphaned")
	}
}
