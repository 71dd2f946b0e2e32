package flow

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bramleyrack/bramleyrack/placement"
)

// maxWaiting bounds the packets of one flow that wait for a search; a sender has at most 16 packets in flight.
const maxWaiting = 16

// search is a search for the owner of a flow. Its first round asks the highest-ranked agents one after the other,
// and its second round asks all others in several parallel chains.
type search struct {
	number  uint64
	started time.Duration
	packet  Packet
	raw     []byte
	// remaining holds the agents of the second round.
	remaining []IP
	// chains is the number of chains that have not reported a denial yet.
	chains int
	// changed is the revision of the last change in the view when the search began. outdated is set if an agent
	// knew of a later one, so that a newer server may hold the flow.
	changed  uint64
	outdated bool
	// waiting holds further packets of the flow.
	waiting []QueuedPacket
}

// QueuedPacket is a packet that waited for the search for the owner of its flow.
type QueuedPacket struct {
	Packet Packet
	Raw    []byte
}

// searches holds the searches in progress by flow.
type searches struct {
	// lastNumber is the number of the search that was started last.
	lastNumber uint64
	lru        *simplelru.LRU[Key, *search]
	// inconclusive holds the searches that all agents have denied although a server that the view did not name may
	// hold the flow, the earliest first.
	inconclusive []*search
}

func newSearches(config DirectorConfig) searches {
	lru, err := simplelru.NewLRU[Key, *search](config.MaxSearches, nil)
	if err != nil {
		panic(err)
	}
	return searches{lru: lru}
}

// search starts a search for the owner of a flow, or queues the packet if one is in progress. It skips the
// excluded agent, which has already denied the flow.
func (d *Director) search(now time.Duration, p *Packet, raw []byte, excluded IP) Decision {
	if p.Kind == Resetting {
		return Decision{Reason: "reset of an unknown flow"}
	}
	r := d.routes[p.Key.Service]
	if r == nil {
		return d.refuse(now, p, "no route")
	}
	previous, repeated := d.searches.lru.Get(p.Key)
	if repeated && now-previous.started < d.config.SearchTimeout {
		if len(previous.waiting) < maxWaiting {
			previous.waiting = append(previous.waiting, QueuedPacket{Packet: *p, Raw: slices.Clone(raw)})
		}
		return Decision{Reason: "a search for the owner of the flow is in progress"}
	}
	list := d.searchOrder(now, r, p.Key, excluded)
	switch {
	case len(list) == 0 && d.missingMeansRemoved(now):
		return resetFlow(p, "no server holds the flow")
	case len(list) == 0:
		return Decision{Reason: "no agent to search for the flow"}
	}
	d.searches.lastNumber++
	s := &search{number: d.searches.lastNumber, started: now, packet: *p, raw: slices.Clone(raw), remaining: list, changed: d.view.Changed}
	d.searches.lru.Add(p.Key, s)
	if repeated {
		// The first search found no owner in time, perhaps because an agent does not answer. Ask all agents at
		// once.
		return d.startChains(s, len(list), 1)
	}
	return d.startChains(s, d.config.ChainLength, d.config.ChainLength)
}

// startChains starts chains of the given length over the next agents of a search.
func (d *Director) startChains(s *search, agents, length int) Decision {
	agents = min(agents, len(s.remaining))
	round := s.remaining[:agents]
	s.remaining = s.remaining[agents:]
	var branches []Branch
	for chain := range slices.Chunk(round, length) {
		branches = append(branches, Branch{To: chain[0], Request: Request{
			Purpose:   PurposeSearch,
			Service:   d.agents[chain[0]].service,
			Version:   d.view.Version(),
			Remaining: chain[1:],
			SearchID:  s.number,
			Changed:   d.view.Changed,
		}})
	}
	s.chains = len(branches)
	return Decision{Action: Forward, To: branches[0].To, Request: branches[0].Request, Branches: branches[1:]}
}

// searchOrder returns the agents whose servers may hold a flow, in the order in which to ask them. Unresponsive
// ones come last.
func (d *Director) searchOrder(now time.Duration, r *route, key Key, excluded IP) []IP {
	var list []IP
	var unresponsiveAgents []IP
	for _, s := range r.services {
		d.rankBuf = placement.Rank(d.rankBuf[:0], key.Hash(), d.config.Place, s.holders)
		for _, number := range d.rankBuf {
			ip := ipFromNumber(number)
			switch {
			case ip == excluded:
			case d.agents[ip].unresponsive(now, d.config.UnresponsiveAfter):
				unresponsiveAgents = append(unresponsiveAgents, ip)
			default:
				list = append(list, ip)
			}
		}
	}
	return append(list, unresponsiveAgents...)
}

// Denial is the report of the last agent in a chain that none of the chain's agents holds the flow.
type Denial struct {
	Key      Key
	SearchID uint64
	// Outdated is set if an agent knew of a later change of the view than the searching balancer, so that a newer
	// server may hold the flow.
	Outdated bool
}

// HandleDenial handles a denial and decides how its search continues. The packet is nil if there is nothing to do.
func (d *Director) HandleDenial(now time.Duration, denial Denial) (Decision, *Packet, []byte) {
	s, ok := d.searches.lru.Peek(denial.Key)
	if !ok || s.number != denial.SearchID {
		return Decision{}, nil, nil
	}
	s.chains--
	s.outdated = s.outdated || denial.Outdated
	switch {
	case s.chains > 0:
		return Decision{}, nil, nil
	case len(s.remaining) > 0:
		return d.startChains(s, len(s.remaining), d.config.ChainLength), &s.packet, s.raw
	}
	d.searches.lru.Remove(denial.Key)
	if d.provesLoss(now, s) {
		return resetFlow(&s.packet, "no server holds the flow"), &s.packet, s.raw
	}
	d.searches.inconclusive = append(d.searches.inconclusive, s)
	return Decision{Reason: "no server is known to hold the flow, but the search is inconclusive"}, &s.packet, s.raw
}

// provesLoss reports whether the denials of a search prove that its flow is lost, which requires that the view
// named all servers that may hold it.
func (d *Director) provesLoss(now time.Duration, s *search) bool {
	return !s.outdated && s.changed == d.view.Changed && d.missingMeansRemoved(now)
}

// NextResumedSearch returns the next decision on an inconclusive search. The search starts again once the view has
// changed, and the flow is reset once the view is known to be complete. The packet is nil if there is no decision.
func (d *Director) NextResumedSearch(now time.Duration) (Decision, *Packet, []byte) {
	for i := 0; i < len(d.searches.inconclusive); i++ {
		s := d.searches.inconclusive[i]
		expired := now-s.started > d.config.ResumeTimeout
		proved := d.provesLoss(now, s)
		if !expired && !proved && s.changed == d.view.Changed {
			continue
		}
		d.searches.inconclusive = slices.Delete(d.searches.inconclusive, i, i+1)
		i--
		switch {
		case expired || d.hints.get(now, s.packet.Key) != nil:
		case proved:
			return resetFlow(&s.packet, "no server holds the flow"), &s.packet, s.raw
		default:
			return d.search(now, &s.packet, s.raw, IP{}), &s.packet, s.raw
		}
	}
	return Decision{}, nil, nil
}

// finishSearch ends the search for a flow and returns the packets that waited for it.
func (d *Director) finishSearch(key Key) []QueuedPacket {
	s, ok := d.searches.lru.Peek(key)
	if !ok {
		return nil
	}
	d.searches.lru.Remove(key)
	return s.waiting
}
