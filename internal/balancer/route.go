package balancer

import (
	"net/netip"

	"github.com/bramleyrack/bramleyrack/placement"
)

// routeKind says how the agent of a packet was found.
type routeKind uint8

const (
	// routeOwner goes to the owner that the connection ID names.
	routeOwner routeKind = iota
	// routeNew goes to the first rank of a new flow.
	routeNew
	// routeOrphan goes to a live agent, since the owner is gone or not known here. That agent
	// passes the packet on or resets the flow.
	routeOrphan
	// routeSearch goes along the ranks of all agents, since the packet names no owner.
	routeSearch
	// routeMalformed is dropped.
	routeMalformed
	// routeOtherService is dropped, since the flow belongs to another service.
	routeOtherService
	// routeNoAgent is dropped, since the service has no upstream.
	routeNoAgent
	routeKinds
)

var routeNames = [routeKinds]string{
	"owner", "new", "orphan", "search", "malformed", "other_service", "no_agent",
}

// maxCandidates bounds the ranks that follow in the header of a datagram.
const maxCandidates = 8

// route is where a packet goes. Its candidates are valid until the next call.
type route struct {
	kind  routeKind
	agent *agent
	// flow is the hash that the ranks were computed from.
	flow       uint64
	candidates []uint32
}

// router finds routes. Each goroutine has its own, for the memory of the ranks.
type router struct {
	codec *placement.Codec
	ranks []uint32
}

// route returns the route of a caller's packet to a service.
func (r *router) route(s *serviceTable, packet []byte, caller netip.AddrPort) route {
	id, long, err := placement.DestinationConnectionID(packet)
	if err != nil {
		return route{kind: routeMalformed}
	}
	if owner, ok := r.codec.Decode(id); ok {
		return r.routeOwned(s, owner, id)
	}
	if !long {
		return r.search(s, callerHash(caller))
	}
	return r.ranked(s, routeNew, placement.FlowHash(id))
}

func (r *router) routeOwned(s *serviceTable, owner placement.Owner, id []byte) route {
	if owner.Service != s.number {
		return route{kind: routeOtherService}
	}
	if a := s.agents[owner.Server]; a != nil && !a.gone {
		return route{kind: routeOwner, agent: a}
	}
	return r.ranked(s, routeOrphan, placement.FlowHash(id))
}

// ranked routes to the first rank. The place of the balancer does not count: packets of one
// handshake may reach balancers of several places, and all must name the same agent.
func (r *router) ranked(s *serviceTable, kind routeKind, flow uint64) route {
	r.ranks = placement.Rank(r.ranks[:0], flow, "", s.candidates)
	if len(r.ranks) == 0 {
		return route{kind: routeNoAgent}
	}
	candidates := r.ranks[1:]
	return route{
		kind:       kind,
		flow:       flow,
		agent:      s.agents[r.ranks[0]],
		candidates: candidates[:min(len(candidates), maxCandidates)],
	}
}

// search routes along the ranks of all agents, and at last to the first rank again, which accepts
// the flow if none owns it.
func (r *router) search(s *serviceTable, flow uint64) route {
	r.ranks = placement.Rank(r.ranks[:0], flow, "", s.known)
	if len(r.ranks) == 0 {
		return route{kind: routeNoAgent}
	}
	first := r.ranks[0]
	if len(r.ranks) > 1 {
		r.ranks = append(r.ranks, first)
	}
	return route{kind: routeSearch, agent: s.agents[first], candidates: r.ranks[1:]}
}

func callerHash(caller netip.AddrPort) uint64 {
	ip := caller.Addr().As16()
	var key [18]byte
	copy(key[:], ip[:])
	key[16], key[17] = byte(caller.Port()>>8), byte(caller.Port())
	return placement.FlowHash(key[:])
}
