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

// PeerStats returns the medians over the servers of the service to which an agent's server belongs.
func (d *Director) PeerStats(now time.Duration, ip IP) PeerStats {
	a := d.agents[ip]
	if a == nil || d.byHash[a.service] == nil {
		return PeerStats{}
	}
	s := d.byHash[a.service]
	if s.peersUpdated == 0 || now-s.peersUpdated >= peersTTL {
		s.peers, s.peersUpdated = d.medians(s), now
		if routeTimesDue(now) {
			s.peers.RouteTimes = d.routeMedians(now, s)
		}
	}
	return s.peers
}

func (d *Director) medians(s *service) PeerStats {
	var serviceTimes []time.Duration
	var failureRates []float64
	for _, upstream := range s.holders {
		if status := &d.agents[ipFromNumber(upstream.Number)].status; status.serviceTime > 0 {
			serviceTimes = append(serviceTimes, status.serviceTime)
			failureRates = append(failureRates, status.failureRate)
		}
	}
	if len(serviceTimes) < minPeers {
		return PeerStats{}
	}
	slices.Sort(serviceTimes)
	slices.Sort(failureRates)
	return PeerStats{ServiceTime: serviceTimes[len(serviceTimes)/2], FailureRate: failureRates[len(failureRates)/2]}
}
