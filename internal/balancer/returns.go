package balancer

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/datagram"
	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/internal/udp"
)

// returner carries the packets of agents to callers and answers pings.
type returner struct {
	agents    *udp.Socket
	view      View
	table     *atomic.Pointer[routing.Table]
	listeners *atomic.Pointer[map[uint32]*udp.Socket]
	header    bramleyv1.DatagramHeader
	pong      bramleyv1.DatagramHeader
	callers   map[uint32]*udp.Writer
	answers   *udp.Writer
	batch     int
	counts    *counters
	now       func() time.Duration
	// observed is the highest revision that was reported to the view.
	observed uint64
}

func newReturner(b *Balancer) *returner {
	return &returner{
		agents:    b.agents,
		view:      b.config.View,
		table:     &b.table,
		listeners: &b.listeners,
		pong: bramleyv1.DatagramHeader{
			Kind:     bramleyv1.DatagramKind_DATAGRAM_KIND_PONG,
			Balancer: datagram.EncodeAddr(b.agents.LocalAddr()),
		},
		callers: map[uint32]*udp.Writer{},
		answers: udp.NewWriter(b.config.BatchSize, datagram.MaxDatagram),
		batch:   b.config.BatchSize,
		counts:  b.counts,
		now:     b.now,
	}
}

// run returns packets until the socket is closed.
func (r *returner) run() error {
	messages := udp.NewMessages(r.batch, datagram.MaxDatagram)
	for {
		n, err := r.agents.ReadBatch(messages)
		if err != nil {
			return err
		}
		r.receive(messages[:n])
	}
}

func (r *returner) receive(messages []ipv4.Message) {
	t := r.table.Load()
	for i := range messages {
		r.receiveOne(t, &messages[i])
	}
	listeners := *r.listeners.Load()
	for service, w := range r.callers {
		if w.Len() == 0 {
			continue
		}
		if s := listeners[service]; s != nil {
			w.Flush(s)
		}
		w.Discard()
		r.counts.takeFailed(w)
	}
	r.answers.Flush(r.agents)
	r.counts.takeFailed(r.answers)
}

func (r *returner) receiveOne(t *routing.Table, m *ipv4.Message) {
	udp, ok := m.Addr.(*net.UDPAddr)
	if !ok {
		return
	}
	payload, err := datagram.Split(m.Buffers[0][:m.N], &r.header)
	if err != nil {
		r.counts.malformedReturns.Add(1)
		return
	}
	source := t.AgentByAddress(unmapped(udp.AddrPort()))
	if source != nil {
		source.Progress.Returned.Add(1)
		r.observe(t, source)
		r.takeReports(t, source)
	}
	switch r.header.Kind {
	case bramleyv1.DatagramKind_DATAGRAM_KIND_PING:
		r.answer(t, udp)
	case bramleyv1.DatagramKind_DATAGRAM_KIND_RETURN:
		r.toCaller(source, payload)
	}
}

// takeReports notes the agents of its service that an agent misses.
func (r *returner) takeReports(t *routing.Table, source *routing.Agent) {
	for _, server := range r.header.Silent {
		if peer := t.Peer(source, server); peer != nil {
			peer.Progress.ReportedSilent.Store(int64(r.now()))
		}
	}
}

// observe tells the view, once for each revision, that an agent has a higher one.
func (r *returner) observe(t *routing.Table, source *routing.Agent) {
	if r.header.Revision <= t.Revision || r.header.Revision <= r.observed {
		return
	}
	r.observed = r.header.Revision
	r.view.Observe(r.header.Revision, source.Peer.String())
}

func (r *returner) answer(t *routing.Table, to *net.UDPAddr) {
	r.pong.Service = r.header.Service
	r.pong.Server = r.header.Server
	r.pong.Probe = r.header.Probe
	r.pong.Revision = t.Revision
	r.answers.Add(datagram.Append(r.answers.Next(), &r.pong, nil), to)
}

// toCaller queues a packet if it comes from a known agent of the service that it names.
func (r *returner) toCaller(source *routing.Agent, payload []byte) {
	if source == nil || source.Service != r.header.Service || source.Server != r.header.Server {
		r.counts.unknownReturns.Add(1)
		return
	}
	caller, err := datagram.DecodeAddr(r.header.Caller)
	if err != nil {
		r.counts.malformedReturns.Add(1)
		return
	}
	w := r.callers[source.Service]
	if w == nil {
		w = udp.NewWriter(r.batch, datagram.MaxDatagram)
		r.callers[source.Service] = w
	}
	// The payload stays valid until the whole batch is written.
	w.Add(payload, net.UDPAddrFromAddrPort(caller))
	r.counts.returned.Add(1)
}
