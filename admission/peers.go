package admission

import (
	"math/rand"
)

// Peer is another server of the service that may run a request.
type Peer struct {
	Server uint32
	// InFlight is how many requests this process has sent to the peer and not heard back about.
	InFlight int
	// Busy, Slots and Queued are what the peer last reported; they lag.
	Busy   int
	Slots  int
	Queued int
}

// free returns how many slots the peer is thought to have left.
func (p Peer) free() int {
	return p.Slots - max(p.Busy, p.InFlight) - p.Queued
}

// Choose picks two peers with a free slot at random and returns the one with fewer own requests in
// flight, then with more free slots by its report.
func Choose(peers []Peer, rnd *rand.Rand) (server uint32, ok bool) {
	candidates := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if peer.free() > 0 {
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	a := candidates[rnd.Intn(len(candidates))]
	b := candidates[rnd.Intn(len(candidates))]
	if better(b, a) {
		return b.Server, true
	}
	return a.Server, true
}

func better(a, b Peer) bool {
	if a.InFlight != b.InFlight {
		return a.InFlight < b.InFlight
	}
	return a.free() > b.free()
}
