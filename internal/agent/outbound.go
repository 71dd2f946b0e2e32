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
	// outboundQueueLength is the number of datagrams that may wait to be sent.
	outboundQueueLength = 4096
	// heardQueueLength is the number of heard balancers that may wait to be recorded in the reply path.
	heardQueueLength = 256
	// heardInterval is the minimum time between two such records of one balancer.
	heardInterval = 50 * time.Millisecond
	// probeInterval is the time between two rounds of probes to silent balancers.
	probeInterval = 250 * time.Millisecond
	// packetBufferSize is the initial capacity of a packet buffer, in bytes. It is enough for the
	// largest packet that a balancer forwards.
	packetBufferSize = 2048
)

// outboundPacket is a packet for a caller, or a datagram with a fixed destination.
type outboundPacket struct {
	buffer *[]byte
	caller netip.AddrPort
	// destination is set for datagrams that do not go to a caller.
	destination netip.AddrPort
}

// outbound sends datagrams and chooses the balancer through which each packet returns to its caller.
// Its run method alone uses replyPath, rnd and scratch, since they are not safe for concurrent use.
type outbound struct {
	socket   *net.UDPConn
	service  uint32
	server   uint32
	revision func() uint64
	// deadServers returns the other agents of the service that this agent reports as silent.
	deadServers func() []uint32
	replyPath   *placement.ReplyPath
	rnd         *rand.Rand
	start       time.Time
	packets     chan outboundPacket
	heard       chan netip.AddrPort
	pool        sync.Pool
	metrics     *metrics
	scratch     []byte
}

func newOutbound(socket *net.UDPConn, self placement.Owner, revision func() uint64, deadServers func() []uint32, replyPath *placement.ReplyPath, rnd *rand.Rand, m *metrics) *outbound {
	return &outbound{
		socket:      socket,
		service:     self.Service,
		server:      self.Server,
		revision:    revision,
		deadServers: deadServers,
		replyPath:   replyPath,
		rnd:         rnd,
		start:       time.Now(),
		packets:     make(chan outboundPacket, outboundQueueLength),
		heard:       make(chan netip.AddrPort, heardQueueLength),
		pool:        sync.Pool{New: func() any { b := make([]byte, 0, packetBufferSize); return &b }},
		metrics:     m,
	}
}

// sendToCaller queues a packet for a caller. If the queue is full, the packet is dropped, as a network
// would do, and counted.
func (o *outbound) sendToCaller(payload []byte, caller netip.AddrPort) error {
	o.enqueue(payload, outboundPacket{caller: netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())})
	return nil
}

// sendTo queues a complete datagram, with its header, for another process of the system.
func (o *outbound) sendTo(datagram []byte, to netip.AddrPort) {
	o.enqueue(datagram, outboundPacket{destination: to})
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

// recordHeard queues the record that a datagram arrived from a balancer. A full queue drops it.
func (o *outbound) recordHeard(balancer netip.AddrPort) {
	select {
	case o.heard <- balancer:
	default:
		o.metrics.heardDrops.Add(1)
	}
}

// run sends the queued datagrams and probes silent balancers until ctx ends.
func (o *outbound) run(ctx context.Context) error {
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case balancer := <-o.heard:
			o.replyPath.RecordDatagram(o.now(), balancer)
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
	if p.destination.IsValid() {
		o.write(*p.buffer, p.destination)
		return
	}
	balancer, ok := o.replyPath.Pick(o.now(), o.rnd)
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
		Silent:   o.deadServers(),
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
	for _, balancer := range o.replyPath.Probes(o.now()) {
		o.scratch = datagram.Append(o.scratch[:0], &header, nil)
		o.write(o.scratch, balancer)
	}
}
