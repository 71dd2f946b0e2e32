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
	// peersInterval is the age at which the copy of the peers' loads is renewed.
	peersInterval = 100 * time.Millisecond
	// receiveBuffer is the size of the socket's receive buffer in bytes.
	receiveBuffer = 4 << 20
)

// surroundings is what the receiver needs to know of the rest of the process.
type surroundings interface {
	// tree returns the settings in force.
	tree() *settings.Tree
	// observe reports a revision seen in a header.
	observe(revision uint64)
	// load returns the work of this agent.
	load() placement.Load
	// peerLoads returns the other agents of the service.
	peerLoads(now time.Duration) []placement.PeerLoad
}

// inbound owns the socket's reading side and decides where each datagram goes.
type inbound struct {
	socket   *net.UDPConn
	self     placement.Owner
	codec    *placement.Codec
	acceptor *placement.Acceptor
	around   surroundings
	conn     *virtualConn
	resetter *resetter
	out      *outbound
	metrics  *metrics
	start    time.Time

	header     bramleyv1.DatagramHeader
	peers      []placement.PeerLoad
	peersAt    time.Duration
	lastHeard  map[netip.AddrPort]time.Duration
	candidates []uint32
	scratch    []byte
}

// run reads datagrams until the socket is closed.
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
	in.around.observe(in.header.GetRevision())
	switch in.header.GetKind() {
	case bramleyv1.DatagramKind_DATAGRAM_KIND_PING:
		in.answerPing(from)
	case bramleyv1.DatagramKind_DATAGRAM_KIND_PONG:
		in.sawBalancer(from)
	case bramleyv1.DatagramKind_DATAGRAM_KIND_FORWARD:
		in.forwarded(payload)
	default:
		in.metrics.malformed.Add(1)
	}
}

// answerPing proves to a balancer or an agent that this process runs.
func (in *inbound) answerPing(from netip.AddrPort) {
	if !in.addressed() {
		return
	}
	pong := bramleyv1.DatagramHeader{
		Kind:    bramleyv1.DatagramKind_DATAGRAM_KIND_PONG,
		Service: in.self.Service,
		Server:  in.self.Server,
		Probe:   in.header.GetProbe(),
	}
	if tree := in.around.tree(); tree != nil {
		pong.Revision = tree.Revision
	}
	in.scratch = datagram.Append(in.scratch[:0], &pong, nil)
	in.out.sendTo(in.scratch, from)
}

// addressed counts and reports datagrams that were meant for another service or server, as when an
// address has been given to another VM.
func (in *inbound) addressed() bool {
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

func (in *inbound) forwarded(payload []byte) {
	if !in.addressed() {
		return
	}
	caller, err := datagram.DecodeAddr(in.header.GetCaller())
	if err != nil {
		in.metrics.malformed.Add(1)
		return
	}
	if balancer, err := datagram.DecodeAddr(in.header.GetBalancer()); err == nil {
		in.sawBalancer(balancer)
	}
	id, long, err := placement.DestinationConnectionID(payload)
	if err != nil {
		in.metrics.malformed.Add(1)
		return
	}
	decision := in.decide(id, long)
	if decision.Action == placement.ActionReset && !long && len(payload) < transportAnswers {
		in.reset(id, len(payload), caller)
		return
	}
	in.carryOut(decision, payload, caller)
}

// reset answers a packet that is too small for the transport to answer.
func (in *inbound) reset(id []byte, size int, caller netip.AddrPort) {
	packet := in.resetter.answer(id, size)
	if packet == nil {
		return
	}
	in.metrics.resets.Add(1)
	_ = in.out.sendToCaller(packet, caller)
}

// decide returns what to do with a packet that has the given destination connection ID.
func (in *inbound) decide(id []byte, long bool) placement.Decision {
	now := time.Since(in.start)
	in.refreshPeers(now)
	if owner, ok := in.codec.Decode(id); ok {
		return in.acceptor.DecideByOwner(now, owner, in.self, in.evidence(), in.peers)
	}
	if !long {
		return in.search(now)
	}
	decision := in.acceptor.Decide(now, placement.FlowHash(id), in.around.load(), in.peers, in.header.GetCandidates(), int(in.header.GetHops()))
	in.count(decision)
	return decision
}

// search passes on a packet whose connection ID this agent can't read, as during a rotation of keys.
// The last agent drops it: the owner may be out of reach.
func (in *inbound) search(now time.Duration) placement.Decision {
	decision := in.acceptor.Search(now, false, in.around.load(), in.peers, in.header.GetCandidates())
	if decision.Action == placement.ActionAccept {
		decision.Action = placement.ActionRefuse
	}
	return decision
}

// evidence returns what the balancer says of the owner of the flow.
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

func (in *inbound) count(decision placement.Decision) {
	switch decision.Action {
	case placement.ActionAccept:
		in.metrics.accepted.Add(1)
	case placement.ActionPass:
		in.metrics.passed.Add(1)
	case placement.ActionRefuse:
		in.metrics.refusedFlows.Add(1)
	}
}

func (in *inbound) carryOut(decision placement.Decision, payload []byte, caller netip.AddrPort) {
	switch decision.Action {
	case placement.ActionAccept, placement.ActionReset:
		// The transport answers a packet of a flow that it does not know with a stateless reset.
		if !in.conn.deliver(payload, caller) {
			in.metrics.inboundDrops.Add(1)
		}
	case placement.ActionPass:
		in.pass(decision.Server, payload)
	}
}

// pass sends the packet on to another agent of the service.
func (in *inbound) pass(server uint32, payload []byte) {
	tree := in.around.tree()
	if tree == nil {
		return
	}
	service := tree.Service(in.self.Service)
	if service == nil {
		return
	}
	upstream := service.LookupUpstream(server)
	if upstream == nil {
		return
	}
	in.candidates = placement.Remaining(in.candidates[:0], in.header.GetCandidates(), server)
	in.header.Candidates = append(in.header.Candidates[:0], in.candidates...)
	in.header.Server = server
	in.header.Hops++
	in.scratch = datagram.Append(in.scratch[:0], &in.header, payload)
	in.out.sendTo(in.scratch, upstream.AgentAddress)
}

// sawBalancer tells the sender about a balancer, at most once in heardInterval.
func (in *inbound) sawBalancer(balancer netip.AddrPort) {
	now := time.Since(in.start)
	last, known := in.lastHeard[balancer]
	if known && now-last < heardInterval {
		return
	}
	in.lastHeard[balancer] = now
	in.out.sawBalancer(balancer)
}

func (in *inbound) refreshPeers(now time.Duration) {
	if in.peers != nil && now-in.peersAt < peersInterval {
		return
	}
	in.peers = in.around.peerLoads(now)
	in.peersAt = now
}
