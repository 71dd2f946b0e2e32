package fabric

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
)

// front holds the address of one service; its goroutine owns the map of callers.
type front struct {
	fabric  *Fabric
	service string
	conn    *net.UDPConn
	random  *rand.Rand
	links   map[netip.AddrPort]*link
}

// link is the path of one caller to one service.
type link struct {
	front  *front
	caller netip.AddrPort
	conn   *net.UDPConn
	silent atomic.Bool
}

func (f *front) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { f.conn.Close() })
	defer stop()
	defer f.close()
	buffer := make([]byte, maxDatagram)
	for {
		n, caller, err := f.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, syscall.ECONNREFUSED):
			continue
		case err != nil:
			return err
		}
		if err := f.forward(caller, buffer[:n]); err != nil {
			return err
		}
	}
}

func (f *front) close() {
	f.conn.Close()
	for _, l := range f.links {
		l.conn.Close()
	}
}

func (f *front) forward(caller netip.AddrPort, data []byte) error {
	l, err := f.link(caller)
	if err != nil {
		return err
	}
	balancers := f.fabric.Routes()[f.service]
	if len(balancers) == 0 {
		f.fabric.unrouted.Add(1)
		return nil
	}
	balancer := balancers[f.random.IntN(len(balancers))]
	faults := f.fabric.faults.Load()
	if l.silent.Load() || f.fabric.lost(f.random, balancer, faults) {
		f.fabric.dropped.Add(1)
		return nil
	}
	f.fabric.recorder.packet(f.service, caller, balancer, data)
	send(l.conn, data, balancer, faults)
	f.fabric.forwarded.Add(1)
	return nil
}

// link returns the path of a caller and makes it at the first packet.
func (f *front) link(caller netip.AddrPort) (*link, error) {
	if l := f.links[caller]; l != nil {
		return l, nil
	}
	conn, err := listen(netip.AddrPortFrom(caller.Addr().Unmap(), 0))
	if err != nil {
		return nil, err
	}
	l := &link{front: f, caller: caller, conn: conn}
	f.links[caller] = l
	f.fabric.add(l)
	random := rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
	go l.run(random)
	return l, nil
}

// run returns packets of any balancer to the caller until the socket is closed.
func (l *link) run(random *rand.Rand) {
	buffer := make([]byte, maxDatagram)
	fabric := l.front.fabric
	for {
		n, balancer, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		faults := fabric.faults.Load()
		source := netip.AddrPortFrom(balancer.Addr().Unmap(), balancer.Port())
		if l.silent.Load() || fabric.lost(random, source, faults) {
			fabric.dropped.Add(1)
			continue
		}
		send(l.front.conn, buffer[:n], l.caller, faults)
		fabric.returned.Add(1)
	}
}
