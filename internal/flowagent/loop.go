package flowagent

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
	"github.com/bramleyrack/bramleyrack/internal/packetreader"
	"github.com/bramleyrack/bramleyrack/internal/udp"
	"github.com/bramleyrack/bramleyrack/registry"
)

// loop owns the decisions of an agent.
type loop struct {
	agent  *Agent
	config *Config
	keeper *flow.Tracker
	// toNodes and toClients leave by the socket towards balancers, toServer by the one towards the server.
	toNodes, toClients, toServer *udp.Writer
	serverAddr                   *net.UDPAddr
	header, out                  nodev1.Header
	list                         []flow.IP
	addresses                    map[flow.IP]*net.UDPAddr
	// balancers holds when each balancer was last heard.
	balancers map[flow.IP]time.Duration
	content   *registry.Content
	accepting bool
	suspect   bool
	swept     time.Duration
	checker   checker
	// askedAt is when the server was given the opening packets that it has not answered.
	askedAt map[flow.Key]time.Duration
}

func newLoop(a *Agent) *loop {
	server := flow.EndpointOf(a.config.Server)
	return &loop{
		agent:      a,
		config:     &a.config,
		keeper:     flow.NewTracker(a.config.Tracker, a.config.Clock.Now()),
		toNodes:    udp.NewWriter(packetreader.BatchSize, nodecodec.MaxDatagram),
		toClients:  udp.NewWriter(packetreader.BatchSize, nodecodec.MaxPacket),
		toServer:   udp.NewWriter(packetreader.BatchSize, nodecodec.MaxPacket),
		serverAddr: sockAddr(server.IP, server.Port),
		addresses:  map[flow.IP]*net.UDPAddr{},
		balancers:  map[flow.IP]time.Duration{},
		checker:    newChecker(a.config.Server),
		askedAt:    map[flow.Key]time.Duration{},
	}
}

// run decides until stop ends. ctx ends later.
func (l *loop) run(ctx, stop context.Context, batches <-chan *packetreader.Batch) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stopped := stop.Done()
	var leave <-chan time.Time
	for {
		select {
		case batch := <-batches:
			l.handle(batch)
			batch.Release()
		case <-l.config.View.Updates():
			l.adopt(l.config.Clock.Now())
			l.tellAll(l.config.Clock.Now(), nodev1.Kind_KIND_ANSWER)
		case <-ticker.C:
			l.tick(ctx)
		case running := <-l.checker.results:
			l.checked(running)
		case <-stopped:
			stopped = nil
			leave = l.leave()
		case <-leave:
			return
		}
		l.flush()
	}
}

// leave tells the balancers that this process stops.
func (l *loop) leave() <-chan time.Time {
	now := l.config.Clock.Now()
	l.agent.leaving.Store(true)
	l.tellAll(now, nodev1.Kind_KIND_LEAVE)
	l.config.Event("stopping", "balancers", len(l.balancers), "flows", l.agent.counts.flows.Load())
	return time.After(lingerFor)
}

// adopt puts the current view in force.
func (l *loop) adopt(now time.Duration) {
	view := l.config.View.Current()
	if view == nil || view.Content == l.content {
		return
	}
	l.content = view.Content
	l.keeper.SetView(view)
	l.config.Event("view_in_force", "version", view.Version(), "revision", view.Revision, "age", now-view.Confirmed)
	l.noteAccepting(now)
}

// noteAccepting logs when the server begins or ceases to take new flows.
func (l *loop) noteAccepting(now time.Duration) {
	if is := l.keeper.Accepting(now); is != l.accepting {
		l.accepting = is
		l.config.Event("accepting", "now", is, "version", l.keeper.Version())
	}
}

// noteSuspect logs when the server begins or ceases to fail more of its requests than its peers.
func (l *loop) noteSuspect(now time.Duration) {
	if is := l.keeper.Suspect(); is != l.suspect {
		l.suspect = is
		word := l.keeper.Status(now)
		l.config.Event("suspect", "now", is, "failing", word.FailureRate, "service_time", word.ServiceTime)
	}
}

func (l *loop) handle(batch *packetreader.Batch) {
	now := l.config.Clock.Now()
	l.adopt(now)
	for i := range batch.Messages {
		m := &batch.Messages[i]
		raw := m.Buffers[0][:m.N]
		if batch.Source == fromServer {
			l.fromServer(now, raw)
			continue
		}
		if from, ok := m.Addr.(*net.UDPAddr); ok && from.IP.To4() != nil {
			l.fromNode(now, flow.IP(from.IP.To4()), raw)
		}
	}
	// The writers hold datagrams that alias the batch.
	l.flush()
}

