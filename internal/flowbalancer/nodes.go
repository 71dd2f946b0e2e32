package flowbalancer

import (
	"net/netip"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
)

// handleNodeDatagram handles a datagram from an agent or another balancer.
func (l *loop) handleNodeDatagram(now time.Duration, from flow.IP, raw []byte) {
	packet, err := nodecodec.Decode(raw, &l.inHeader)
	if err != nil {
		l.balancer.counts.malformed.Add(1)
		l.config.Event("datagram_malformed", "from", from, "error", err)
		return
	}
	h := &l.inHeader
	l.observeFreshness(now, from)
	switch h.Kind {
	case nodev1.Kind_KIND_REPORT:
		l.handleReport(now, from)
	case nodev1.Kind_KIND_ANSWER:
		l.director.UpdateStatus(now, l.status(now, from))
	case nodev1.Kind_KIND_LEAVE:
		l.director.HandleLeave(now, from, h.Process)
		l.config.Event("agent_leaving", "agent", from)
	case nodev1.Kind_KIND_RETURN, nodev1.Kind_KIND_RETURN_UNANSWERED:
		l.handleReturned(now, from, packet)
	case nodev1.Kind_KIND_HEARTBEAT:
		l.answerHeartbeat(now, from)
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

// status returns the status in inHeader. The confirmation of its view is as much older as the datagram may have waited here.
func (l *loop) status(now time.Duration, from flow.IP) flow.AgentStatus {
	s := nodecodec.Status(&l.inHeader, now, from)
	s.View.Confirmed -= l.age
	return s
}

// handleReport handles an agent's report on a flow and forwards the packets that waited for it.
func (l *loop) handleReport(now time.Duration, from flow.IP) {
	h := &l.inHeader
	key := nodecodec.Key(h)
	held := h.Verdict == nodev1.Verdict_VERDICT_HELD
	l.director.UpdateStatus(now, l.status(now, from))
	l.balancer.counts.reported.Add(1)
	if h.Verdict == nodev1.Verdict_VERDICT_DENIED {
		l.handleDenial(now, key)
		return
	}
	for _, queued := range l.director.HandleReport(now, flow.Report{Key: key, Held: held, From: from, Service: h.Service}) {
		l.apply(now, &queued.Packet, queued.Raw, l.director.FromClient(now, &queued.Packet, queued.Raw))
	}
	if sent, ok := l.openingSentAt[key]; ok {
		delete(l.openingSentAt, key)
		l.config.RecordReportTime(now - sent)
	}
	if h.Verdict == nodev1.Verdict_VERDICT_REFUSED {
		l.config.Event("flow_refused", "flow", key, "agent", from, "agent_version", h.ConfigVersion)
	}
}

// handleDenial continues or ends a search after one of its chains has found no owner.
func (l *loop) handleDenial(now time.Duration, key flow.Key) {
	denial := flow.Denial{Key: key, SearchID: l.inHeader.Search, Outdated: l.inHeader.Outdated}
	if d, p, raw := l.director.HandleDenial(now, denial); p != nil {
		l.apply(now, p, raw, d)
	}
}

// handleReturned redirects a packet that an agent has sent back because its server may not hold the flow.
func (l *loop) handleReturned(now time.Duration, from flow.IP, packet []byte) {
	p, err := l.config.Codec.Parse(packet)
	if err != nil {
		l.balancer.counts.malformed.Add(1)
		return
	}
	p.Age = nodecodec.Age(&l.inHeader) + l.age
	l.apply(now, &p, packet, l.director.HandleReturned(now, &p, packet, from, l.inHeader.Kind == nodev1.Kind_KIND_RETURN_UNANSWERED))
}

func (l *loop) answerHeartbeat(now time.Duration, from flow.IP) {
	probe := l.inHeader.Probe
	nodecodec.Clear(&l.outHeader)
	l.outHeader.Kind = nodev1.Kind_KIND_ANSWER
	l.outHeader.Probe = probe
	l.putView(now)
	l.send(from, nil)
}

// putView stores the ID of this process and the freshness of its view in outHeader.
func (l *loop) putView(now time.Duration) {
	l.outHeader.Process = l.config.ProcessID
	view := l.config.View.Current()
	if view == nil {
		return
	}
	nodecodec.PutFreshness(&l.outHeader, now, view.Freshness)
}

func (l *loop) tick() {
	now := l.turn()
	l.updateView(now)
	l.resumeSearches(now)
	l.sendHedges(now)
	l.sendHeartbeats(now)
	l.checkIsolation(now)
	if now-l.lastHealthLog >= healthLogInterval {
		l.logHealthChanges(now)
	}
	if now-l.lastSweep >= sweepInterval {
		l.sweep(now)
	}
}

// checkIsolation takes the balancer out of rotation while no agent answers, and logs when that begins and ends.
func (l *loop) checkIsolation(now time.Duration) {
	isolated := l.director.Isolated(now)
	if l.balancer.isolated.Swap(isolated) != isolated {
		l.config.Event("isolated", "now", isolated, "agents", l.director.Agents())
	}
}

// resumeSearches repeats or concludes the inconclusive searches for which the view now allows it.
func (l *loop) resumeSearches(now time.Duration) {
	for {
		d, p, raw := l.director.NextResumedSearch(now)
		if p == nil {
			return
		}
		l.apply(now, p, raw, d)
	}
}

// sendHedges sends each opening packet that no agent has answered in time to the next agent as well.
func (l *loop) sendHedges(now time.Duration) {
	for {
		d, p, raw := l.director.NextHedge(now)
		if p == nil {
			return
		}
		l.balancer.counts.hedged.Add(1)
		l.apply(now, p, raw, d)
	}
}

func (l *loop) sendHeartbeats(now time.Duration) {
	seeds := l.config.Seeds()
	if i, due := l.seedHeartbeats.Due(now, len(seeds), l.director.Agents()); due {
		nodecodec.Clear(&l.outHeader)
		l.outHeader.Kind = nodev1.Kind_KIND_HEARTBEAT
		l.putView(now)
		l.send(flow.EndpointOf(seeds[i]).IP, nil)
		l.balancer.counts.heartbeats.Add(1)
	}
	for {
		to, ok := l.director.Heartbeat(now)
		if !ok {
			return
		}
		l.probe++
		nodecodec.Clear(&l.outHeader)
		l.outHeader.Kind = nodev1.Kind_KIND_HEARTBEAT
		l.outHeader.Probe = l.probe
		nodecodec.PutPeerStats(&l.outHeader, l.director.PeerStats(now, to))
		l.putView(now)
		l.send(to, nil)
		l.balancer.counts.heartbeats.Add(1)
	}
}

// logHealthChanges logs which agents have become unresponsive or responsive again.
func (l *loop) logHealthChanges(now time.Duration) {
	l.lastHealthLog = now
	for _, change := range l.director.HealthChanges(now) {
		l.config.Event("agent_doubtful", "agent", change.Agent, "now", change.Unresponsive, "since_heard", change.SinceHeard)
	}
}

func (l *loop) sweep(now time.Duration) {
	l.lastSweep = now
	l.director.Sweep(now)
	l.logColdChanges(now)
	l.balancer.counts.flows.Store(int64(l.director.Flows()))
	turnedAway := l.director.TurnedAway()
	l.balancer.counts.evacuated.Store(turnedAway.Evacuated)
	l.balancer.counts.cold.Store(turnedAway.Cold)
	l.balancer.counts.stale.Store(l.director.StalePackets())
	for key, sent := range l.openingSentAt {
		if now-sent > sweepInterval {
			delete(l.openingSentAt, key)
		}
	}
}
