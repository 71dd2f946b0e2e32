package flowtrace

import (
	"encoding/binary"
	"net/netip"

	"github.com/bramleyrack/bramleyrack/placement"
)

// outcome is the result of sending a packet.
type outcome uint8

const (
	outcomeLost outcome = iota
	outcomeAccepted
	outcomeReset
)

// verdict is the outcome of a packet and the agent that decided it, or nil if the packet was lost.
type verdict struct {
	outcome outcome
	agent   *agent
}

// caller returns the source address of a flow, which is derived from its ID.
func (f *flow) caller() netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(f.id>>32))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(f.id))
}

// packet returns a QUIC packet of a flow as a caller sends it: one with a short header and the connection ID from the
// owner if the flow is established, otherwise one with a long header and the ID of the flow.
func (sim *simulation) packet(f *flow) []byte {
	if f.owner != nil {
		return append([]byte{0x40}, f.connectionID[:]...)
	}
	b := []byte{0xc0, 0, 0, 0, 1, 8}
	return append(binary.BigEndian.AppendUint64(b, f.id), 0)
}

// forward sends a packet of a flow through a balancer and the agents that pass it on, using the decision logic under
// test.
func (sim *simulation) forward(b *balancer, f *flow) verdict {
	service := b.table.Service(f.service)
	if service == nil {
		return verdict{}
	}
	packet := sim.packet(f)
	route := b.router.Route(service, packet, f.caller())
	if route.Agent == nil {
		return verdict{}
	}
	a := sim.deliver(b, route.Agent)
	server, candidates := route.Agent.Server, route.Candidates
	for hops := 0; a != nil; hops++ {
		if a.service != f.service || a.upstream.Number != server {
			return verdict{}
		}
		d := sim.decide(a, packet, route.Evidence, candidates, hops)
		switch d.Action {
		case placement.ActionAccept:
			return verdict{outcome: outcomeAccepted, agent: a}
		case placement.ActionReset:
			return verdict{outcome: outcomeReset, agent: a}
		case placement.ActionRefuse:
			return verdict{}
		}
		sim.result.Passes++
		server, candidates = d.Server, placement.Remaining(nil, candidates, d.Server)
		a = sim.pass(a, server)
	}
	return verdict{}
}

// decide returns the decision of an agent on a packet, made as in the agent process. No agent accepts a packet with a
// short header that it cannot decode: that would reset the flow, whose owner may only be unreachable.
func (sim *simulation) decide(a *agent, packet []byte, evidence placement.Evidence, candidates []uint32, hops int) placement.Decision {
	id, long, err := placement.DestinationConnectionID(packet)
	if err != nil {
		return placement.Decision{Action: placement.ActionRefuse}
	}
	if owner, ok := a.codec.Decode(id); ok {
		return a.acceptor.DecideByOwner(sim.now, owner, a.self, evidence, a.peers)
	}
	if long {
		return a.acceptor.Decide(sim.now, placement.FlowHash(id), a.load(), a.peers, candidates, hops)
	}
	d := a.acceptor.Search(sim.now, false, a.load(), a.peers, candidates)
	if d.Action == placement.ActionAccept {
		d.Action = placement.ActionRefuse
	}
	return d
}

// pass sends a packet from one agent to another and returns the receiver, or nil if the packet is lost.
func (sim *simulation) pass(from *agent, server uint32) *agent {
	a := sim.agentOf(server)
	if a == nil || !a.running(sim.now) || !sim.reachable(from.upstream.Place, a.upstream.Place) {
		return nil
	}
	return a
}
