// Package fabric is a stand-in for the network fabric before the balancers: it holds the address of
// each service, hands every packet of a caller to a balancer at random, and can drop, delay and cut.
//
// A balancer sees the fabric's socket for a caller and service as the caller, so that a return packet
// of any balancer reaches the real caller.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxDatagram is the largest datagram that the fabric carries, in bytes.
const maxDatagram = 2048

// socketBuffer is the kernel buffer of each socket, in bytes.
const socketBuffer = 1 << 20

// Service is one address that callers reach.
type Service struct {
	Name    string
	Address netip.AddrPort
}

// Faults are the switches of the fabric.
type Faults struct {
	// Drop is the share of packets lost in either direction.
	Drop float64 `json:"drop"`
	// DelayMilliseconds delays every packet in either direction.
	DelayMilliseconds int `json:"delay_ms"`
	// Cut are balancers to and from which nothing passes.
	Cut []netip.AddrPort `json:"cut"`
}

// Routes lists the balancers of each service.
type Routes map[string][]netip.AddrPort

// Counters counts packets since the start.
type Counters struct {
	Forwarded uint64 `json:"forwarded"`
	Returned  uint64 `json:"returned"`
	Dropped   uint64 `json:"dropped"`
	// Unrouted counts packets for which no balancer was known.
	Unrouted uint64 `json:"unrouted"`
	Callers  int64  `json:"callers"`
	// Silenced counts the caller paths that were silenced for good.
	Silenced uint64 `json:"silenced"`
}

// Fabric sprays packets over balancers.
type Fabric struct {
	seed     uint64
	routes   atomic.Pointer[Routes]
	faults   atomic.Pointer[Faults]
	recorder *Recorder

	forwarded, returned, dropped, unrouted, silenced atomic.Uint64
	callers                                          atomic.Int64

	mu    sync.Mutex
	links []*link
}

// New returns a fabric without balancers. The recorder may be nil.
func New(seed uint64, recorder *Recorder) *Fabric {
	f := &Fabric{seed: seed, recorder: recorder}
	f.SetRoutes(Routes{})
	f.SetFaults(Faults{})
	return f
}

// SetRoutes replaces the balancers of every service.
func (f *Fabric) SetRoutes(routes Routes) { f.routes.Store(&routes) }

// Routes returns the balancers of every service.
func (f *Fabric) Routes() Routes { return *f.routes.Load() }

// SetFaults sets every switch at once.
func (f *Fabric) SetFaults(faults Faults) { f.faults.Store(&faults) }

// Silence drops everything on the caller paths that exist now; later ones work.
func (f *Fabric) Silence() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		l.silent.Store(true)
	}
	n := len(f.links)
	f.silenced.Add(uint64(n))
	return n
}

// Counters returns the counts so far.
func (f *Fabric) Counters() Counters {
	return Counters{
		Forwarded: f.forwarded.Load(),
		Returned:  f.returned.Load(),
		Dropped:   f.dropped.Load(),
		Unrouted:  f.unrouted.Load(),
		Callers:   f.callers.Load(),
		Silenced:  f.silenced.Load(),
	}
}

// Run serves the services until the context ends.
func (f *Fabric) Run(ctx context.Context, services []Service) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, service := range services {
		conn, err := listen(service.Address)
		if err != nil {
			return err
		}
		front := &front{
			fabric:  f,
			service: service.Name,
			conn:    conn,
			random:  rand.New(rand.NewPCG(f.seed, uint64(i))),
			links:   make(map[netip.AddrPort]*link),
		}
		group.Go(func() error { return front.run(ctx) })
	}
	return group.Wait()
}

func (f *Fabric) add(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links = append(f.links, l)
	f.callers.Add(1)
}

// lost says whether the faults in force swallow a packet to or from a balancer.
func (f *Fabric) lost(random *rand.Rand, balancer netip.AddrPort, faults *Faults) bool {
	if faults.Drop > 0 && random.Float64() < faults.Drop {
		return true
	}
	for _, cut := range faults.Cut {
		if cut == balancer {
			return true
		}
	}
	return false
}

// send writes a datagram at once, or later when a delay is in force.
func send(conn *net.UDPConn, data []byte, to netip.AddrPort, faults *Faults) {
	if faults.DelayMilliseconds == 0 {
		_, _ = conn.WriteToUDPAddrPort(data, to) // A lost datagram is what a network may do.
		return
	}
	held := append([]byte(nil), data...)
	time.AfterFunc(time.Duration(faults.DelayMilliseconds)*time.Millisecond, func() {
		_, _ = conn.WriteToUDPAddrPort(held, to)
	})
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBuffer) // The kernel may grant less.
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}
