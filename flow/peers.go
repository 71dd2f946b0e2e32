package flow

import (
	"slices"
	"time"
)

const (
	// leastPeers is how many servers must have told of their requests before medians are formed.
	leastPeers = 3
	// peersInterval is how long the medians of a service are used.
	peersInterval = 200 * time.Millisecond
)

// Peers returns what the servers of an agent's service have in common.
func (d *Director) Peers(now time.Duration, of IP) Peers {
	a := d.agents[of]
	if a == nil || d.byHash[a.service] == nil {
		return Peers{}
	}
	s := d.byHash[a.service]
	if s.compared == 0 || now-s.compared >= peersInterval {
		s.peers, s.compared = d.compare(s), now
	}
	return s.peers
}

// compare forms the medians of the servers of a service.
func (d *Director) compare(s *service) Peers {
	var times []time.Duration
	var shares []float64
	for _, holder := range s.holders {
		if w := &d.agents[address(holder.Number)].word; w.ServiceTime > 0 {
			times = append(times, w.ServiceTime)
			shares = append(shares, w.Failing)
		}
	}
	if len(times) < leastPeers {
		return Peers{}
	}
	slices.Sort(times)
	slices.Sort(shares)
	return Peers{ServiceTime: times[len(times)/2], Failing: shares[len(shares)/2]}
}
