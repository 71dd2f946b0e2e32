package flow

import (
	"slices"
	"time"
)

const (
	// leastPeers is how many servers must have told of their requests before medians are formed.
	leastPeers = 3
	// peersInterval is the time between two looks at the servers of all services.
	peersInterval = 200 * time.Millisecond
)

// Peers returns what the servers of an agent's service have in common.
func (d *Director) Peers(now time.Duration, of IP) Peers {
	if now-d.peersAt >= peersInterval || d.peers == nil {
		d.compare()
		d.peersAt = now
	}
	a := d.agents[of]
	if a == nil {
		return Peers{}
	}
	return d.peers[a.service]
}

// compare forms the medians of each service.
func (d *Director) compare() {
	times := map[uint64][]time.Duration{}
	failing := map[uint64][]float64{}
	for _, a := range d.order {
		if a.present && a.word.ServiceTime > 0 {
			times[a.service] = append(times[a.service], a.word.ServiceTime)
			failing[a.service] = append(failing[a.service], a.word.Failing)
		}
	}
	d.peers = make(map[uint64]Peers, len(times))
	for service, all := range times {
		if len(all) < leastPeers {
			continue
		}
		slices.Sort(all)
		shares := failing[service]
		slices.Sort(shares)
		d.peers[service] = Peers{ServiceTime: all[len(all)/2], Failing: shares[len(shares)/2]}
	}
}