// fromNode handles a datagram of a balancer or of another agent.
func (l *loop) fromNode(now time.Duration, from flow.IP, raw []byte) {
	l.agent.counts.nodePackets.Add(1)
	packet, err := nodecodec.Decode(raw, &l.header)
	if err != nil {
		l.agent.counts.malformed.Add(1)
		l.config.Event("datagram_malformed", "from", from, "error", err)
		return
	}
	switch l.header.Kind {
	case nodev1.Kind_KIND_CARRY:
		l.carried(now, from, packet)
	case nodev1.Kind_KIND_HEARTBEAT:
		l.balancers[from] = now
		l.keeper.SetPeers(now, nodecodec.PeerStats(&l.header))
		l.observe(now, from)
		probe := l.header.Probe
		l.tell(now, from, nodev1.Kind_KIND_ANSWER, probe)
	case nodev1.Kind_KIND_ANSWER:
		l.observe(now, from)
	}
}

// observe hands the freshness of a peer to the view.
func (l *loop) observe(now time.Duration, from flow.IP) {
	if l.header.Revision == 0 {
		return
	}
	peer := netip.AddrPortFrom(netip.AddrFrom4(from), l.config.PeerAddress.Port())
	l.config.View.Observe(nodecodec.Freshness(&l.header, now), peer)
}

// carried handles a packet of a client. The balancer that sends it first does not name itself: the address that
// it is seen at counts.
func (l *loop) carried(now time.Duration, from flow.IP, packet []byte) {
	p, err := l.config.Codec.Parse(packet)
	if err != nil {
		l.agent.counts.malformed.Add(1)
		l.config.Event("packet_malformed", "error", err)
		return
	}
	request := nodecodec.Request(&l.header, l.list)
	l.list = request.Remaining
	if request.Balancer == (flow.IP{}) {
		request.Balancer = from
	}
	l.apply(now, &p, packet, l.keeper.FromNode(now, &p, packet, request))
}

func (l *loop) fromServer(now time.Duration, raw []byte) {
	l.agent.counts.serverPackets.Add(1)
	p, err := l.config.ServerCodec.Parse(raw)
	if err != nil {
		l.agent.counts.malformed.Add(1)
		l.config.Event("packet_malformed", "error", err)
		return
	}
	if p.Kind == flow.Accepting {
		if asked, ok := l.askedAt[p.Key]; ok {
			delete(l.askedAt, p.Key)
			l.config.RecordAnswerTime(now - asked)
		}
	}
	l.apply(now, &p, raw, l.keeper.FromServer(now, &p))
}

// apply carries out a decision.
func (l *loop) apply(now time.Duration, p *flow.Packet, raw []byte, v flow.Verdict) {
	l.agent.counts.actions[v.Action].Add(1)
	l.log(now, p, &v)
	if p.Returned && (v.Action == flow.Forward || v.Action == flow.Return) {
		l.config.Codec.ClearReturned(raw)
	}
	switch v.Action {
	case flow.ToServer:
		if p.Kind == flow.Opening {
			l.askedAt[p.Key] = now
		}
		l.reserve(l.toServer, l.agent.server)
		l.toServer.Add(raw, l.serverAddr)
	case flow.ToClient:
		l.reserve(l.toClients, l.agent.nodes)
		l.toClients.Add(raw, sockAddr(p.Key.Client.IP, l.config.ClientPort))
	case flow.Forward:
		nodecodec.Clear(&l.out)
		nodecodec.PutRequest(&l.out, &v.Request)
		l.send(v.To, raw)
	case flow.Return:
		nodecodec.Clear(&l.out)
		l.out.Kind = nodev1.Kind_KIND_RETURN
		l.putSelf(now)
		l.send(v.To, raw)
	case flow.Reset:
		l.reset(p.Key, v.Seq)
	}
	l.note(now, p, &v)
}

