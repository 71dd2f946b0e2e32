package flow

import (
	"slices"
	"time"
)

const (
	// minPeers is the number of servers with a known service time below which no medians are computed.
	minPeers = 3
	// peersTTL is how long the cached medians of a service are used.
	peersTTL = 200 * time.Millisecond
)

// Peers returns the medians over the servers of the service to which an agent's server belongs.
func (d *Director) Peers(now time.Duration, of IP) Peers {
	a := d.agents[of]
	if a == nil || d.byHash[a.service] == nil {
		return Peers{}
	}
	s := d.byHash[a.service]
	if s.peersUpdated == 0 || now-s.peersUpdated >= peersTTL {
		s.peers, s.peersUpdated = d.medians(s), now
	}
	return s.peers
}

// medians computes the medians over the servers of a service.
func (d *Director) medians(s *service) Peers {
	var times []time.Duration
	var shares []float64
	for _, upstream := range s.holders {
		if status := &d.agents[ipFromNumber(upstream.Number)].status; status.ServiceTime > 0 {
			times = append(times, status.ServiceTime)
			shares = append(shares, status.Failing)
		}
	}
	if len(times) < minPeers {
		return Peers{}
	}
	slices.Sort(times)
	slices.Sort(shares)
	return Peers{ServiceTime: times[len(times)/2], Failing: shares[len(shares)/2]}
}
