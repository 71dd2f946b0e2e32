package balancer_test

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/datagram"
	"github.com/bramleyrack/bramleyrack/placement"
)

// fastLiveness shortens failure detection to at most one second, for tests over real sockets.
func fastLiveness() placement.LivenessConfig {
	c := placement.DefaultLivenessConfig()
	c.ProbeAfter = 100 * time.Millisecond
	c.ProbeInterval = 100 * time.Millisecond
	c.IdleProbes = 4
	c.DeadAfter = 500 * time.Millisecond
	c.GoneAfter = time.Second
	return c
}

// answerPings runs an agent that answers pings and queues forwarded packets until its socket is
// closed. It ignores all datagrams once paused is closed.
func answerPings(e *endpoint, paused <-chan struct{}, forwarded chan<- received) {
	buffer := make([]byte, datagram.MaxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		select {
		case <-paused:
			continue
		default:
		}
		header := &bramleyv1.DatagramHeader{}
		payload, err := datagram.Split(buffer[:n], header)
		if err != nil {
			return
		}
		if header.Kind == bramleyv1.DatagramKind_DATAGRAM_KIND_FORWARD {
			forwarded <- received{header: header, payload: append([]byte(nil), payload...)}
			continue
		}
		header.Kind = bramleyv1.DatagramKind_DATAGRAM_KIND_PONG
		e.conn.WriteToUDPAddrPort(datagram.Append(nil, header, nil), from)
	}
}

// awaitEvent waits for an event and discards others.
func awaitEvent(t *testing.T, events <-chan string, want string) {
	t.Helper()
	deadline := time.After(testTimeout)
	for {
		select {
		case got := <-events:
			if got == want {
				return
			}
		case <-deadline:
			t.Fatalf("event %q did not occur", want)
		}
	}
}

// newFlowPacket returns the first packet of a flow for which server ranks first.
func newFlowPacket(server uint32) []byte {
	candidates := []placement.Candidate{{Number: 1, Weight: 1}, {Number: 2, Weight: 1}, {Number: 3, Weight: 1}}
	for i := 0; ; i++ {
		id := fmt.Sprintf("flow-%04d", i)
		if placement.Rank(nil, placement.FlowHash([]byte(id)), "", candidates)[0] == server {
			return initialPacket(id)
		}
	}
}

// An agent that stops answering gets no new flows once it is silent. Once it is gone, its flows go to
// a live agent, which resets them.
func TestSilentAgentGetsNoNewFlowsAndLosesItsOwnOnceGone(t *testing.T) {
	b := newFastFixture(t)
	pauseAgent := make(chan struct{})
	noPause := make(chan struct{})
	forwarded := map[uint32]chan received{}
	for server, agent := range b.agents {
		forwarded[server] = make(chan received, 1024)
		paused := noPause
		if server == 2 {
			paused = pauseAgent
		}
		go answerPings(agent, paused, forwarded[server])
	}
	address := b.address(ordersService)
	b.caller.send(newFlowPacket(2), address)
	<-forwarded[2]

	close(pauseAgent)
	awaitEvent(t, b.events, "agent_health 2 silent")
	got := awaitForward(t, func() { b.caller.send(newFlowPacket(2), address) }, forwarded[1], forwarded[3])
	if got.header.Server == 2 {
		t.Fatal("silent agent received a new flow")
	}
	awaitEvent(t, b.events, "agent_health 2 gone")
	packet := b.knownFlowPacket(placement.Owner{Service: ordersService, Server: 2})
	resend := func() { b.caller.send(packet, address) }
	if got := awaitForward(t, resend, forwarded[1], forwarded[3]); string(got.payload) != string(packet) {
		t.Fatalf("live agent received %x", got.payload)
	}
}

