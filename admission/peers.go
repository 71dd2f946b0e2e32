package admission

import (
	"math/rand"
)

// Peer is another server of the same service, to which requests can be delegated.
type Peer struct {
	Server uint32
	// InFlight is the number of requests that this process has sent to the peer and that are not yet
	// answered.
	InFlight int
	// Busy, Slots and Queued are the values that the peer last reported, so they may be out of date.
	Busy   int
	Slots  int
	Queued int
}

// freeSlots returns the estimated number of free slots of the peer.
func (p Peer) freeSlots() int {
	return p.Slots - max(p.Busy, p.InFlight) - p.Queued
}

// ChoosePeer picks two random peers with a free slot (power of two choices) and returns the one with fewer
// requests in flight from this process, or on a tie the one with more estimated free slots.
func ChoosePeer(peers []Peer, rnd *rand.Rand) (server uint32, ok bool) {
	candidates := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if peer.freeSlots() > 0 {
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	a := candidates[rnd.Intn(len(candidates))]
	b := candidates[rnd.Intn(len(candidates))]
	if lessLoaded(b, a) {
		return b.Server, true
	}
	return a.Server, true
}

func lessLoaded(a, b Peer) bool {
	if a.InFlight != b.InFlight {
		return a.InFlight < b.InFlight
	}
	return a.freeSlots() > b.freeSlots()
}
