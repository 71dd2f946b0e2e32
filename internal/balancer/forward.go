package balancer

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/datagram"
	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/internal/udp"
	"github.com/bramleyrack/bramleyrack/placement"
)

// forwarder carries the packets of callers of one service to agents.
type forwarder struct {
	service uint32
	socket  *udp.Socket
	agents  *udp.Socket
	table   *atomic.Pointer[routing.Table]
	router  *routing.Router
	header  bramleyv1.DatagramHeader
	caller  []byte
	writer  *udp.Writer
	batch   int
	counts  *counters
	placed  func(start, end time.Time, flow uint64, service, server uint32)
}

func newForwarder(b *Balancer, service uint32, s *udp.Socket) *forwarder {
	return &forwarder{
		service: service,
		socket:  s,
		agents:  b.agents,
		table:   &b.table,
		router:  routing.NewRouter(b.config.Codec),
		header: bramleyv1.DatagramHeader{
			Kind:     bramleyv1.DatagramKind_DATAGRAM_KIND_FORWARD,
			Service:  service,
			Balancer: datagram.EncodeAddr(b.agents.LocalAddr()),
		},
		writer: udp.NewWriter(b.config.BatchSize, datagram.MaxDatagram),
		batch:  b.config.BatchSize,
		counts: b.counts,
		placed: b.config.OnPlaced,
	}
}

// run forwards until the socket is closed.
func (f *forwarder) run() error {
	messages := udp.NewMessages(f.batch, datagram.MaxDatagram)
	for {
		n, err := f.socket.ReadBatch(messages)
		if err != nil {
			return err
		}
		f.forward(messages[:n])
	}
}

func (f *forwarder) forward(messages []ipv4.Message) {
	t := f.table.Load()
	s := t.Service(f.service)
	if s == nil {
		f.counts.routes[routing.KindNoAgent].Add(uint64(len(messages)))
		return
	}
	f.header.Revision = t.Revision
	for i := range messages {
		f.forwardOne(s, &messages[i])
	}
	f.writer.Flush(f.agents)
	f.counts.takeFailed(f.writer)
}

func (f *forwarder) forwardOne(s *routing.Service, m *ipv4.Message) {
	udp, ok := m.Addr.(*net.UDPAddr)
	if !ok || m.N > datagram.MaxPacket {
		f.counts.routes[routing.KindMalformed].Add(1)
		return
	}
	packet := m.Buffers[0][:m.N]
	caller := unmapped(udp.AddrPort())
	r := f.route(s, packet, caller)
	f.counts.routes[r.Kind].Add(1)
	if r.Agent == nil {
		return
	}
	f.caller = datagram.AppendAddr(f.caller[:0], caller)
	f.header.Caller = f.caller
	f.header.Server = r.Agent.Server
	f.header.Candidates = r.Candidates
	f.header.OwnerRefused = r.Evidence == placement.EvidenceRefused
	f.header.OwnerGone = r.Evidence == placement.EvidenceGone
	f.writer.Add(datagram.Append(f.writer.Next(), &f.header, packet), r.Agent.UDP)
	r.Agent.Progress.Forwarded.Add(1)
}

// route finds the route of a packet and reports that of a new flow.
func (f *forwarder) route(s *routing.Service, packet []byte, caller netip.AddrPort) routing.Route {
	if f.placed == nil {
		return f.router.Route(s, packet, caller)
	}
	start := time.Now()
	r := f.router.Route(s, packet, caller)
	if r.Kind == routing.KindNew {
		f.placed(start, time.Now(), r.Flow, s.Number, r.Agent.Server)
	}
	return r
}

func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
