package agent

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/datagram"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

const (
	// peerLoadsInterval is the age above which the cached loads of the peers are refreshed.
	peerLoadsInterval = 100 * time.Millisecond
	// receiveBuffer is the size of the socket's receive buffer, in bytes.
	receiveBuffer = 4 << 20
)

// agentState is the part of Agent that inbound depends on.
type agentState interface {
	// tree returns the current settings, or nil.
	tree() *settings.Tree
	// observe records the revision of the settings that a datagram header carried.
	observe(revision uint64)
	load() placement.Load
	// peerLoads returns the loads of the other agents of the service. Their times are on the clock of
	// now.
	peerLoads(now time.Duration) []placement.PeerLoad
}

// inbound reads datagrams from the socket and decides what happens to each of them. Only the goroutine
// of run may use its state.
type inbound struct {
	socket   *net.UDPConn
	self     placement.Owner
	codec    *placement.Codec
	acceptor *placement.Acceptor
	agent    agentState
	conn     *virtualConn
	resetter *resetter
	outbound *outbound
	metrics  *metrics
	start    time.Time

	header      bramleyv1.DatagramHeader
	peerLoads   []placement.PeerLoad
	peerLoadsAt time.Duration
	lastHeard   map[netip.AddrPort]time.Duration
	candidates  []uint32
	scratch     []byte
}

