package routing

import (
	"net/netip"

	"github.com/bramleyrack/bramleyrack/placement"
)

// Kind says how the agent of a packet was found.
type Kind uint8

// The kinds of routes.
const (
	// KindOwner goes to the owner that the connection ID names.
	KindOwner Kind = iota
	// KindNew goes to the first rank of a new flow.
	KindNew
	// KindOrphan goes to a live agent, since the owner is gone or not known here. That agent passes the
	// packet on or resets the flow.
	KindOrphan
	// KindSearch goes along the ranks of all agents, since the packet names no owner.
	KindSearch
	// KindMalformed is dropped.
	KindMalformed
	// KindOtherService is dropped, since the flow belongs to another service.
	KindOtherService
	// KindNoAgent is dropped, since the service has no upstream.
	KindNoAgent
	// NumKinds is the number of kinds.
	NumKinds
)

var kindNames = [NumKinds]string{
	"owner", "new", "orphan", "search", "malformed", "other_service", "no_agent",
}

// String returns the name of a kind in counters.
func (k Kind) String() string {
	return kindNames[k]
}

// MaxCandidates bounds the ranks that follow the first one of a new flow.
const MaxCandidates = 8

// Route is where a packet goes. Its candidates are valid until the next call of the router.
type Route struct {
	Kind Kind
	// Agent is nil if the packet is dropped.
	Agent *Agent
	// Flow is the hash that the ranks were computed from.
	Flow uint64
	// Candidates are the servers that follow in rank.
	Candidates []uint32
	// Evidence is what is known of the owner of an orphan.
	Evidence placement.Evidence
}

// Router finds routes. It is not safe for concurrent use.
type Router struct {
	codec *placement.Codec
	ranks []uint32
}

// NewRouter returns a router that decodes owners with codec.
func NewRouter(codec *placement.Codec) *Router {
	return &Router{codec: codec}
}

// Route returns the route of a caller's packet to a service.
func (r *Router) Route(s *Service, packet []byte, caller netip.AddrPort) Route {
	id, long, err := placement.DestinationConnectionID(packet)
	if err != nil {
		return Route{Kind: KindMalformed}
	}
	if owner, ok := r.codec.Decode(id); ok {
		return r.owned(s, owner, id)
	}
	if !long {
		return r.search(s, callerHash(caller))
	}
	return r.ranked(s, KindNew, placement.FlowHash(id))
}

func (r *Router) owned(s *Service, owner placement.Owner, id []byte) Route {
	if owner.Service != s.Number {
		return Route{Kind: KindOtherService}
	}
	a := s.agents[owner.Server]
	if a != nil && !a.gone {
		return Route{Kind: KindOwner, Agent: a}
	}
	route := r.ranked(s, KindOrphan, placement.FlowHash(id))
	route.Evidence = a.evidence()
	return route
}

// evidence tells a gone agent from one that the table does not hold.
func (a *Agent) evidence() placement.Evidence {
	switch {
	case a == nil:
		return placement.EvidenceNone
	case a.refused:
		return placement.EvidenceRefused
	default:
		return placement.EvidenceGone
	}
}

// ranked routes to the first rank. The place of the balancer does not count: packets of one
// handshake may reach balancers of several places, and all must name the same agent.
func (r *Router) ranked(s *Service, kind Kind, flow uint64) Route {
	r.ranks = placement.Rank(r.ranks[:0], flow, "", s.candidates)
	if len(r.ranks) == 0 {
		return Route{Kind: KindNoAgent}
	}
	candidates := r.ranks[1:]
	return Route{
		Kind:       kind,
		Agent:      s.agents[r.ranks[0]],
		Flow:       flow,
		Candidates: candidates[:min(len(candidates), MaxCandidates)],
	}
}

// search routes along the ranks of all agents, and at last to the first rank again, which accepts
// the flow if none owns it.
func (r *Router) search(s *Service, flow uint64) Route {
	r.ranks = placement.Rank(r.ranks[:0], flow, "", s.known)
	if len(r.ranks) == 0 {
		return Route{Kind: KindNoAgent}
	}
	first := r.ranks[0]
	if len(r.ranks) > 1 {
		r.ranks = append(r.ranks, first)
	}
	return Route{Kind: KindSearch, Agent: s.agents[first], Flow: flow, Candidates: r.ranks[1:]}
}

func callerHash(caller netip.AddrPort) uint64 {
	ip := caller.Addr().As16()
	var key [18]byte
	copy(key[:], ip[:])
	key[16], key[17] = byte(caller.Port()>>8), byte(caller.Port())
	return placement.FlowHash(key[:])
}
