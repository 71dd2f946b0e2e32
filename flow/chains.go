package flow

import (
	"cmp"
	"slices"
	"time"
)

// The parts of the burst of search bytes that searches with short chains leave to others. After the loss of many servers
// at once, a search with long chains takes longer, but far more of them fit into the link.
const (
	directReserve = 0.5
	shortReserve  = 0.25
)

// startChains asks agents in parallel chains. If an earlier search found no owner in time, perhaps because an agent of
// a chain does not answer, it asks each agent directly while the link allows that. The less capacity the link has left for
// searches, the longer are the chains. If it has none, the search ends, and the client's next copy of the packet starts
// another one.
func (d *Director) startChains(now time.Duration, s *search, agents []holder, reason string) Decision {
	slices.SortStableFunc(agents, func(a, b holder) int { return cmp.Compare(a.service, b.service) })
	long := divide(agents, d.config.LongChainLength)
	if s.attempt > 0 {
		if direct := divide(agents, 1); d.takeSearchBytes(now, s, direct, directReserve) {
			return d.sendChains(s, direct, reason)
		}
	}
	if d.searches.lost < lostSearches {
		if short := divide(agents, d.config.ChainLength); len(short) > len(long) && d.takeSearchBytes(now, s, short, shortReserve) {
			return d.sendChains(s, short, reason)
		}
	}
	if d.takeSearchBytes(now, s, long, 0) {
		return d.sendChains(s, long, reason)
	}
	d.searches.lru.Remove(s.packet.Key)
	return Decision{Reason: "too many searches for the link"}
}

// chain is a list of agents of one service that are asked one after the other.
type chain struct {
	service uint64
	wide    bool
	agents  []IP
}

// divide divides agents into chains of at most the given length.
func divide(agents []holder, length int) []chain {
	var chains []chain
	for _, a := range agents {
		last := len(chains) - 1
		if last < 0 || chains[last].service != a.service || chains[last].wide != a.wide || len(chains[last].agents) >= length {
			chains = append(chains, chain{service: a.service, wide: a.wide})
			last++
		}
		chains[last].agents = append(chains[last].agents, a.ip)
	}
	return chains
}

func (d *Director) sendChains(s *search, chains []chain, reason string) Decision {
	var branches []Branch
	for _, c := range chains {
		branches = append(branches, Branch{To: c.agents[0], Request: Request{
			Purpose:   PurposeSearch,
			Service:   c.service,
			Version:   d.view.Version(),
			Remaining: c.agents[1:],
			SearchID:  s.number,
			Changed:   d.view.Changed,
			Wide:      c.wide,
		}})
	}
	s.chains = len(branches)
	return Decision{Action: Forward, To: branches[0].To, Request: branches[0].Request, Branches: branches[1:], Excluded: s.excluded, Reason: reason}
}

// searchOverhead is the approximate number of bytes that a datagram takes in addition to the packet that it carries.
const searchOverhead = 120

// takeSearchBytes reports whether the link has capacity for a copy of the search's packet to each chain, apart from a part
// of the burst that it leaves to others.
func (d *Director) takeSearchBytes(now time.Duration, s *search, chains []chain, reserve float64) bool {
	bytes := len(chains) * (searchOverhead + len(s.raw))
	if d.searchBytes.available(now)-float64(bytes) < reserve*d.searchBytes.burst {
		return false
	}
	return d.searchBytes.take(now, bytes)
}
