package balancer_test

import (
	"fmt"
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
	await(t, b.events, "agent-health 2 silent")
	b.caller.send(flowOf(2), address)
	got := awaitForward(t, forwarded[1], forwarded[3])
	if got.header.Server == 2 {
		t.Fatal("a silent agent got a new flow")
	}
	await(t, b.events, "agent-health 2 gone")
	packet := b.known(placement.Owner{Service: orders, Server: 2})
	b.caller.send(packet, address)
	if got := awaitForward(t, forwarded[1], forwarded[3]); string(got.payload) != string(packet) {
		t.Fatalf("got %x", got.payload)
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
	await(t, b.events, "cut-off cut_off true")
	for {
		select {
		case got := <-b.events:
			t.Fatalf("event %q", got)
		case <-time.After(3 * quickLiveness().GoneAfter):
			return
		}
	}
}

func awaitForward(t *testing.T, first, second <-chan received) received {
	t.Helper()
	select {
	case got := <-first:
		return got
	case got := <-second:
		return got
	case <-time.After(failAfter):
		t.Fatal("no datagram forwarded")
		return received{}
	}
}
