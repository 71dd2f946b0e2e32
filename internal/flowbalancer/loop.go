package flowbalancer

import (
	"context"
	"net"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/flowlog"
	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
	"github.com/bramleyrack/bramleyrack/internal/packetreader"
	"github.com/bramleyrack/bramleyrack/internal/udp"
	"github.com/bramleyrack/bramleyrack/registry"
)

// loop is the event loop of a balancer. Only its goroutine uses its state.
type loop struct {
	balancer    *Balancer
	config      *Config
	director    *flow.Director
	toNodes     *udp.Writer
	toClients   *udp.Writer
	inHeader    nodev1.Header
	outHeader   nodev1.Header
	addresses   map[flow.IP]*net.UDPAddr
	content     *registry.Content
	evacuations flowlog.Evacuations
	// unusedEntries holds the reasons that were last logged for the entries that are not used, by ID.
	unusedEntries map[string]string
	// lastSweep is when idle flows were last removed, and lastHealthLog when health changes were last checked for.
	lastSweep, lastHealthLog time.Duration
	// probe is the number of the last heartbeat.
	probe            uint64
	lastClientPacket time.Duration
	seedHeartbeats   *flow.SeedHeartbeats
	// ages estimates how long the datagrams of a batch have waited. age is that of the batch that is being handled.
	ages packetreader.Ages
	age  time.Duration
	// openingSentAt maps each flow whose opening packet awaits a report to the time when the packet was sent.
	openingSentAt map[flow.Key]time.Duration
}

func newLoop(b *Balancer) *loop {
	l := &loop{
		balancer:       b,
		config:         &b.config,
		director:       flow.NewDirector(b.config.Director, b.config.Clock.Now()),
		toNodes:        udp.NewWriter(packetreader.BatchSize, nodecodec.MaxDatagram),
		toClients:      udp.NewWriter(packetreader.BatchSize, nodecodec.MaxPacket),
		addresses:      map[flow.IP]*net.UDPAddr{},
		openingSentAt:  map[flow.Key]time.Duration{},
		seedHeartbeats: flow.NewSeedHeartbeats(b.config.Rand),
	}
	return l
}

// run handles events until stop has ended and the routers no longer send packets here.
func (l *loop) run(stop context.Context, batches <-chan *packetreader.Batch) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stopped := stop.Done()
	var stopTime time.Duration
	for {
		select {
		case batch := <-batches:
			l.handleBatch(batch)
			batch.Release()
		case <-l.config.View.Updates():
			now := l.config.Clock.Now()
			l.updateView(now)
			l.resumeSearches(now)
			l.director.HeartbeatAll()
		case <-ticker.C:
			l.tick()
		case q := <-l.balancer.questions:
			l.answer(q)
		case <-stopped:
			stopped = nil
			stopTime = l.config.Clock.Now()
			l.balancer.leaving.Store(true)
			l.config.Event("stopping", "flows", l.director.Flows())
		}
		l.flush()
		if stopTime > 0 && l.mayExit(stopTime) {
			return
		}
	}
}

// mayExit reports whether a balancer that was stopped at stopTime may exit: after MinLinger once no client has sent a
// packet for quietPeriod, and in any case after MaxLinger.
func (l *loop) mayExit(stopTime time.Duration) bool {
	now := l.config.Clock.Now()
	if now-stopTime > l.config.MaxLinger {
		return true
	}
	return now-stopTime > l.config.MinLinger && now-l.lastClientPacket > quietPeriod
}

// updateView puts the current view into force and logs a change of its content.
func (l *loop) updateView(now time.Duration) {
	view := l.config.View.Current()
	assigned := l.director.SetView(now, view)
	if view != nil && view.Content != l.content {
		l.content = view.Content
		l.config.Event("routes_in_force", "version", view.Version(), "revision", view.Revision,
			"upstreams", len(view.Upstreams), "age", now-view.Confirmed)
		l.evacuations.Update(now, view.Evacuations, l.config.Event)
	}
	if assigned {
		l.logUnusedEntries()
	}
}

// logUnusedEntries logs the entries of servers that are not used any more, or for another reason than before.
func (l *loop) logUnusedEntries() {
	unused := l.director.UnusedEntries()
	if len(unused) == 0 && len(l.unusedEntries) == 0 {
		return
	}
	reasons := make(map[string]string, len(unused))
	for _, e := range unused {
		reasons[e.Upstream.ID] = e.Reason
		if l.unusedEntries[e.Upstream.ID] != e.Reason {
			l.config.Event("entry_unused", "id", e.Upstream.ID, "service", e.Upstream.Service, "address", e.Upstream.Address, "reason", e.Reason)
		}
	}
	l.unusedEntries = reasons
}

