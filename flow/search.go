package flow

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bramleyrack/bramleyrack/placement"
)

// maxWaiting bounds the packets of one flow that wait for a search; a sender has at most 16 under way.
const maxWaiting = 16

// search is the search for the owner of a flow. Its first round asks the agents of the highest ranks one after
// the other, its second round all others, in several chains at once.
type search struct {
	number  uint64
	started time.Duration
	packet  Packet
	raw     []byte
	// rest are the agents of the second round.
	rest []IP
	// chains is how many chains have not reported a denial.
	chains int
	// changed is the last change that the view knew when the search began, and outdated says that an agent knew of
	// a later one, so that a newer server may hold the flow.
	changed  uint64
	outdated bool
	// waiting are further packets of the flow.
	waiting []QueuedPacket
}

// QueuedPacket is a packet that waited for the owner of its flow.
type QueuedPacket struct {
	Packet Packet
	Raw    []byte
}

// searches holds the searches under way by flow.
type searches struct {
	number uint64
	lru    *simplelru.LRU[Key, *search]
	// unproved are searches that everyone has denied although a server may hold the flow that the view did not name,
	// the earliest first.
	unproved []*search
}

func newSearches(config DirectorConfig) searches {
	lru, err := simplelru.NewLRU[Key, *search](config.MaxSearches, nil)
	if err != nil {
		panic(err)
	}
	return searches{lru: lru}
}

// search has the agents find the owner of a flow. except has already denied it.
func (d *Director) search(now time.Duration, p *Packet, raw []byte, except IP) Decision {
	if p.Kind == Resetting {
		return Decision{Reason: "reset of an unknown flow"}
	}
	r := d.routes[p.Key.Service]
	if r == nil {
		return d.refuse(now, p, "no route")
	}
	before, again := d.searches.lru.Get(p.Key)
	if again && now-before.started < d.config.SearchTimeout {
		if len(before.waiting) < maxWaiting {
			before.waiting = append(before.waiting, QueuedPacket{Packet: *p, Raw: slices.Clone(raw)})
		}
		return Decision{Reason: "the owner of the flow is being searched"}
	}
	list := d.holders(now, r, p.Key, except)
	switch {
	case len(list) == 0 && d.settled(now):
		return resetFlow(p, "no server holds the flow")
	case len(list) == 0:
		return Decision{Reason: "no agent to ask for the flow"}
	}
	d.searches.number++
	s := &search{number: d.searches.number, started: now, packet: *p, raw: slices.Clone(raw), rest: list, changed: d.view.Changed}
	d.searches.lru.Add(p.Key, s)
	if again {
		// The first search found nobody in time: an agent may not answer. Everyone is asked at once.
		return d.ask(s, len(list), 1)
	}
	return d.ask(s, d.config.ChainLength, d.config.ChainLength)
}

// ask starts chains of a length over the next agents of a search.
func (d *Director) ask(s *search, agents, length int) Decision {
	agents = min(agents, len(s.rest))
	round := s.rest[:agents]
	s.rest = s.rest[agents:]
	var branches []Branch
	for chain := range slices.Chunk(round, length) {
		branches = append(branches, Branch{To: chain[0], Request: Request{
			Purpose:   Search,
			Service:   d.agents[chain[0]].service,
			Version:   d.view.Version(),
			Remaining: chain[1:],
			Search:    s.number,
			Changed:   d.view.Changed,
		}})
	}
	s.chains = len(branches)
	return Decision{Action: Forward, To: branches[0].To, Request: branches[0].Request, Branches: branches[1:]}
}

// holders returns the agents whose servers may hold a flow, in the order in which to ask them. Those that do not
// answer come last.
func (d *Director) holders(now time.Duration, r *route, key Key, except IP) []IP {
	var list []IP
	var silent []IP
	for _, s := range r.services {
		d.ranks = placement.Rank(d.ranks[:0], key.Hash(), d.config.Place, s.holders)
		for _, rank := range d.ranks {
			ip := address(rank)
			switch {
			case ip == except:
			case d.agents[ip].doubtful(now, d.config.UnresponsiveAfter):
				silent = append(silent, ip)
			default:
				list = append(list, ip)
			}
		}
	}
	return append(list, silent...)
}

// Denial is the report of the last agent of a chain that nobody in it holds the flow.
type Denial struct {
	Key    Key
	Search uint64
	// Outdated says that an agent knows of a change that the search did not, so that a newer server may hold the
	// flow.
	Outdated bool
}

// HandleDenial decides what becomes of a search. The packet is nil if nothing is to be done.
func (d *Director) HandleDenial(now time.Duration, denial Denial) (Decision, *Packet, []byte) {
	s, ok := d.searches.lru.Peek(denial.Key)
	if !ok || s.number != denial.Search {
		return Decision{}, nil, nil
	}
	s.chains--
	s.outdated = s.outdated || denial.Outdated
	switch {
	case s.chains > 0:
		return Decision{}, nil, nil
	case len(s.rest) > 0:
		return d.ask(s, len(s.rest), d.config.ChainLength), &s.packet, s.raw
	}
	d.searches.lru.Remove(denial.Key)
	if d.proves(now, s) {
		return resetFlow(&s.packet, "no server holds the flow"), &s.packet, s.raw
	}
	d.searches.unproved = append(d.searches.unproved, s)
	return Decision{Reason: "no server holds the flow, and not everyone was asked"}, &s.packet, s.raw
}

// proves reports whether the denials of a search prove that its flow is lost: the view named all servers that may
// hold it.
func (d *Director) proves(now time.Duration, s *search) bool {
	return !s.outdated && s.changed == d.view.Changed && d.settled(now)
}

// NextResumedSearch returns the next decision on a search that had proved nothing: it begins anew once the view has changed,
// and ends once the view is known to be complete. The packet is nil when there is none.
func (d *Director) NextResumedSearch(now time.Duration) (Decision, *Packet, []byte) {
	for i := 0; i < len(d.searches.unproved); i++ {
		s := d.searches.unproved[i]
		late := now-s.started > d.config.ResumeTimeout
		proved := d.proves(now, s)
		if !late && !proved && s.changed == d.view.Changed {
			continue
		}
		d.searches.unproved = slices.Delete(d.searches.unproved, i, i+1)
		i--
		switch {
		case late || d.hints.get(now, s.packet.Key) != nil:
		case proved:
			return resetFlow(&s.packet, "no server holds the flow"), &s.packet, s.raw
		default:
			return d.search(now, &s.packet, s.raw, IP{}), &s.packet, s.raw
		}
	}
	return Decision{}, nil, nil
}

// found ends the search for a flow and returns the packets that waited for it.
func (d *Director) found(key Key) []QueuedPacket {
	s, ok := d.searches.lru.Peek(key)
	if !ok {
		return nil
	}
	d.searches.lru.Remove(key)
	return s.waiting
}
