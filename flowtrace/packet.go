package flowtrace

import (
	"encoding/binary"
	"net/netip"

	"github.com/bramleyrack/bramleyrack/placement"
)

// outcome is what became of a packet.
type outcome uint8

const (
	outcomeLost outcome = iota
	outcomeAccepted
	outcomeReset
)

// verdict is the outcome of a packet and the agent that decided it.
type verdict struct {
	outcome outcome
	agent   *agent
}

// caller returns the address that a flow comes from.
func (f *flow) caller() netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(f.id>>32))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(f.id))
}

// packet returns a packet of a flow as a caller sends it.
func (w *simulation) packet(f *flow) []byte {
	if f.owner != nil {
		return append([]byte{0x40}, f.connectionID[:]...)
	}
	b := []byte{0xc0, 0, 0, 0, 1, 8}
	return append(binary.BigEndian.AppendUint64(b, f.id), 0)
}

// forward sends a packet of a flow through a balancer along the decisions under test.
func (w *simulation) forward(b *balancer, f *flow) verdict {
	service := b.table.Service(f.service)
	if service == nil {
		return verdict{}
	}
	packet := w.packet(f)
	route := b.router.Route(service, packet, f.caller())
	if route.Agent == nil {
		return verdict{}
	}
	a := w.deliver(b, route.Agent)
	server, candidates := route.Agent.Server, route.Candidates
	for hops := 0; a != nil; hops++ {
		if a.service != f.service || a.upstream.Number != server {
			return verdict{}
		}
		d := w.decide(a, packet, route.Evidence, candidates, hops)
		switch d.Action {
		case placement.ActionAccept:
			return verdict{outcome: outcomeAccepted, agent: a}
		case placement.ActionReset:
			return verdict{outcome: outcomeReset, agent: a}
		case placement.ActionRefuse:
			return verdict{}
		}
		w.result.Passes++
		server, candidates = d.Server, placement.Remaining(nil, candidates, d.Server)
		a = w.pass(a, server)
	}
	return verdict{}
}

// decide asks the acceptor of an agent, as its daemon does.
func (w *simulation) decide(a *agent, packet []byte, evidence placement.Evidence, candidates []uint32, hops int) placement.Decision {
	id, long, err := placement.DestinationConnectionID(packet)
	if err != nil {
		return placement.Decision{Action: placement.ActionRefuse}
	}
	if owner, ok := a.codec.Decode(id); ok {
		return a.acceptor.DecideByOwner(w.now, owner, a.self, evidence, a.peers)
	}
	if long {
		return a.acceptor.Decide(w.now, placement.FlowHash(id), a.load(), a.peers, candidates, hops)
	}
	d := a.acceptor.Search(w.now, false, a.load(), a.peers, candidates)
	if d.Action == placement.ActionAccept {
		d.Action = placement.ActionRefuse
	}
	return d
}

// pass takes a packet from one agent to another and returns nil if it is lost.
func (w *simulation) pass(from *agent, server uint32) *agent {
	a := w.numbered(server)
	if a == nil || !a.running(w.now) || !w.reachable(from.upstream.Place, a.upstream.Place) {
		return nil
	}
	return a
}
