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

// PeerStats returns what the servers of an agent's service have in common.
func (d *Director) PeerStats(now time.Duration, of IP) PeerStats {
	a := d.agents[of]
	if a == nil || d.byHash[a.service] == nil {
		return PeerStats{}
	}
	s := d.byHash[a.service]
	if s.compared == 0 || now-s.compared >= peersInterval {
		s.peers, s.compared = d.compare(s), now
	}
	return s.peers
}

// compare forms the medians of the servers of a service.
func (d *Director) compare(s *service) PeerStats {
	var times []time.Duration
	var shares []float64
	for _, holder := range s.holders {
		if w := &d.agents[address(holder.Number)].word; w.ServiceTime > 0 {
			times = append(times, w.ServiceTime)
			shares = append(shares, w.FailureRate)
		}
	}
	if len(times) < leastPeers {
		return PeerStats{}
	}
	slices.Sort(times)
	slices.Sort(shares)
	return PeerStats{ServiceTime: times[len(times)/2], FailureRate: shares[len(shares)/2]}
}
