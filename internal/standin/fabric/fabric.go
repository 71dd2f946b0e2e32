// Package fabric is a stand-in for the network fabric in front of the balancers. It listens at the address of
// each service and forwards every packet of a caller to a random balancer. It can drop and delay packets, and cut
// balancers off.
//
// The fabric opens one socket for each pair of caller and service. To balancers the address of that socket is the
// address of the caller, so a packet that any balancer returns reaches the caller.
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

// maxDatagram is the largest datagram that the fabric forwards, in bytes.
const maxDatagram = 2048

// socketBuffer is the requested size of each socket's kernel buffers, in bytes.
const socketBuffer = 1 << 20

// Service is a service and the address at which callers reach it.
type Service struct {
	Name    string
	Address netip.AddrPort
}

// Faults are the faults that the fabric injects.
type Faults struct {
	// Drop is the share of packets that are dropped, in each direction.
	Drop float64 `json:"drop"`
	// DelayMilliseconds is the delay of every packet, in each direction.
	DelayMilliseconds int `json:"delay_ms"`
	// Cut lists the balancers that are cut off: no packet passes to or from them.
	Cut []netip.AddrPort `json:"cut"`
}

// Routes lists the balancers of each service.
type Routes map[string][]netip.AddrPort

// Counters counts packets since the start.
type Counters struct {
	Forwarded uint64 `json:"forwarded"`
	Returned  uint64 `json:"returned"`
	Dropped   uint64 `json:"dropped"`
	// Unrouted counts packets to services without a balancer.
	Unrouted uint64 `json:"unrouted"`
	// CallerPaths counts the caller paths, one for each pair of caller and service.
	CallerPaths int64 `json:"callers"`
	// Silenced counts the caller paths that Silence has silenced.
	Silenced uint64 `json:"silenced"`
}

// Fabric distributes the packets of callers over the balancers.
type Fabric struct {
	seed     uint64
	routes   atomic.Pointer[Routes]
	faults   atomic.Pointer[Faults]
	recorder *Recorder

	forwarded, returned, dropped, unrouted, silenced atomic.Uint64
	callerPaths                                      atomic.Int64

	mu    sync.Mutex
	paths []*callerPath
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

// SetFaults replaces all injected faults.
func (f *Fabric) SetFaults(faults Faults) { f.faults.Store(&faults) }

// Silence permanently drops all packets on the caller paths that exist now, and returns their number. Paths that
// are created later are not affected.
func (f *Fabric) Silence() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.paths {
		p.silenced.Store(true)
	}
	n := len(f.paths)
	f.silenced.Add(uint64(n))
	return n
}

// Counters returns the current counts.
func (f *Fabric) Counters() Counters {
	return Counters{
		Forwarded:   f.forwarded.Load(),
		Returned:    f.returned.Load(),
		Dropped:     f.dropped.Load(),
		Unrouted:    f.unrouted.Load(),
		CallerPaths: f.callerPaths.Load(),
		Silenced:    f.silenced.Load(),
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
		front := &frontend{
			fabric:  f,
			service: service.Name,
			conn:    conn,
			random:  rand.New(rand.NewPCG(f.seed, uint64(i))),
			paths:   make(map[netip.AddrPort]*callerPath),
		}
		group.Go(func() error { return front.run(ctx) })
	}
	return group.Wait()
}

func (f *Fabric) addPath(p *callerPath) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paths = append(f.paths, p)
	f.callerPaths.Add(1)
}

// drops reports whether the faults drop a packet to or from a balancer.
func (f *Fabric) drops(random *rand.Rand, balancer netip.AddrPort, faults *Faults) bool {
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

// send writes a datagram, after the injected delay if there is one.
func send(conn *net.UDPConn, data []byte, to netip.AddrPort, faults *Faults) {
	if faults.DelayMilliseconds == 0 {
		_, _ = conn.WriteToUDPAddrPort(data, to) // Networks may lose datagrams.
		return
	}
	copied := append([]byte(nil), data...)
	time.AfterFunc(time.Duration(faults.DelayMilliseconds)*time.Millisecond, func() {
		_, _ = conn.WriteToUDPAddrPort(copied, to)
	})
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBuffer) // The kernel may grant a smaller buffer.
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}
