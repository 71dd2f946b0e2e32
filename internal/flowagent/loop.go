package flowagent

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/flowlog"
	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
	"github.com/bramleyrack/bramleyrack/internal/packetreader"
	"github.com/bramleyrack/bramleyrack/internal/udp"
	"github.com/bramleyrack/bramleyrack/registry"
)

// loop is the event loop of an agent. Only its goroutine uses its state.
type loop struct {
	agent   *Agent
	config  *Config
	tracker *flow.Tracker
	// toNodes and toClients write to the socket for balancers and agents, toServer to the one for the server.
	toNodes, toClients, toServer *udp.Writer
	serverAddr                   *net.UDPAddr
	inHeader, outHeader          nodev1.Header
	remainingBuf                 []flow.IP
	addresses                    map[flow.IP]*net.UDPAddr
	balancers                    *flow.Balancers
	seedHeartbeats               *flow.SeedHeartbeats
	content                      *registry.Content
	// accepting, suspect and cold are the values that were last logged.
	accepting   bool
	suspect     bool
	cold        bool
	evacuations flowlog.Evacuations
	// lastSweep is when idle flows were last removed, and lastAnnounce when silent balancers were last looked for.
	lastSweep, lastAnnounce time.Duration
	// ages estimates how long the datagrams of a batch have waited. age is that of the batch that is being handled.
	ages    packetreader.Ages
	age     time.Duration
	checker processChecker
	// openingSentAt maps each flow whose opening packet the server has not answered to the time when it was forwarded.
	openingSentAt map[flow.Key]time.Duration
}

func newLoop(a *Agent) *loop {
	server := flow.EndpointOf(a.config.Server)
	return &loop{
		agent:          a,
		config:         &a.config,
		tracker:        flow.NewTracker(a.config.Tracker, a.config.Clock.Now()),
		toNodes:        udp.NewWriter(packetreader.BatchSize, nodecodec.MaxDatagram),
		toClients:      udp.NewWriter(packetreader.BatchSize, nodecodec.MaxPacket),
		toServer:       udp.NewWriter(packetreader.BatchSize, nodecodec.MaxPacket),
		serverAddr:     sockAddr(server.IP, server.Port),
		addresses:      map[flow.IP]*net.UDPAddr{},
		balancers:      flow.NewBalancers(flow.DefaultBalancersConfig(), a.config.Rand),
		seedHeartbeats: flow.NewSeedHeartbeats(a.config.Rand),
		checker:        newProcessChecker(a.config.Server),
		openingSentAt:  map[flow.Key]time.Duration{},
	}
}

// run handles events until stop has ended and the linger time has passed. ctx does not end with stop.
func (l *loop) run(ctx, stop context.Context, batches <-chan *packetreader.Batch) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stopped := stop.Done()
	var lingerEnd <-chan time.Time
	for {
		select {
		case batch := <-batches:
			l.handleBatch(batch)
			batch.Release()
		case <-l.config.View.Updates():
			l.updateView(l.config.Clock.Now())
			l.handleHeld(l.config.Clock.Now())
			l.broadcastStatus(l.config.Clock.Now(), nodev1.Kind_KIND_ANSWER)
		case <-ticker.C:
			l.tick(ctx)
		case q := <-l.agent.questions:
			l.answer(q)
		case check := <-l.checker.results:
			l.handleProcessCheck(check)
		case <-stopped:
			stopped = nil
			lingerEnd = l.announceLeave()
		case <-lingerEnd:
			return
		}
		l.flush()
	}
}

// announceLeave notifies the balancers that this process is stopping, and starts the linger time.
func (l *loop) announceLeave() <-chan time.Time {
	now := l.config.Clock.Now()
	l.agent.leaving.Store(true)
	l.broadcastStatus(now, nodev1.Kind_KIND_LEAVE)
	l.tracker.StopHolding()
	l.handleHeld(now)
	l.config.Event("stopping", "balancers", len(l.balancers.Active(now)), "flows", l.agent.counts.flows.Load())
	return time.After(lingerTime)
}

// updateView puts the current view into force if its content has changed.
func (l *loop) updateView(now time.Duration) {
	view := l.config.View.Current()
	if view == nil {
		return
	}
	if view.Content == l.content {
		l.tracker.Confirm(view.Confirmed)
		return
	}
	l.content = view.Content
	l.tracker.SetView(view)
	l.publishServer(now)
	l.config.Event("view_in_force", "version", view.Version(), "revision", view.Revision, "age", now-view.Confirmed)
	l.evacuations.Update(now, view.Evacuations, l.config.Event)
	l.logAccepting(now)
	l.logCold(now)
}

