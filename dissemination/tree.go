// Package dissemination decides which processes read published values and how the values reach all
// others.
//
// In each place a few processes, the readers, watch the platform. They send each revision down a relay
// tree that every process computes from the same member list with the same result. A process that is
// behind fetches from a peer. A process that gets no confirmations reads the platform, within a call
// budget.
//
// A Pacer does the same without a tree for the store of package registry, which one process reads for
// all. The package has no side effects: the time and the source of randomness are passed in.
package dissemination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order returns the members of a place in the order of their rendezvous hash. All processes with the
// same list compute the same order. A member that joins or leaves does not change the relative order
// of the others.
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

// mix is the 64-bit finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// RelayTree is the relay tree of one place.
type RelayTree struct {
	order    []string
	position map[string]int
	readers  int
	fanout   int
}

// NewRelayTree returns the relay tree of ordered members. The first ones are the readers, and each
// member relays to up to fanout children.
func NewRelayTree(order []string, readers, fanout int) *RelayTree {
	t := &RelayTree{
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
func (t *RelayTree) IsReader(address string) bool {
	i, ok := t.position[address]
	return ok && i < t.readers
}

// Readers returns the members that watch the platform.
func (t *RelayTree) Readers() []string {
	return t.order[:min(t.readers, len(t.order))]
}

// Children returns the members to which the given member relays.
func (t *RelayTree) Children(address string) []string {
	i, ok := t.position[address]
	if !ok {
		return nil
	}
	first := min(t.readers+i*t.fanout, len(t.order))
	last := min(first+t.fanout, len(t.order))
	return t.order[first:last]
}

// Parent returns the member that relays to the given member, or false if the given member is a reader
// or not in the relay tree.
func (t *RelayTree) Parent(address string) (string, bool) {
	i, ok := t.position[address]
	if !ok || i < t.readers {
		return "", false
	}
	return t.order[(i-t.readers)/t.fanout], true
}

// Depth returns the number of hops from a reader to the given member.
func (t *RelayTree) Depth(address string) int {
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

// MaxDepth returns the depth of the last member, which is the maximum.
func (t *RelayTree) MaxDepth() int {
	if len(t.order) == 0 {
		return 0
	}
	return t.Depth(t.order[len(t.order)-1])
}

// Shape holds the parameters on which the best fan-out of a relay tree depends.
type Shape struct {
	Members int
	Readers int
	// ValueBytes is the size of a relayed message.
	ValueBytes int
	// BytesPerSecond is the sustained rate at which a relay may send after its burst.
	BytesPerSecond int
	// BurstBytes is the amount that a relay may send without a rate limit.
	BurstBytes int
	// HopLatency is the latency of one message between two members.
	HopLatency time.Duration
}

// maxFanout limits the number of links of a relay.
const maxFanout = 32

// Fanout returns the fan-out with the shortest time until a message reaches the last member. A wider
// tree has fewer levels, but each relay takes longer to send to all its children.
func Fanout(shape Shape) int {
	best, bestTime := 2, time.Duration(math.MaxInt64)
	for fanout := 2; fanout <= maxFanout; fanout++ {
		total := shape.Time(fanout)
		if total < bestTime {
			best, bestTime = fanout, total
		}
	}
	return best
}

// Time returns how long a message takes to reach the last member with the given fan-out.
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
