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

// returner forwards packets from agents to callers and answers the pings of agents. It is not safe
// for concurrent use.
type returner struct {
	agents        *udp.Socket
	view          View
	table         *atomic.Pointer[routing.Table]
	listeners     *atomic.Pointer[map[uint32]*udp.Socket]
	header        bramleyv1.DatagramHeader
	pong          bramleyv1.DatagramHeader
	callerWriters map[uint32]*udp.Writer
	pongWriter    *udp.Writer
	batch         int
	counts        *counters
	now           func() time.Duration
	// observed is the highest revision that has been reported to the view.
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
		callerWriters: map[uint32]*udp.Writer{},
		pongWriter:    udp.NewWriter(b.config.BatchSize, datagram.MaxDatagram),
		batch:         b.config.BatchSize,
		counts:        b.counts,
		now:           b.now,
	}
}

// run forwards packets until the agent-facing socket fails or is closed.
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
	for service, w := range r.callerWriters {
		if w.Len() == 0 {
			continue
		}
		if s := listeners[service]; s != nil {
			w.Flush(s)
		}
		w.Discard()
		r.counts.addWriteFailures(w)
	}
	r.pongWriter.Flush(r.agents)
	r.counts.addWriteFailures(r.pongWriter)
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
	source := t.AgentByAddress(unmap(udp.AddrPort()))
	if source != nil {
		source.Progress.Returned.Add(1)
		r.observeRevision(t, source)
		r.recordSilenceReports(t, source)
	}
	switch r.header.Kind {
	case bramleyv1.DatagramKind_DATAGRAM_KIND_PING:
		r.answerPing(t, udp)
	case bramleyv1.DatagramKind_DATAGRAM_KIND_RETURN:
		r.returnToCaller(source, payload)
	}
}

// recordSilenceReports records which other agents of its service the sender reports as silent.
func (r *returner) recordSilenceReports(t *routing.Table, source *routing.Agent) {
	for _, server := range r.header.Silent {
		if peer := t.Peer(source, server); peer != nil {
			peer.Progress.ReportedSilent.Store(int64(r.now()))
		}
	}
}

// observeRevision reports the header's revision to the view, once, if it is newer than the table's.
func (r *returner) observeRevision(t *routing.Table, source *routing.Agent) {
	if r.header.Revision <= t.Revision || r.header.Revision <= r.observed {
		return
	}
	r.observed = r.header.Revision
	r.view.Observe(r.header.Revision, source.Peer.String())
}

func (r *returner) answerPing(t *routing.Table, to *net.UDPAddr) {
	r.pong.Service = r.header.Service
	r.pong.Server = r.header.Server
	r.pong.Probe = r.header.Probe
	r.pong.Revision = t.Revision
	r.pongWriter.Add(datagram.Append(r.pongWriter.Next(), &r.pong, nil), to)
}

// returnToCaller queues a packet for its caller. It drops the packet unless the source address
// belongs to the agent that the header names, so that no agent can send on behalf of another service.
func (r *returner) returnToCaller(source *routing.Agent, payload []byte) {
	if source == nil || source.Service != r.header.Service || source.Server != r.header.Server {
		r.counts.unknownReturns.Add(1)
		return
	}
	caller, err := datagram.DecodeAddr(r.header.Caller)
	if err != nil {
		r.counts.malformedReturns.Add(1)
		return
	}
	w := r.callerWriters[source.Service]
	if w == nil {
		w = udp.NewWriter(r.batch, datagram.MaxDatagram)
		r.callerWriters[source.Service] = w
	}
	// The payload aliases the read buffer, which is not reused before receive has flushed the writers.
	w.Add(payload, net.UDPAddrFromAddrPort(caller))
	r.counts.returned.Add(1)
}