// logAccepting logs when the server starts or stops accepting new flows.
func (l *loop) logAccepting(now time.Duration) {
	if accepting := l.tracker.Accepting(now); accepting != l.accepting {
		l.accepting = accepting
		l.config.Event("accepting", "now", accepting, "version", l.tracker.Version())
	}
}

// logSuspect logs when the server starts or stops failing more of its requests than its peers.
func (l *loop) logSuspect(now time.Duration) {
	if suspect := l.tracker.Suspect(); suspect != l.suspect {
		l.suspect = suspect
		status := l.tracker.Status(now)
		l.config.Event("suspect", "now", suspect, "failing", status.FailureRate, "service_time", status.ServiceTime)
	}
}

// turn records that the loop runs and returns the time. It is called first in each turn that may find packets from before a
// pause, since a suspension does not show in the clock before it is detected.
func (l *loop) turn() time.Duration {
	suspended := l.config.Clock.DetectSuspension()
	now := l.config.Clock.Now()
	if paused := l.ages.Turn(now); paused > 0 {
		l.config.Event("resumed", "paused", paused, "suspended", suspended)
		if paused > maxPause {
			l.tracker.Resumed(now)
		}
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
		if batch.Source == sourceServer {
			l.handleServerPacket(now, raw)
			l.handleHeld(now)
			continue
		}
		if from, ok := m.Addr.(*net.UDPAddr); ok && from.IP.To4() != nil {
			l.handleNodeDatagram(now, flow.IP(from.IP.To4()), raw)
		}
	}
	// The queued datagrams alias the batch, which is about to be released.
	l.flush()
}

// handleNodeDatagram handles a datagram from a balancer or another agent.
func (l *loop) handleNodeDatagram(now time.Duration, from flow.IP, raw []byte) {
	l.agent.counts.nodePackets.Add(1)
	packet, err := nodecodec.Decode(raw, &l.inHeader)
	if err != nil {
		l.agent.counts.malformed.Add(1)
		l.config.Event("datagram_malformed", "from", from, "error", err)
		return
	}
	switch l.inHeader.Kind {
	case nodev1.Kind_KIND_CARRY:
		l.handleClientPacket(now, from, packet)
	case nodev1.Kind_KIND_HEARTBEAT:
		l.balancers.Heard(now, from)
		l.tracker.SetPeers(now, nodecodec.PeerStats(&l.inHeader))
		l.observeFreshness(now, from)
		probe := l.inHeader.Probe
		l.sendStatus(now, from, nodev1.Kind_KIND_ANSWER, probe)
	case nodev1.Kind_KIND_ANSWER:
		l.observeFreshness(now, from)
	}
}

// observeFreshness passes the freshness of a peer's view to this process's view. Its confirmation is as much older as the
// datagram may have waited here.
func (l *loop) observeFreshness(now time.Duration, from flow.IP) {
	if l.inHeader.Revision == 0 {
		return
	}
	peer := netip.AddrPortFrom(netip.AddrFrom4(from), l.config.PeerAddress.Port())
	f := nodecodec.Freshness(&l.inHeader, now)
	f.Confirmed -= l.age
	l.config.View.Observe(f, peer)
}

// handleClientPacket handles a packet of a client. A balancer does not put its own address into the request: the first
// agent takes the source address of the datagram.
func (l *loop) handleClientPacket(now time.Duration, from flow.IP, packet []byte) {
	p, err := l.config.Codec.Parse(packet)
	if err != nil {
		l.agent.counts.malformed.Add(1)
		l.config.Event("packet_malformed", "error", err)
		return
	}
	p.Age = nodecodec.Age(&l.inHeader) + l.age
	request := nodecodec.Request(&l.inHeader, l.remainingBuf)
	l.remainingBuf = request.Remaining
	if request.Balancer == (flow.IP{}) {
		request.Balancer = from
	}
	l.apply(now, &p, packet, l.tracker.FromNode(now, &p, packet, request))
}

func (l *loop) handleServerPacket(now time.Duration, raw []byte) {
	l.agent.counts.serverPackets.Add(1)
	p, err := l.config.ServerCodec.Parse(raw)
	if err != nil {
		l.agent.counts.malformed.Add(1)
		l.config.Event("packet_malformed", "error", err)
		return
	}
	if p.Kind == flow.Accepting {
		if sent, ok := l.openingSentAt[p.Key]; ok {
			delete(l.openingSentAt, p.Key)
			l.config.RecordAnswerTime(now - sent)
		}
	}
	l.apply(now, &p, raw, l.tracker.FromServer(now, &p))
}