// turn records that the loop runs and returns the time. It is called first in each turn that may find packets from before a
// pause, since a suspension does not show in the clock before it is detected.
func (l *loop) turn() time.Duration {
	suspended := l.config.Clock.DetectSuspension()
	now := l.config.Clock.Now()
	if paused := l.ages.Turn(now); paused > 0 {
		l.config.Event("resumed", "paused", paused, "suspended", suspended)
		l.director.Resumed(now)
	}
	return now
}

func (l *loop) handleBatch(batch *packetreader.Batch) {
	now := l.turn()
	l.age = l.ages.Age(now, batch)
	l.updateView(now)
	for i := range batch.Messages {
		m := &batch.Messages[i]
		raw := m.Buffers[0][:m.N]
		if batch.Source == sourceClients {
			l.handleClientPacket(now, raw)
			continue
		}
		if from, ok := m.Addr.(*net.UDPAddr); ok && from.IP.To4() != nil {
			l.handleNodeDatagram(now, flow.IP(from.IP.To4()), raw)
		}
	}
	// The queued datagrams alias the batch, which is about to be released.
	l.flush()
}

func (l *loop) handleClientPacket(now time.Duration, raw []byte) {
	l.lastClientPacket = now
	l.balancer.counts.clientPackets.Add(1)
	p, err := l.config.Codec.Parse(raw)
	if err != nil {
		l.balancer.counts.malformed.Add(1)
		l.config.Event("packet_malformed", "error", err)
		return
	}
	p.Age = l.age
	l.apply(now, &p, raw, l.director.FromClient(now, &p, raw))
}

func (l *loop) apply(now time.Duration, p *flow.Packet, raw []byte, d flow.Decision) {
	l.balancer.counts.actions[d.Action].Add(1)
	l.logDecision(now, p, &d)
	switch d.Action {
	case flow.Forward:
		if d.Request.Purpose == flow.PurposeOpen {
			l.balancer.counts.opened.Add(1)
			l.openingSentAt[p.Key] = now
		}
		l.forward(flow.Branch{To: d.To, Request: d.Request}, p.Age, raw)
		for _, branch := range d.Branches {
			l.forward(branch, p.Age, raw)
		}
	case flow.Reset:
		l.reserve(l.toClients, l.balancer.clients)
		to := sockAddr(p.Key.Client.IP, l.config.ClientAddress.Port())
		l.toClients.Add(l.config.Codec.AppendReset(l.toClients.Next(), p.Key, d.Seq), to)
	}
}

func (l *loop) forward(branch flow.Branch, age time.Duration, raw []byte) {
	nodecodec.Clear(&l.outHeader)
	nodecodec.PutRequest(&l.outHeader, &branch.Request)
	nodecodec.PutAge(&l.outHeader, age)
	l.send(branch.To, raw)
}

// logDecision logs a decision, unless it only forwards the packet to the known owner, and counts searches.
func (l *loop) logDecision(now time.Duration, p *flow.Packet, d *flow.Decision) {
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
			"search", d.Request.SearchID, "chains", 1+len(d.Branches), "excluded", d.Excluded, "version", d.Request.Version, "view_age", age,
			"routes_known", now-view.RoutesKnownSince, "reason", d.Reason)
	case d.Action == flow.Reset:
		l.config.Event("flow_reset", "flow", p.Key, "seq", d.Seq, "search", d.Request.SearchID, "waited", p.Age, "reason", d.Reason,
			"version", view.Version(), "view_age", age)
	case d.Action == flow.Drop:
		l.config.Event("packet_dropped", "flow", p.Key, "waited", p.Age, "reason", d.Reason, "version", view.Version(), "view_age", age)
	}
}

// send queues a datagram of outHeader and an optional packet for the process at an address.
func (l *loop) send(to flow.IP, packet []byte) {
	l.reserve(l.toNodes, l.balancer.nodes)
	address := l.addresses[to]
	if address == nil {
		address = sockAddr(to, l.config.PeerAddress.Port())
		l.addresses[to] = address
	}
	l.toNodes.Add(nodecodec.Encode(l.toNodes.Next(), &l.outHeader, packet), address)
}

// reserve flushes the writer if it has no room for another datagram.
func (l *loop) reserve(w *udp.Writer, s *udp.Socket) {
	if w.Full() {
		w.Flush(s)
	}
}

func (l *loop) flush() {
	l.toNodes.Flush(l.balancer.nodes)
	l.toClients.Flush(l.balancer.clients)
	l.balancer.counts.writeFailures.Add(l.toNodes.ResetFailed() + l.toClients.ResetFailed())
}
