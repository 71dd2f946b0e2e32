// Package dissemination decides who reads published values and how they spread to everyone.
//
// In each place a few processes, the readers, watch the platform. They hand each revision down a
// relay tree that every process computes alike from the list of members. A process that lags asks
// a peer, and one that hears nothing reads the platform within a budget. The package is pure: time
// and randomness are passed in.
package dissemination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order returns the members of a place by rendezvous rank, the same for every process with the
// same list. A member that joins or leaves moves few others.
func Order(place string, members []string) []string {
	type ranked struct {
		score   uint64
		address string
	}
	seed := xxhash.Sum64String(place)
	ranking := make([]ranked, 0, len(members))
	for _, address := range members {
		ranking = append(ranking, ranked{score: mix(seed ^ xxhash.Sum64String(address)), address: address})
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	order := make([]string, 0, len(ranking))
	for _, r := range ranking {
		order = append(order, r.address)
	}
	return order
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// Tree is the relay tree of one place.
type Tree struct {
	order    []string
	position map[string]int
	readers  int
	fanout   int
}

// NewTree returns the tree over an order: the first members are readers, and each member relays
// to as many children as the fan-out.
func NewTree(order []string, readers, fanout int) *Tree {
	t := &Tree{
		order:    order,
		position: make(map[string]int, len(order)),
		readers:  max(1, min(readers, len(order))),
		fanout:   max(1, fanout),
	}
	for i, address := range order {
		t.position[address] = i
	}
	return t
}

// IsReader reports whether the member watches the platform.
func (t *Tree) IsReader(address string) bool {
	i, ok := t.position[address]
	return ok && i < t.readers
}

// Readers returns the members that watch the platform.
func (t *Tree) Readers() []string {
	return t.order[:min(t.readers, len(t.order))]
}

// Children returns the members that the given one relays to.
func (t *Tree) Children(address string) []string {
	i, ok := t.position[address]
	if !ok {
		return nil
	}
	first := min(t.readers+i*t.fanout, len(t.order))
	last := min(first+t.fanout, len(t.order))
	return t.order[first:last]
}

// Parent returns the member that relays to the given one. Readers have none.
func (t *Tree) Parent(address string) (string, bool) {
	i, ok := t.position[address]
	if !ok || i < t.readers {
		return "", false
	}
	return t.order[(i-t.readers)/t.fanout], true
}

// Depth returns how many relays lie between the readers and the given member.
func (t *Tree) Depth(address string) int {
	depth := 0
	for {
		parent, ok := t.Parent(address)
		if !ok {
			return depth
		}
		address = parent
		depth++
	}
}

// MaxDepth returns the depth of the member that is reached last.
func (t *Tree) MaxDepth() int {
	if len(t.order) == 0 {
		return 0
	}
	return t.Depth(t.order[len(t.order)-1])
}

// Shape holds what the fan-out of a relay tree depends on.
type Shape struct {
	// Members is the size of the place.
	Members int
	// Readers is how many of them watch the platform.
	Readers int
	// ValueBytes is the size of a relayed message.
	ValueBytes int
	// BytesPerSecond is the rate at which a relay may send beyond its burst.
	BytesPerSecond int
	// BurstBytes is what a relay may send at once.
	BurstBytes int
	// HopLatency is the time for one message between two members.
	HopLatency time.Duration
}

// largestFanout bounds the links of a relay.
const largestFanout = 32

// Fanout returns the fan-out that brings a message to the last member soonest. A wide tree is
// shallow, but each relay then needs longer to send to all its children.
func Fanout(shape Shape) int {
	best, bestTime := 2, time.Duration(math.MaxInt64)
	for fanout := 2; fanout <= largestFanout; fanout++ {
		total := shape.Time(fanout)
		if total < bestTime {
			best, bestTime = fanout, total
		}
	}
	return best
}

// Time returns how long a message takes to the last member at a fan-out.
func (s Shape) Time(fanout int) time.Duration {
	reached, layer, depth := max(1, s.Readers), max(1, s.Readers), 0
	for reached < s.Members {
		layer *= fanout
		reached += layer
		depth++
	}
	return time.Duration(depth) * (s.HopLatency + s.sendTime(fanout))
}

func (s Shape) sendTime(fanout int) time.Duration {
	excess := fanout*s.ValueBytes - s.BurstBytes
	if excess <= 0 || s.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(excess) / float64(s.BytesPerSecond) * float64(time.Second))
}