// apply executes a decision: it sends or drops the packet and sends the note to the balancer.
func (l *loop) apply(now time.Duration, p *flow.Packet, raw []byte, v flow.Verdict) {
	l.agent.counts.record(&v)
	l.logDecision(now, p, &v)
	if p.Returned && (v.Action == flow.Forward || v.Action == flow.Return || v.Action == flow.Wait) {
		l.config.Codec.ClearReturned(raw)
	}
	switch v.Action {
	case flow.ToServer:
		if p.Kind == flow.Opening {
			l.openingSentAt[p.Key] = now
		}
		l.reserve(l.toServer, l.agent.server)
		l.toServer.Add(raw, l.serverAddr)
	case flow.ToClient:
		l.reserve(l.toClients, l.agent.nodes)
		l.toClients.Add(raw, sockAddr(p.Key.Client.IP, l.config.ClientPort))
	case flow.Forward:
		nodecodec.Clear(&l.outHeader)
		nodecodec.PutRequest(&l.outHeader, &v.Request)
		nodecodec.PutAge(&l.outHeader, p.Age)
		l.send(v.To, raw)
	case flow.Return:
		nodecodec.Clear(&l.outHeader)
		l.outHeader.Kind = nodev1.Kind_KIND_RETURN
		if v.Unanswered {
			l.outHeader.Kind = nodev1.Kind_KIND_RETURN_UNANSWERED
		}
		nodecodec.PutAge(&l.outHeader, p.Age)
		l.putStatus(now)
		l.send(v.To, raw)
	case flow.Reset:
		l.sendReset(p.Key, v.Seq)
	case flow.Wait:
		l.tracker.KeepRaw(p, raw)
	}
	l.sendNote(now, p, &v)
}

// handleHeld releases or refuses the opening packets and requests that are held, as far as that is due.
func (l *loop) handleHeld(now time.Duration) {
	for {
		v, p, raw := l.tracker.NextHeld(now)
		if p == nil {
			break
		}
		l.apply(now, p, raw, v)
		if v.Action == flow.ToServer && p.Kind == flow.Opening {
			l.config.RecordOpeningWait(v.Waited)
		} else if v.Action == flow.ToServer {
			l.config.RecordRequestWait(v.Waited)
		}
	}
	l.agent.counts.recordHeld(l.tracker.Held())
}

// sendNote sends the note of a decision, if there is one, to the balancer that received the client's packet.
func (l *loop) sendNote(now time.Duration, p *flow.Packet, v *flow.Verdict) {
	if v.Note == flow.NoNote || v.Balancer == (flow.IP{}) {
		return
	}
	nodecodec.Clear(&l.outHeader)
	l.putStatus(now)
	l.outHeader.Service = l.tracker.ServiceHash()
	switch v.Note {
	case flow.NoteStatus:
		l.outHeader.Kind = nodev1.Kind_KIND_ANSWER
	case flow.NoteHeld:
		l.agent.counts.held.Add(1)
		l.outHeader.Kind, l.outHeader.Verdict = nodev1.Kind_KIND_REPORT, nodev1.Verdict_VERDICT_HELD
		nodecodec.PutKey(&l.outHeader, p.Key)
	case flow.NoteRefused:
		l.agent.counts.refused.Add(1)
		l.outHeader.Kind, l.outHeader.Verdict = nodev1.Kind_KIND_REPORT, nodev1.Verdict_VERDICT_REFUSED
		nodecodec.PutKey(&l.outHeader, p.Key)
	case flow.NoteWaiting:
		l.outHeader.Kind, l.outHeader.Verdict = nodev1.Kind_KIND_REPORT, nodev1.Verdict_VERDICT_WAITING
		nodecodec.PutKey(&l.outHeader, p.Key)
	case flow.NoteDenied:
		l.outHeader.Kind, l.outHeader.Verdict = nodev1.Kind_KIND_REPORT, nodev1.Verdict_VERDICT_DENIED
		l.outHeader.Search, l.outHeader.Outdated = v.Request.SearchID, v.Request.Outdated()
		nodecodec.PutKey(&l.outHeader, p.Key)
	}
	l.send(v.Balancer, nil)
}

