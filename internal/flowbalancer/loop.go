package flowbalancer

import (
	"context"
	"net"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
	"github.com/bramleyrack/bramleyrack/internal/packetreader"
	"github.com/bramleyrack/bramleyrack/internal/udp"
	"github.com/bramleyrack/bramleyrack/registry"
)

// loop owns the decisions of a balancer.
type loop struct {
	balancer  *Balancer
	config    *Config
	director  *flow.Director
	toNodes   *udp.Writer
	toClients *udp.Writer
	header    nodev1.Header
	out       nodev1.Header
	addresses map[flow.IP]*net.UDPAddr
	content   *registry.Content
	// swept and doubted are when silent flows and agents in doubt were last looked for.
	swept, doubted time.Duration
	probe          uint64
	// received is when the last packet of a client came.
	received time.Duration
	// sentAt is when the opening packets that wait for a report were sent.
	sentAt map[flow.Key]time.Duration
}

func newLoop(b *Balancer) *loop {
	l := &loop{
		balancer:  b,
		config:    &b.config,
		director:  flow.NewDirector(b.config.Director, b.config.Clock.Now()),
		toNodes:   udp.NewWriter(packetreader.BatchSize, nodecodec.MaxDatagram),
		toClients: udp.NewWriter(packetreader.BatchSize, nodecodec.MaxPacket),
		addresses: map[flow.IP]*net.UDPAddr{},
		sentAt:    map[flow.Key]time.Duration{},
	}
	return l
}

// run decides until stop ends and the routers have left this process out.
func (l *loop) run(stop context.Context, batches <-chan *packetreader.Batch) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stopped := stop.Done()
	var leave time.Duration
	for {
		select {
		case batch := <-batches:
			l.handle(batch)
			batch.Release()
		case <-l.config.View.Updates():
			now := l.config.Clock.Now()
			l.adopt(now)
			l.resume(now)
			l.director.HeartbeatAll()
		case <-ticker.C:
			l.tick()
		case <-stopped:
			stopped = nil
			leave = l.config.Clock.Now()
			l.balancer.leaving.Store(true)
			l.config.Event("stopping", "flows", l.director.Flows())
		}
		l.flush()
		if leave > 0 && l.left(leave) {
			return
		}
	}
}

// left reports whether a balancer that began to leave at a time may end.
func (l *loop) left(leave time.Duration) bool {
	now := l.config.Clock.Now()
	if now-leave > l.config.MaxLinger {
		return true
	}
	return now-leave > l.config.MinLinger && now-l.received > quietFor
}

// adopt puts the current view in force.
func (l *loop) adopt(now time.Duration) {
	view := l.config.View.Current()
	l.director.SetView(now, view)
	if view != nil && view.Content != l.content {
		l.content = view.Content
		l.config.Event("routes_in_force", "version", view.Version(), "revision", view.Revision,
			"upstreams", len(view.Upstreams), "age", now-view.Confirmed)
	}
}

func (l *loop) handle(batch *packetreader.Batch) {
	now := l.config.Clock.Now()
	l.adopt(now)
	for i := range batch.Messages {
		m := &batch.Messages[i]
		raw := m.Buffers[0][:m.N]
		if batch.Source == fromClients {
			l.fromClient(now, raw)
			continue
		}
		if from, ok := m.Addr.(*net.UDPAddr); ok && from.IP.To4() != nil {
			l.fromNode(now, flow.IP(from.IP.To4()), raw)
		}
	}
	// The writers hold datagrams that alias the batch.
	l.flush()
}

func (l *loop) fromClient(now time.Duration, raw []byte) {
	l.received = now
	l.balancer.counts.clientPackets.Add(1)
	p, err := l.config.Codec.Parse(raw)
	if err != nil {
		l.balancer.counts.malformed.Add(1)
		l.config.Event("packet_malformed", "error", err)
		return
	}
	l.apply(now, &p, raw, l.director.FromClient(now, &p, raw))
}

// apply carries out a decision.
func (l *loop) apply(now time.Duration, p *flow.Packet, raw []byte, d flow.Decision) {
	l.balancer.counts.actions[d.Action].Add(1)
	l.log(now, p, &d)
	switch d.Action {
	case flow.Forward:
		if d.Request.Purpose == flow.PurposeOpen {
			l.balancer.counts.opened.Add(1)
			l.sentAt[p.Key] = now
		}
		l.carry(flow.Branch{To: d.To, Request: d.Request}, raw)
		for _, branch := range d.Branches {
			l.carry(branch, raw)
		}
	case flow.Reset:
		l.reserve(l.toClients, l.balancer.clients)
		to := sockAddr(p.Key.Client.IP, l.config.ClientAddress.Port())
		l.toClients.Add(l.config.Codec.AppendReset(l.toClients.Next(), p.Key, d.Seq), to)
	}
}

// carry sends a packet of a client to an agent.
func (l *loop) carry(branch flow.Branch, raw []byte) {
	nodecodec.Clear(&l.out)
	nodecodec.PutRequest(&l.out, &branch.Request)
	l.send(branch.To, raw)
}

// log writes a line for each decision that places, searches or ends a flow.
func (l *loop) log(now time.Duration, p *flow.Packet, d *flow.Decision) {
	view := l.config.View.Current()
	if view == nil {
		return
	}
	age := now - view.Confirmed
	switch {
	case d.Action == flow.Forward && d.Request.Purpose == flow.PurposeOpen:
		l.config.Event("flow_placed", "flow", p.Key, "copy", p.Copy, "agent", d.To, "alternatives", len(d.Request.Remaining),
			"version", d.Request.Version, "view_age", age, "reason", d.Reason)
	case d.Action == flow.Forward && d.Request.Purpose == flow.PurposeSearch:
		l.balancer.counts.searched.Add(1)
		l.config.Event("flow_searched", "flow", p.Key, "first", d.To, "more", len(d.Request.Remaining),
			"search", d.Request.SearchID, "chains", 1+len(d.Branches), "version", d.Request.Version, "view_age", age)
	case d.Action == flow.Reset:
		l.config.Event("flow_reset", "flow", p.Key, "seq", d.Seq, "reason", d.Reason, "version", view.Version(), "view_age", age)
	case d.Action == flow.Drop:
		l.config.Event("packet_dropped", "flow", p.Key, "reason", d.Reason, "version", view.Version(), "view_age", age)
	}
}

// send queues the header in out, with a packet, for the process at an address.
func (l *loop) send(to flow.IP, packet []byte) {
	l.reserve(l.toNodes, l.balancer.nodes)
	address := l.addresses[to]
	if address == nil {
		address = sockAddr(to, l.config.PeerAddress.Port())
		l.addresses[to] = address
	}
	l.toNodes.Add(nodecodec.Encode(l.toNodes.Next(), &l.out, packet), address)
}

// reserve makes room for one more datagram.
func (l *loop) reserve(w *udp.Writer, s *udp.Socket) {
	if w.Full() {
		w.Flush(s)
	}
}

func (l *loop) flush() {
	l.toNodes.Flush(l.balancer.nodes)
	l.toClients.Flush(l.balancer.clients)
	l.balancer.counts.writeFailures.Add(l.toNodes.TakeFailed() + l.toClients.TakeFailed())
}
