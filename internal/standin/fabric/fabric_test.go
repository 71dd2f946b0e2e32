package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
)

// packetCount is large enough that each of two balancers receives some of them.
const packetCount = 400

// listenLoopback opens a UDP socket on a free port of the loopback address.
func listenLoopback(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func newFrontend(t *testing.T, f *Fabric) *frontend {
	conn, _ := listenLoopback(t)
	front := &frontend{
		fabric:  f,
		service: "orders",
		conn:    conn,
		random:  rand.New(rand.NewPCG(1, 1)),
		paths:   make(map[netip.AddrPort]*callerPath),
	}
	t.Cleanup(front.close)
	return front
}

// The packets of one caller are spread over the balancers, and an answer of a balancer reaches the caller from the
// address of the service.
func TestEveryBalancerGetsPacketsOfOneCaller(t *testing.T) {
	f := New(1, nil)
	_, first := listenLoopback(t)
	second, secondAddress := listenLoopback(t)
	f.SetRoutes(Routes{"orders": {first, secondAddress}})
	front := newFrontend(t, f)
	caller, callerAddress := listenLoopback(t)
	for range packetCount {
		if err := front.forward(callerAddress, []byte("request")); err != nil {
			t.Fatal(err)
		}
	}
	if n := f.Counters().Forwarded; n != packetCount {
		t.Fatalf("forwarded %d packets, want %d", n, packetCount)
	}
	buffer := make([]byte, maxDatagram)
	_, source, err := second.ReadFromUDPAddrPort(buffer)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := second.WriteToUDPAddrPort([]byte("answer"), source); err != nil {
		t.Fatal(err)
	}
	n, from, err := caller.ReadFromUDPAddrPort(buffer)
	if err != nil || string(buffer[:n]) != "answer" {
		t.Fatalf("caller got %q, %v", buffer[:n], err)
	}
	if from != front.conn.LocalAddr().(*net.UDPAddr).AddrPort() {
		t.Fatalf("answer came from %v instead of the address of the service", from)
	}
}

func TestCutBalancerGetsNothing(t *testing.T) {
	f := New(1, nil)
	_, balancer := listenLoopback(t)
	f.SetRoutes(Routes{"orders": {balancer}})
	f.SetFaults(Faults{Cut: []netip.AddrPort{balancer}})
	front := newFrontend(t, f)
	_, caller := listenLoopback(t)
	if err := front.forward(caller, []byte("request")); err != nil {
		t.Fatal(err)
	}
	if c := f.Counters(); c.Forwarded != 0 || c.Dropped != 1 {
		t.Fatalf("counters %+v", c)
	}
}

func TestSilenceSparesLaterCallers(t *testing.T) {
	f := New(1, nil)
	_, balancer := listenLoopback(t)
	f.SetRoutes(Routes{"orders": {balancer}})
	front := newFrontend(t, f)
	_, old := listenLoopback(t)
	_, later := listenLoopback(t)
	for _, caller := range []netip.AddrPort{old, later} {
		if err := front.forward(caller, []byte("request")); err != nil {
			t.Fatal(err)
		}
		if caller == old {
			f.Silence()
		}
	}
	if err := front.forward(old, []byte("request")); err != nil {
		t.Fatal(err)
	}
	if c := f.Counters(); c.Forwarded != 2 || c.Dropped != 1 {
		t.Fatalf("counters %+v", c)
	}
}

func TestRunStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f := New(1, nil)
	if err := f.Run(ctx, []Service{{Name: "orders", Address: netip.MustParseAddrPort("127.0.0.1:0")}}); err != nil {
		t.Fatal(err)
	}
}
