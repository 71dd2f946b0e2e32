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

// quickLiveness finds failures in tenths of a second, for tests over real sockets.
func quickLiveness() placement.LivenessConfig {
	c := placement.DefaultLivenessConfig()
	c.ProbeAfter = 100 * time.Millisecond
	c.ProbeInterval = 100 * time.Millisecond
	c.IdleProbes = 4
	c.DeadAfter = 500 * time.Millisecond
	c.GoneAfter = time.Second
	return c
}

// answerPings makes an agent answer until its socket or its pause channel is closed.
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

// await waits for an event and skips others.
func await(t *testing.T, events <-chan string, want string) {
	t.Helper()
	deadline := time.After(failAfter)
	for {
		select {
		case got := <-events:
			if got == want {
				return
			}
		case <-deadline:
			t.Fatalf("no event %q", want)
		}
	}
}

// flowOf returns the first packet of a new flow whose first rank is server.
func flowOf(server uint32) []byte {
	candidates := []placement.Candidate{{Number: 1, Weight: 1}, {Number: 2, Weight: 1}, {Number: 3, Weight: 1}}
	for i := 0; ; i++ {
		id := fmt.Sprintf("flow-%04d", i)
		if placement.Rank(nil, placement.FlowHash([]byte(id)), "", candidates)[0] == server {
			return initial(id)
		}
	}
}

// An agent that stops answering gets no new flow once it is silent, and its flows go to a live
// agent, which resets them, once it is gone.
func TestSilentAgentLosesNewFlowsThenItsOwn(t *testing.T) {
	b := newQuickBench(t)
	frozen := make(chan struct{})
	never := make(chan struct{})
	forwarded := map[uint32]chan received{}
	for server, agent := range b.agents {
		forwarded[server] = make(chan received, 1024)
		paused := never
		if server == 2 {
			paused = frozen
		}
		go answerPings(agent, paused, forwarded[server])
	}
	address := b.address(orders)
	b.caller.send(flowOf(2), address)
	<-forwarded[2]

	close(frozen)
	await(t, b.events, "agent_health 2 silent")
	got := awaitForward(t, func() { b.caller.send(flowOf(2), address) }, forwarded[1], forwarded[3])
	if got.header.Server == 2 {
		t.Fatal("a silent agent got a new flow")
	}
	await(t, b.events, "agent_health 2 gone")
	packet := b.known(placement.Owner{Service: orders, Server: 2})
	resend := func() { b.caller.send(packet, address) }
	if got := awaitForward(t, resend, forwarded[1], forwarded[3]); string(got.payload) != string(packet) {
		t.Fatalf("got %x", got.payload)
	}
}

// A balancer that has no probes left to find a silent agent by itself believes its peers.
func TestAgentThatItsPeersMissGetsNoNewFlow(t *testing.T) {
	liveness := quickLiveness()
	liveness.MaxProbes = 0
	b := newBenchWith(t, liveness, netip.AddrPort{})
	never := make(chan struct{})
	live := make(chan received, 1024)
	for _, server := range []uint32{1, 3} {
		go answerPings(b.agents[server], never, live)
	}
	report := datagram.Append(nil, &bramleyv1.DatagramHeader{
		Kind:    bramleyv1.DatagramKind_DATAGRAM_KIND_RETURN,
		Service: orders,
		Server:  1,
		Caller:  datagram.EncodeAddr(b.caller.address()),
		Silent:  []uint32{2},
	}, []byte("answer"))
	got := awaitForward(t, func() {
		b.agents[1].send(report, b.balancer.AgentAddress())
		b.caller.send(flowOf(2), b.address(orders))
	}, live, nil)
	if got.header.Server == 2 {
		t.Fatalf("forwarded to %d", got.header.Server)
	}
	await(t, b.events, "agent_health 2 silent")
}

// closedPort returns an address that refuses connections, and openPort one that accepts them.
func closedPort(t *testing.T) netip.AddrPort {
	listener := openPort(t)
	listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

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

// The flows of a silent agent go to a live one for a reset at once if its process does not run, and
// stay with it if it only pauses.
func TestRefusedConnectionTellsDeathFromPause(t *testing.T) {
	patient := quickLiveness()
	patient.GoneAfter = time.Hour
	open := openPort(t)
	paused := open.Addr().(*net.TCPAddr).AddrPort()
	for _, test := range []struct {
		name string
		peer netip.AddrPort
		dead bool
	}{{"dead", closedPort(t), true}, {"paused", paused, false}} {
		t.Run(test.name, func(t *testing.T) {
			b := newBenchWith(t, patient, test.peer)
			never := make(chan struct{})
			forwarded := make(chan received, 1024)
			for server, agent := range b.agents {
				if server != 2 {
					go answerPings(agent, never, forwarded)
				}
			}
			b.caller.send(flowOf(2), b.address(orders))
			packet := b.known(placement.Owner{Service: orders, Server: 2})
			if !test.dead {
				await(t, b.events, "agent_health 2 silent")
				acceptOne(t, open)
				b.caller.send(packet, b.address(orders))
				for string(b.agents[2].receiveForward().payload) != string(packet) {
				}
				return
			}
			await(t, b.events, "agent_health 2 gone")
			got := awaitForward(t, func() { b.caller.send(packet, b.address(orders)) }, forwarded, nil)
			if string(got.payload) != string(packet) || !got.header.OwnerRefused {
				t.Fatalf("got %v with %x", got.header, got.payload)
			}
		})
	}
}

// A balancer that hears no agent keeps every agent for live.
func TestCutOffBalancerCondemnsNoAgent(t *testing.T) {
	b := newQuickBench(t)
	cut := make(chan struct{})
	for _, agent := range b.agents {
		go answerPings(agent, cut, make(chan received, 1024))
	}
	b.caller.send(flowOf(1), b.address(orders))
	close(cut)
	await(t, b.events, "cut_off cut_off true")
	for {
		select {
		case got := <-b.events:
			t.Fatalf("event %q", got)
		case <-time.After(3 * quickLiveness().GoneAfter):
			return
		}
	}
}

// awaitForward sends, as a caller does until it is answered, and returns the first forwarded datagram.
func awaitForward(t *testing.T, send func(), first, second <-chan received) received {
	t.Helper()
	retransmit := time.NewTicker(100 * time.Millisecond)
	defer retransmit.Stop()
	deadline := time.After(failAfter)
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