// A balancer whose probe limit keeps it from finding a silent agent relies on the reports of the
// agent's peers.
func TestAgentReportedSilentGetsNoNewFlow(t *testing.T) {
	liveness := fastLiveness()
	liveness.MaxProbes = 0
	b := newFixtureWith(t, liveness, netip.AddrPort{})
	noPause := make(chan struct{})
	live := make(chan received, 1024)
	for _, server := range []uint32{1, 3} {
		go answerPings(b.agents[server], noPause, live)
	}
	report := datagram.Append(nil, &bramleyv1.DatagramHeader{
		Kind:    bramleyv1.DatagramKind_DATAGRAM_KIND_RETURN,
		Service: ordersService,
		Server:  1,
		Caller:  datagram.EncodeAddr(b.caller.address()),
		Silent:  []uint32{2},
	}, []byte("answer"))
	got := awaitForward(t, func() {
		b.agents[1].send(report, b.balancer.AgentAddress())
		b.caller.send(newFlowPacket(2), b.address(ordersService))
	}, live, nil)
	if got.header.Server == 2 {
		t.Fatalf("first packet was forwarded to silent agent %d", got.header.Server)
	}
	awaitEvent(t, b.events, "agent_health 2 silent")
}

// closedPort returns an address that refuses connections.
func closedPort(t *testing.T) netip.AddrPort {
	listener := openPort(t)
	listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// openPort returns a listener on an address that accepts connections.
func openPort(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

func acceptOne(t *testing.T, listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
}

// If the process of a silent agent is not running, its flows go to a live agent for a reset without
// waiting for GoneAfter. If it is only paused, they stay with it.
func TestRefusedConnectionDistinguishesDeathFromPause(t *testing.T) {
	liveness := fastLiveness()
	liveness.GoneAfter = time.Hour
	open := openPort(t)
	paused := open.Addr().(*net.TCPAddr).AddrPort()
	for _, test := range []struct {
		name string
		peer netip.AddrPort
		dead bool
	}{{"dead", closedPort(t), true}, {"paused", paused, false}} {
		t.Run(test.name, func(t *testing.T) {
			b := newFixtureWith(t, liveness, test.peer)
			noPause := make(chan struct{})
			forwarded := make(chan received, 1024)
			for server, agent := range b.agents {
				if server != 2 {
					go answerPings(agent, noPause, forwarded)
				}
			}
			b.caller.send(newFlowPacket(2), b.address(ordersService))
			packet := b.knownFlowPacket(placement.Owner{Service: ordersService, Server: 2})
			if !test.dead {
				awaitEvent(t, b.events, "agent_health 2 silent")
				acceptOne(t, open)
				b.caller.send(packet, b.address(ordersService))
				for string(b.agents[2].receiveForward().payload) != string(packet) {
				}
				return
			}
			awaitEvent(t, b.events, "agent_health 2 gone")
			got := awaitForward(t, func() { b.caller.send(packet, b.address(ordersService)) }, forwarded, nil)
			if string(got.payload) != string(packet) || !got.header.OwnerRefused {
				t.Fatalf("live agent received header %v, payload %x", got.header, got.payload)
			}
		})
	}
}

// A balancer that hears from no agent is probably cut off itself, so it must consider every agent live.
func TestCutOffBalancerConsidersEveryAgentLive(t *testing.T) {
	b := newFastFixture(t)
	pauseAll := make(chan struct{})
	for _, agent := range b.agents {
		go answerPings(agent, pauseAll, make(chan received, 1024))
	}
	b.caller.send(newFlowPacket(1), b.address(ordersService))
	close(pauseAll)
	awaitEvent(t, b.events, "cut_off cut_off true")
	for {
		select {
		case got := <-b.events:
			t.Fatalf("unexpected event %q", got)
		case <-time.After(3 * fastLiveness().GoneAfter):
			return
		}
	}
}

// awaitForward calls send repeatedly, as a caller retransmits until it is answered, and returns the
// first forwarded datagram.
func awaitForward(t *testing.T, send func(), first, second <-chan received) received {
	t.Helper()
	retransmit := time.NewTicker(100 * time.Millisecond)
	defer retransmit.Stop()
	deadline := time.After(testTimeout)
	for {
		send()
		select {
		case got := <-first:
			return got
		case got := <-second:
			return got
		case <-retransmit.C:
		case <-deadline:
			t.Fatal("no datagram forwarded")
		}
	}
}
