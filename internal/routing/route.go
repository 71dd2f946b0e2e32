package routing

import (
	"net/netip"

	"github.com/bramleyrack/bramleyrack/placement"
)

// Kind is how the agent of a packet was found, or why the packet is dropped.
type Kind uint8

// The kinds of routes.
const (
	// KindOwner routes go to the owner that the connection ID names.
	KindOwner Kind = iota
	// KindNew routes go to the highest-ranked agent for a new flow.
	KindNew
	// KindOrphan routes go to a live agent, since the owner is gone or unknown to this balancer. That
	// agent forwards the packet or resets the flow.
	KindOrphan
	// KindSearch routes go from agent to agent in rank order, since the packet names no owner.
	KindSearch
	// KindMalformed packets are dropped.
	KindMalformed
	// KindOtherService packets are dropped, since the flow belongs to another service.
	KindOtherService
	// KindNoAgent packets are dropped, since the service has no upstream.
	KindNoAgent
	// NumKinds is the number of kinds.
	NumKinds
)

var kindNames = [NumKinds]string{
	"owner", "new", "orphan", "search", "malformed", "other_service", "no_agent",
}

// String returns the name of the kind as used in counters.
func (k Kind) String() string {
	return kindNames[k]
}

// MaxCandidates is the maximum number of candidates in the route of a new or orphaned flow.
const MaxCandidates = 8

// Route is the destination of a packet. Candidates is valid until the next call of the router.
type Route struct {
	Kind Kind
	// Agent is nil if the packet is dropped.
	Agent *Agent
	// Flow is the hash from which the rank order was computed.
	Flow uint64
	// Candidates are the numbers of the servers that follow Agent in rank order.
	Candidates []uint32
	// Evidence is what is known about the owner of an orphaned flow.
	Evidence placement.Evidence
}

// Router looks up routes. It is not safe for concurrent use.
type Router struct {
	codec *placement.Codec
	ranks []uint32
}

// NewRouter returns a router that decodes connection IDs with codec.
func NewRouter(codec *placement.Codec) *Router {
	return &Router{codec: codec}
}

// Route returns the route of a packet from a caller to a service.
func (r *Router) Route(s *Service, packet []byte, caller netip.AddrPort) Route {
	id, long, err := placement.DestinationConnectionID(packet)
	if err != nil {
		return Route{Kind: KindMalformed}
	}
	if owner, ok := r.codec.Decode(id); ok {
		return r.routeOwned(s, owner, id)
	}
	if !long {
		return r.routeSearch(s, callerHash(caller))
	}
	return r.routeRanked(s, KindNew, placement.FlowHash(id))
}

func (r *Router) routeOwned(s *Service, owner placement.Owner, id []byte) Route {
	if owner.Service != s.Number {
		return Route{Kind: KindOtherService}
	}
	a := s.agents[owner.Server]
	if a != nil && !a.gone {
		return Route{Kind: KindOwner, Agent: a}
	}
	route := r.routeRanked(s, KindOrphan, placement.FlowHash(id))
	route.Evidence = a.evidence()
	return route
}

// evidence distinguishes an agent that is gone from one that is not in the table.
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

// routeRanked routes to the highest-ranked agent. The balancer's own place gets no preference:
// packets of one handshake may arrive at balancers in several places, which must all choose the
// same agent.
func (r *Router) routeRanked(s *Service, kind Kind, flow uint64) Route {
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

// routeSearch routes from agent to agent in rank order and finally to the first one again, which
// accepts the flow if no agent owns it.
func (r *Router) routeSearch(s *Service, flow uint64) Route {
	r.ranks = placement.Rank(r.ranks[:0], flow, "", s.withRemoved)
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
