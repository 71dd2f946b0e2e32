package flowbalancer

import (
	"net/netip"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
)

// fromNode handles a datagram of an agent or of another balancer.
func (l *loop) fromNode(now time.Duration, from flow.IP, raw []byte) {
	packet, err := nodecodec.Decode(raw, &l.header)
	if err != nil {
		l.balancer.counts.malformed.Add(1)
		l.config.Event("datagram_malformed", "from", from, "error", err)
		return
	}
	h := &l.header
	l.observe(now, from)
	switch h.Kind {
	case nodev1.Kind_KIND_REPORT:
		l.reported(now, from)
	case nodev1.Kind_KIND_ANSWER:
		l.director.UpdateStatus(now, nodecodec.Status(h, now, from))
	case nodev1.Kind_KIND_LEAVE:
		l.director.HandleLeave(now, from, h.Process)
		l.config.Event("agent_leaving", "agent", from)
	case nodev1.Kind_KIND_RETURN:
		l.returned(now, from, packet)
	case nodev1.Kind_KIND_HEARTBEAT:
		l.answer(now, from)
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

func (l *loop) reported(now time.Duration, from flow.IP) {
	h := &l.header
	key := nodecodec.Key(h)
	held := h.Verdict == nodev1.Verdict_VERDICT_HELD
	l.director.UpdateStatus(now, nodecodec.Status(h, now, from))
	l.balancer.counts.reported.Add(1)
	if h.Verdict == nodev1.Verdict_VERDICT_DENIED {
		l.denied(now, key)
		return
	}
	for _, waiting := range l.director.HandleReport(now, flow.Report{Key: key, Held: held, From: from, Service: h.Service}) {
		l.apply(now, &waiting.Packet, waiting.Raw, l.director.FromClient(now, &waiting.Packet, waiting.Raw))
	}
	if sent, ok := l.sentAt[key]; ok {
		delete(l.sentAt, key)
		l.config.RecordReportTime(now - sent)
	}
	if !held {
		l.config.Event("flow_refused", "flow", key, "agent", from, "agent_version", h.ConfigVersion)
	}
}

// denied goes on with a search, or ends it.
func (l *loop) denied(now time.Duration, key flow.Key) {
	denial := flow.Denial{Key: key, SearchID: l.header.Search, Outdated: l.header.Outdated}
	if d, p, raw := l.director.HandleDenial(now, denial); p != nil {
		l.apply(now, p, raw, d)
	}
}

// returned has a packet searched that an agent handed back.
func (l *loop) returned(now time.Duration, from flow.IP, packet []byte) {
	p, err := l.config.Codec.Parse(packet)
	if err != nil {
		l.balancer.counts.malformed.Add(1)
		return
	}
	l.apply(now, &p, packet, l.director.HandleReturned(now, &p, packet, from))
}

// answer answers the heartbeat of another process.
func (l *loop) answer(now time.Duration, from flow.IP) {
	probe := l.header.Probe
	nodecodec.Clear(&l.out)
	l.out.Kind = nodev1.Kind_KIND_ANSWER
	l.out.Probe = probe
	l.putView(now)
	l.send(from, nil)
}

// putView makes out carry the freshness of the view.
func (l *loop) putView(now time.Duration) {
	l.out.Process = l.config.ProcessID
	view := l.config.View.Current()
	if view == nil {
		return
	}
	l.out.ConfigVersion = view.Version()
	nodecodec.PutFreshness(&l.out, now, view.Freshness)
}

// tick does what is due.
func (l *loop) tick() {
	if suspended := l.config.Clock.DetectSuspension(); suspended > 0 {
		l.config.Event("resumed", "suspended", suspended)
	}
	now := l.config.Clock.Now()
	l.adopt(now)
	l.resume(now)
	l.hedge(now)
	l.heartbeats(now)
	if now-l.doubted >= doubtInterval {
		l.logDoubts(now)
	}
	if now-l.swept >= sweepInterval {
		l.sweep(now)
	}
}

// resume goes on with the searches that proved nothing before the latest news.
func (l *loop) resume(now time.Duration) {
	for {
		d, p, raw := l.director.NextResumedSearch(now)
		if p == nil {
			return
		}
		l.apply(now, p, raw, d)
	}
}

// hedge sends the opening packets again that no agent has answered in time.
func (l *loop) hedge(now time.Duration) {
	for {
		d, p, raw := l.director.NextHedge(now)
		if p == nil {
			return
		}
		l.balancer.counts.hedged.Add(1)
		l.apply(now, p, raw, d)
	}
}

func (l *loop) heartbeats(now time.Duration) {
	for {
		to, ok := l.director.Heartbeat(now)
		if !ok {
			return
		}
		l.probe++
		nodecodec.Clear(&l.out)
		l.out.Kind = nodev1.Kind_KIND_HEARTBEAT
		l.out.Probe = l.probe
		nodecodec.PutPeerStats(&l.out, l.director.PeerStats(now, to))
		l.putView(now)
		l.send(to, nil)
		l.balancer.counts.heartbeats.Add(1)
	}
}

// logDoubts logs which agents have come into doubt, or out of it.
func (l *loop) logDoubts(now time.Duration) {
	l.doubted = now
	for _, doubt := range l.director.HealthChanges(now) {
		l.config.Event("agent_doubtful", "agent", doubt.Agent, "now", doubt.Unresponsive, "since_heard", doubt.SinceHeard)
	}
}

func (l *loop) sweep(now time.Duration) {
	l.swept = now
	l.director.Sweep(now)
	l.balancer.counts.flows.Store(int64(l.director.Flows()))
	for key, sent := range l.sentAt {
		if now-sent > sweepInterval {
			delete(l.sentAt, key)
		}
	}
}
