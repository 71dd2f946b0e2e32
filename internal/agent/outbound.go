package agent

import (
	"context"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/datagram"
	"github.com/bramleyrack/bramleyrack/placement"
)

const (
	// outboundLength is how many datagrams may wait for the socket.
	outboundLength = 4096
	// heardLength is how many sightings of balancers may wait for the sender.
	heardLength = 256
	// heardInterval is the least time between two reported sightings of one balancer.
	heardInterval = 50 * time.Millisecond
	// probeInterval is the time between two rounds of probes to balancers that have fallen silent.
	probeInterval = 250 * time.Millisecond
	// maxDatagram is the largest datagram that is read or sent, in bytes.
	maxDatagram = 2048
)

// outboundPacket is a caller's answer, or a datagram with a fixed destination.
type outboundPacket struct {
	buffer *[]byte
	caller netip.AddrPort
	// to is set for datagrams that do not go to a caller.
	to netip.AddrPort
}

// outbound owns the choice of the balancer that each answer returns through.
type outbound struct {
	socket   *net.UDPConn
	service  uint32
	server   uint32
	revision func() uint64
	// silent returns the other agents of the service that this one misses.
	silent  func() []uint32
	path    *placement.ReplyPath
	rnd     *rand.Rand
	start   time.Time
	packets chan outboundPacket
	heard   chan netip.AddrPort
	pool    sync.Pool
	metrics *metrics
	scratch []byte
}

func newOutbound(socket *net.UDPConn, self placement.Owner, revision func() uint64, silent func() []uint32, path *placement.ReplyPath, rnd *rand.Rand, m *metrics) *outbound {
	return &outbound{
		socket:   socket,
		service:  self.Service,
		server:   self.Server,
		revision: revision,
		silent:   silent,
		path:     path,
		rnd:      rnd,
		start:    time.Now(),
		packets:  make(chan outboundPacket, outboundLength),
		heard:    make(chan netip.AddrPort, heardLength),
		pool:     sync.Pool{New: func() any { b := make([]byte, 0, maxDatagram); return &b }},
		metrics:  m,
	}
}

// sendToCaller queues a packet; a full queue drops it, as a network would.
func (o *outbound) sendToCaller(payload []byte, caller netip.AddrPort) error {
	o.enqueue(payload, outboundPacket{caller: netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())})
	return nil
}

// sendTo queues a finished datagram for another process of the system.
func (o *outbound) sendTo(datagram []byte, to netip.AddrPort) {
	o.enqueue(datagram, outboundPacket{to: to})
}

func (o *outbound) enqueue(payload []byte, p outboundPacket) {
	buffer := o.pool.Get().(*[]byte)
	*buffer = append((*buffer)[:0], payload...)
	p.buffer = buffer
	select {
	case o.packets <- p:
	default:
		o.pool.Put(buffer)
		o.metrics.outboundDrops.Add(1)
	}
}

// sawBalancer reports that a balancer delivered a datagram.
func (o *outbound) sawBalancer(balancer netip.AddrPort) {
	select {
	case o.heard <- balancer:
	default:
		o.metrics.heardDrops.Add(1)
	}
}

// run sends queued datagrams and probes silent balancers until ctx ends.
func (o *outbound) run(ctx context.Context) error {
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case balancer := <-o.heard:
			o.path.RecordDatagram(o.now(), balancer)
		case p := <-o.packets:
			o.send(p)
		case <-probe.C:
			o.probe()
		}
	}
}

func (o *outbound) now() time.Duration { return time.Since(o.start) }

func (o *outbound) send(p outboundPacket) {
	defer o.pool.Put(p.buffer)
	if p.to.IsValid() {
		o.write(*p.buffer, p.to)
		return
	}
	balancer, ok := o.path.Pick(o.now(), o.rnd)
	if !ok {
		o.metrics.noBalancer.Add(1)
		return
	}
	header := bramleyv1.DatagramHeader{
		Kind:     bramleyv1.DatagramKind_DATAGRAM_KIND_RETURN,
		Service:  o.service,
		Server:   o.server,
		Revision: o.revision(),
		Caller:   datagram.EncodeAddr(p.caller),
		Silent:   o.silent(),
	}
	o.scratch = datagram.Append(o.scratch[:0], &header, *p.buffer)
	o.write(o.scratch, balancer)
}

func (o *outbound) write(b []byte, to netip.AddrPort) {
	if _, err := o.socket.WriteToUDPAddrPort(b, to); err != nil {
		o.metrics.sendErrors.Add(1)
	}
}

func (o *outbound) probe() {
	header := bramleyv1.DatagramHeader{
		Kind:     bramleyv1.DatagramKind_DATAGRAM_KIND_PING,
		Service:  o.service,
		Server:   o.server,
		Revision: o.revision(),
	}
	for _, balancer := range o.path.Probes(o.now()) {
		o.scratch = datagram.Append(o.scratch[:0], &header, nil)
		o.write(o.scratch, balancer)
	}
}
