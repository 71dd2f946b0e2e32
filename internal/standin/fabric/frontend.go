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

// frontend serves the address of one service. Only its goroutine accesses paths.
type frontend struct {
	fabric  *Fabric
	service string
	conn    *net.UDPConn
	random  *rand.Rand
	paths   map[netip.AddrPort]*callerPath
}

// callerPath is the path between one caller and one service. Balancers see the address of conn as the caller's.
type callerPath struct {
	frontend *frontend
	caller   netip.AddrPort
	conn     *net.UDPConn
	silenced atomic.Bool
}

func (f *frontend) run(ctx context.Context) error {
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

func (f *frontend) close() {
	f.conn.Close()
	for _, p := range f.paths {
		p.conn.Close()
	}
}

func (f *frontend) forward(caller netip.AddrPort, data []byte) error {
	p, err := f.path(caller)
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
	if p.silenced.Load() || f.fabric.drops(f.random, balancer, faults) {
		f.fabric.dropped.Add(1)
		return nil
	}
	f.fabric.recorder.record(f.service, caller, balancer, data)
	send(p.conn, data, balancer, faults)
	f.fabric.forwarded.Add(1)
	return nil
}

// path returns the path of a caller. It creates the path on the first packet.
func (f *frontend) path(caller netip.AddrPort) (*callerPath, error) {
	if p := f.paths[caller]; p != nil {
		return p, nil
	}
	conn, err := listen(netip.AddrPortFrom(caller.Addr().Unmap(), 0))
	if err != nil {
		return nil, err
	}
	p := &callerPath{frontend: f, caller: caller, conn: conn}
	f.paths[caller] = p
	f.fabric.addPath(p)
	random := rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
	go p.run(random)
	return p, nil
}

// run returns the packets of all balancers to the caller until the socket is closed.
func (p *callerPath) run(random *rand.Rand) {
	buffer := make([]byte, maxDatagram)
	fabric := p.frontend.fabric
	for {
		n, balancer, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		faults := fabric.faults.Load()
		source := netip.AddrPortFrom(balancer.Addr().Unmap(), balancer.Port())
		if p.silenced.Load() || fabric.drops(random, source, faults) {
			fabric.dropped.Add(1)
			continue
		}
		send(p.frontend.conn, buffer[:n], p.caller, faults)
		fabric.returned.Add(1)
	}
}