// logDecision logs a decision, except for packets that are simply delivered to the server or the client.
func (l *loop) logDecision(now time.Duration, p *flow.Packet, v *flow.Verdict) {
	status := l.tracker.Status(now)
	switch {
	case v.Note == flow.NoteHeld:
		l.config.Event("flow_held", "flow", p.Key, "balancer", v.Balancer, "busy", status.Busy, "slots", status.Slots,
			"flows", status.Flows, "version", l.tracker.Version())
	case v.Action == flow.Forward && v.Request.Purpose == flow.PurposeOpen:
		l.config.Event("flow_passed", "flow", p.Key, "to", v.To, "busy", status.Busy, "slots", status.Slots, "reason", v.Reason)
	case v.Action == flow.Forward, v.Action == flow.Return:
		l.config.Event("packet_passed", "flow", p.Key, "to", v.To, "more", len(v.Request.Remaining), "reason", v.Reason)
	case v.Action == flow.Wait && p.Kind != flow.Opening:
		// The release of a request is logged.
	case v.Action == flow.Wait:
		l.config.Event("flow_waits", "flow", p.Key, "expected", v.Place.Expected, "limit", v.Place.Limit, "position", v.Place.Position,
			"busy", status.Busy, "slots", status.Slots)
	case v.Action == flow.ToServer && v.Waited > 0 && p.Kind == flow.Opening:
		l.config.Event("flow_released", "flow", p.Key, "waited", v.Waited, "busy", status.Busy, "slots", status.Slots)
	case v.Action == flow.ToServer && v.Waited > 0:
		l.config.Event("request_released", "flow", p.Key, "waited", v.Waited, "busy", status.Busy, "slots", status.Slots)
	case v.Refusal != flow.NotRefused:
		l.config.Event("flow_reset", "flow", p.Key, "seq", v.Seq, "reason", v.Reason, "refusal", v.Refusal.String(), "share", v.Part,
			"busy", status.Busy, "slots", status.Slots, "version", l.tracker.Version())
	case v.Action == flow.Reset:
		l.config.Event("flow_reset", "flow", p.Key, "seq", v.Seq, "waited", p.Age, "reason", v.Reason, "version", l.tracker.Version())
	case v.Note == flow.NoteDenied:
		l.config.Event("flow_denied", "flow", p.Key, "search", v.Request.SearchID, "outdated", v.Request.Outdated(), "reason", v.Reason)
	case v.Action == flow.Drop:
		l.config.Event("packet_dropped", "flow", p.Key, "waited", p.Age, "reason", v.Reason)
	}
}

func (l *loop) sendReset(key flow.Key, seq uint32) {
	l.reserve(l.toClients, l.agent.nodes)
	to := sockAddr(key.Client.IP, l.config.ClientPort)
	l.toClients.Add(l.config.Codec.AppendReset(l.toClients.Next(), key, seq), to)
}

// putStatus stores the status of the agent, its server and its view in outHeader.
func (l *loop) putStatus(now time.Duration) {
	l.putStatusOf(now, l.tracker.Status(now))
}

func (l *loop) putStatusOf(now time.Duration, status flow.AgentStatus) {
	status.Process = l.config.ProcessID
	nodecodec.PutStatus(&l.outHeader, status)
	if view := l.config.View.Current(); view != nil {
		nodecodec.PutFreshness(&l.outHeader, now, view.Freshness)
	}
}

// sendStatus sends the agent's status to another process.
func (l *loop) sendStatus(now time.Duration, to flow.IP, kind nodev1.Kind, probe uint64) {
	nodecodec.Clear(&l.outHeader)
	l.outHeader.Kind = kind
	l.outHeader.Probe = probe
	status := l.tracker.Status(now)
	if probe != 0 {
		status.RouteTimes = l.tracker.RouteTimes(now)
	}
	l.putStatusOf(now, status)
	l.send(to, nil)
}

// broadcastStatus sends the agent's status to every active balancer.
func (l *loop) broadcastStatus(now time.Duration, kind nodev1.Kind) {
	for _, balancer := range l.balancers.Active(now) {
		l.sendStatus(now, balancer, kind, 0)
	}
}

// contactSeed sends a heartbeat to a seed while no balancer sends any to this process.
func (l *loop) contactSeed(now time.Duration) {
	seeds := l.config.Seeds()
	if i, due := l.seedHeartbeats.Due(now, len(seeds), len(l.balancers.Active(now))); due {
		l.sendStatus(now, flow.EndpointOf(seeds[i]).IP, nodev1.Kind_KIND_HEARTBEAT, 0)
	}
}

// announce sends the agent's status to balancers that have become silent. One that has restarted without a view fetches
// it from this process.
func (l *loop) announce(now time.Duration) {
	elapsed := now - l.lastAnnounce
	l.lastAnnounce = now
	if l.content == nil {
		return
	}
	for _, balancer := range l.balancers.ToAnnounce(now, elapsed, len(l.content.Upstreams)) {
		l.sendStatus(now, balancer, nodev1.Kind_KIND_ANSWER, 0)
		l.agent.counts.announced.Add(1)
		l.config.Event("announced", "balancer", balancer, "version", l.tracker.Version())
	}
}

// send queues a datagram of outHeader and an optional packet for the process at an address.
func (l *loop) send(to flow.IP, packet []byte) {
	l.reserve(l.toNodes, l.agent.nodes)
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
	l.toServer.Flush(l.agent.server)
	l.toClients.Flush(l.agent.nodes)
	l.toNodes.Flush(l.agent.nodes)
	l.agent.counts.writeFailures.Add(l.toServer.ResetFailed() + l.toClients.ResetFailed() + l.toNodes.ResetFailed())
}