// run handles datagrams until ctx ends or the socket is closed.
func (in *inbound) run(ctx context.Context) error {
	buffer := make([]byte, datagram.MaxDatagram)
	for {
		n, from, err := in.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Trace(err)
		}
		if err != nil {
			in.metrics.malformed.Add(1)
			continue
		}
		in.handle(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (in *inbound) handle(b []byte, from netip.AddrPort) {
	payload, err := datagram.Split(b, &in.header)
	if err != nil {
		in.metrics.malformed.Add(1)
		return
	}
	in.agent.observe(in.header.GetRevision())
	switch in.header.GetKind() {
	case bramleyv1.DatagramKind_DATAGRAM_KIND_PING:
		in.answerPing(from)
	case bramleyv1.DatagramKind_DATAGRAM_KIND_PONG:
		in.recordHeard(from)
	case bramleyv1.DatagramKind_DATAGRAM_KIND_FORWARD:
		in.handleForward(payload)
	default:
		in.metrics.malformed.Add(1)
	}
}

// answerPing answers the ping of a balancer with the probe number that it carried.
func (in *inbound) answerPing(from netip.AddrPort) {
	if !in.addressedToSelf() {
		return
	}
	pong := bramleyv1.DatagramHeader{
		Kind:    bramleyv1.DatagramKind_DATAGRAM_KIND_PONG,
		Service: in.self.Service,
		Server:  in.self.Server,
		Probe:   in.header.GetProbe(),
	}
	if tree := in.agent.tree(); tree != nil {
		pong.Revision = tree.Revision
	}
	in.scratch = datagram.Append(in.scratch[:0], &pong, nil)
	in.outbound.sendTo(in.scratch, from)
}

// addressedToSelf reports whether a datagram is addressed to this server, and counts it otherwise. Such
// datagrams arrive, for example, after the address of a VM was reassigned to another one.
func (in *inbound) addressedToSelf() bool {
	if in.header.GetService() != in.self.Service {
		in.metrics.otherService.Add(1)
		return false
	}
	if in.header.GetServer() != in.self.Server {
		in.metrics.otherServer.Add(1)
		return false
	}
	return true
}

// handleForward handles a packet of a caller that a balancer or another agent forwarded.
func (in *inbound) handleForward(payload []byte) {
	if !in.addressedToSelf() {
		return
	}
	caller, err := datagram.DecodeAddr(in.header.GetCaller())
	if err != nil {
		in.metrics.malformed.Add(1)
		return
	}
	if balancer, err := datagram.DecodeAddr(in.header.GetBalancer()); err == nil {
		in.recordHeard(balancer)
	}
	id, long, err := placement.DestinationConnectionID(payload)
	if err != nil {
		in.metrics.malformed.Add(1)
		return
	}
	decision := in.decide(id, long)
	if decision.Action == placement.ActionReset && !long && len(payload) < minTransportAnswered {
		in.reset(id, len(payload), caller)
		return
	}
	in.apply(decision, payload, caller)
}

// reset sends a stateless reset for a packet that is too small for the QUIC transport to answer.
func (in *inbound) reset(id []byte, size int, caller netip.AddrPort) {
	packet := in.resetter.answer(id, size)
	if packet == nil {
		return
	}
	in.metrics.resets.Add(1)
	_ = in.outbound.sendToCaller(packet, caller)
}

// decide returns what to do with a packet that has the destination connection ID id. long is set if
// the packet has a long header, as the first packets of a flow do.
func (in *inbound) decide(id []byte, long bool) placement.Decision {
	now := time.Since(in.start)
	in.refreshPeerLoads(now)
	if owner, ok := in.codec.Decode(id); ok {
		return in.acceptor.DecideByOwner(now, owner, in.self, in.evidence(), in.peerLoads)
	}
	if !long {
		return in.search(now)
	}
	decision := in.acceptor.Decide(now, placement.FlowHash(id), in.agent.load(), in.peerLoads, in.header.GetCandidates(), int(in.header.GetHops()))
	in.countDecision(decision)
	return decision
}

// search passes on a packet whose connection ID this agent can not decode, for example during a
// rotation of the keys. The last agent drops the packet: accepting it would reset the flow, whose owner
// may only be unreachable.
func (in *inbound) search(now time.Duration) placement.Decision {
	decision := in.acceptor.Search(now, false, in.agent.load(), in.peerLoads, in.header.GetCandidates())
	if decision.Action == placement.ActionAccept {
		decision.Action = placement.ActionRefuse
	}
	return decision
}

// evidence returns what the balancer has observed of the owner of the flow.
func (in *inbound) evidence() placement.Evidence {
	switch {
	case in.header.GetOwnerRefused():
		return placement.EvidenceRefused
	case in.header.GetOwnerGone():
		return placement.EvidenceGone
	default:
		return placement.EvidenceNone
	}
}

func (in *inbound) countDecision(decision placement.Decision) {
	switch decision.Action {
	case placement.ActionAccept:
		in.metrics.accepted.Add(1)
	case placement.ActionPass:
		in.metrics.passed.Add(1)
	case placement.ActionRefuse:
		in.metrics.refusedFlows.Add(1)
	}
}

func (in *inbound) apply(decision placement.Decision, payload []byte, caller netip.AddrPort) {
	switch decision.Action {
	case placement.ActionAccept, placement.ActionReset:
		// The QUIC transport answers a packet of an unknown flow with a stateless reset.
		if !in.conn.deliver(payload, caller) {
			in.metrics.inboundDrops.Add(1)
		}
	case placement.ActionPass:
		in.pass(decision.Server, payload)
	}
}

// pass forwards the packet to another agent of the service.
func (in *inbound) pass(server uint32, payload []byte) {
	tree := in.agent.tree()
	if tree == nil {
		return
	}
	service := tree.Service(in.self.Service)
	if service == nil {
		return
	}
	upstream := service.UpstreamIncludingRemoved(server)
	if upstream == nil {
		return
	}
	in.candidates = placement.Remaining(in.candidates[:0], in.header.GetCandidates(), server)
	in.header.Candidates = append(in.header.Candidates[:0], in.candidates...)
	in.header.Server = server
	in.header.Hops++
	in.scratch = datagram.Append(in.scratch[:0], &in.header, payload)
	in.outbound.sendTo(in.scratch, upstream.AgentAddress)
}

// recordHeard passes on to outbound that a balancer was heard from, at most once per heardInterval.
func (in *inbound) recordHeard(balancer netip.AddrPort) {
	now := time.Since(in.start)
	last, known := in.lastHeard[balancer]
	if known && now-last < heardInterval {
		return
	}
	in.lastHeard[balancer] = now
	in.outbound.recordHeard(balancer)
}

func (in *inbound) refreshPeerLoads(now time.Duration) {
	if in.peerLoads != nil && now-in.peerLoadsAt < peerLoadsInterval {
		return
	}
	in.peerLoads = in.agent.peerLoads(now)
	in.peerLoadsAt = now
}