// note tells a balancer what became of a flow.
func (l *loop) note(now time.Duration, p *flow.Packet, v *flow.Verdict) {
	if v.Note == flow.NoNote || v.Balancer == (flow.IP{}) {
		return
	}
	nodecodec.Clear(&l.out)
	l.putSelf(now)
	l.out.Service = l.keeper.Service()
	switch v.Note {
	case flow.NoteStatus:
		l.out.Kind = nodev1.Kind_KIND_ANSWER
	case flow.NoteHeld:
		l.agent.counts.held.Add(1)
		l.out.Kind, l.out.Verdict = nodev1.Kind_KIND_REPORT, nodev1.Verdict_VERDICT_HELD
		nodecodec.PutKey(&l.out, p.Key)
	case flow.NoteRefused:
		l.agent.counts.refused.Add(1)
		l.out.Kind, l.out.Verdict = nodev1.Kind_KIND_REPORT, nodev1.Verdict_VERDICT_REFUSED
		nodecodec.PutKey(&l.out, p.Key)
	case flow.NoteDenied:
		l.out.Kind, l.out.Verdict = nodev1.Kind_KIND_REPORT, nodev1.Verdict_VERDICT_DENIED
		l.out.Search, l.out.Outdated = v.Request.SearchID, v.Request.Outdated()
		nodecodec.PutKey(&l.out, p.Key)
	}
	l.send(v.Balancer, nil)
}

// log writes a line for each decision that takes, passes on, searches or ends a flow.
func (l *loop) log(now time.Duration, p *flow.Packet, v *flow.Verdict) {
	word := l.keeper.Status(now)
	switch {
	case v.Note == flow.NoteHeld:
		l.config.Event("flow_held", "flow", p.Key, "balancer", v.Balancer, "busy", word.Busy, "slots", word.Slots,
			"flows", word.Flows, "version", l.keeper.Version())
	case v.Action == flow.Forward && v.Request.Purpose == flow.PurposeOpen:
		l.config.Event("flow_passed", "flow", p.Key, "to", v.To, "busy", word.Busy, "slots", word.Slots, "reason", v.Reason)
	case v.Action == flow.Forward, v.Action == flow.Return:
		l.config.Event("packet_passed", "flow", p.Key, "to", v.To, "more", len(v.Request.Remaining), "reason", v.Reason)
	case v.Action == flow.Reset:
		l.config.Event("flow_reset", "flow", p.Key, "seq", v.Seq, "reason", v.Reason, "version", l.keeper.Version())
	case v.Note == flow.NoteDenied:
		l.config.Event("flow_denied", "flow", p.Key, "search", v.Request.SearchID, "outdated", v.Request.Outdated(), "reason", v.Reason)
	case v.Action == flow.Drop:
		l.config.Event("packet_dropped", "flow", p.Key, "reason", v.Reason)
	}
}

// reset tells a client that its flow does not exist.
func (l *loop) reset(key flow.Key, seq uint32) {
	l.reserve(l.toClients, l.agent.nodes)
	to := sockAddr(key.Client.IP, l.config.ClientPort)
	l.toClients.Add(l.config.Codec.AppendReset(l.toClients.Next(), key, seq), to)
}

// putSelf makes out carry what the agent says of itself, its server and its view.
func (l *loop) putSelf(now time.Duration) {
	word := l.keeper.Status(now)
	word.Process = l.config.ProcessID
	nodecodec.PutStatus(&l.out, word)
	l.out.ConfigVersion = l.keeper.Version()
	if view := l.config.View.Current(); view != nil {
		nodecodec.PutFreshness(&l.out, now, view.Freshness)
	}
}

// tell sends the word of the agent to another process.
func (l *loop) tell(now time.Duration, to flow.IP, kind nodev1.Kind, probe uint64) {
	nodecodec.Clear(&l.out)
	l.out.Kind = kind
	l.out.Probe = probe
	l.putSelf(now)
	l.send(to, nil)
}

// tellAll sends the word of the agent to every balancer heard lately.
func (l *loop) tellAll(now time.Duration, kind nodev1.Kind) {
	for balancer, heard := range l.balancers {
		if now-heard > balancerMemory {
			delete(l.balancers, balancer)
			continue
		}
		l.tell(now, balancer, kind, 0)
	}
}

// send queues the header in out, with a packet, for the process at an address.
func (l *loop) send(to flow.IP, packet []byte) {
	l.reserve(l.toNodes, l.agent.nodes)
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
	l.toServer.Flush(l.agent.server)
	l.toClients.Flush(l.agent.nodes)
	l.toNodes.Flush(l.agent.nodes)
	l.agent.counts.writeFailures.Add(l.toServer.TakeFailed() + l.toClients.TakeFailed() + l.toNodes.TakeFailed())
}
