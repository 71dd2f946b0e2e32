package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
)

const packets = 400

// socket opens a UDP socket on a free port of the loopback address.
func socket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func newFront(t *testing.T, f *Fabric) *front {
	conn, _ := socket(t)
	front := &front{
		fabric:  f,
		service: "orders",
		conn:    conn,
		random:  rand.New(rand.NewPCG(1, 1)),
		links:   make(map[netip.AddrPort]*link),
	}
	t.Cleanup(front.close)
	return front
}

func TestEveryBalancerGetsPacketsOfOneCaller(t *testing.T) {
	f := New(1, nil)
	_, first := socket(t)
	second, secondAddress := socket(t)
	f.SetRoutes(Routes{"orders": {first, secondAddress}})
	front := newFront(t, f)
	caller, callerAddress := socket(t)
	for range packets {
		if err := front.forward(callerAddress, []byte("request")); err != nil {
			t.Fatal(err)
		}
	}
	if n := f.Counters().Forwarded; n != packets {
		t.Fatalf("forwarded %d packets, want %d", n, packets)
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
		t.Fatalf("answer came from %v and not from the address of the service", from)
	}
}

func TestCutBalancerGetsNothing(t *testing.T) {
	f := New(1, nil)
	_, balancer := socket(t)
	f.SetRoutes(Routes{"orders": {balancer}})
	f.SetFaults(Faults{Cut: []netip.AddrPort{balancer}})
	front := newFront(t, f)
	_, caller := socket(t)
	if err := front.forward(caller, []byte("request")); err != nil {
		t.Fatal(err)
	}
	if c := f.Counters(); c.Forwarded != 0 || c.Dropped != 1 {
		t.Fatalf("counters %+v", c)
	}
}

func TestSilenceSparesLaterCallers(t *testing.T) {
	f := New(1, nil)
	_, balancer := socket(t)
	f.SetRoutes(Routes{"orders": {balancer}})
	front := newFront(t, f)
	_, old := socket(t)
	_, later := socket(t)
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
