package admission

import (
	"math"
	"slices"
	"time"
)

// GroupBuckets is the number of groups that are told apart. Groups in the same bucket count as one.
const GroupBuckets = 256

const (
	// levelInterval is the time between two computations of the fair shares, which sort all buckets.
	levelInterval = 100 * time.Millisecond
	// groupMargin is how far a group's offered work must exceed an equal treatment, and groupSigmas by how many standard
	// deviations of the number of its requests, so that groups that offer about the same are not told apart.
	groupMargin = 1.25
	groupSigmas = 4
	// minActive is the part of an equal share of the buckets below which a bucket counts as empty.
	minActive = 0.01
	// takenMargin reduces the share of a group that exceeds its own, so that errors of the measurement are at the expense
	// of the group that causes the shortage.
	takenMargin = 0.95
	// The time between two offers counts as capacity up to maxGap, or up to gapFactor times the work if that is more, so
	// that there is no shortage. A longer pause would hide the shortage that follows it, for example after the upstream
	// could not be reached.
	maxGap    = 100 * time.Millisecond
	gapFactor = 4
)

// Groups measures the work that groups of callers of the same priority offer to an upstream, and the work of theirs that
// it takes, as exponentially weighted sums. In a shortage it says which groups have more than their max-min fair share.
// The memory is bounded by GroupBuckets. Groups is not safe for concurrent use.
type Groups struct {
	decay          decay
	offered, taken [GroupBuckets]float64
	// sums holds the sums over all groups.
	sums [5]float64
	// offeredLimit and takenLimit are the bounds of a fair share, as parts of the sums, at the time computed.
	offeredLimit, takenLimit float64
	computed                 time.Duration
	// lastOffer is the time of the last offer.
	lastOffer time.Duration
	sorted    []float64
}

// The indexes of Groups.sums.
const (
	// sumOffered is the offered work, sumOnce the part of it that counts once for each request, and sumTaken the work that
	// the upstream took. sumCount is the number of offers, and sumCapacity the work that the upstream could do.
	sumOffered = iota
	sumOnce
	sumTaken
	sumCount
	sumCapacity
)

// NewGroups returns Groups whose sums decay with the given time constant.
func NewGroups(constant time.Duration) *Groups {
	return &Groups{decay: decay{constant: constant}, computed: -levelInterval, sorted: make([]float64, 0, GroupBuckets)}
}

// Clone returns a copy that shares no state with the original.
func (g *Groups) Clone() *Groups {
	c := *g
	c.sorted = make([]float64, 0, GroupBuckets)
	return &c
}

// Offer records that a group offers work to an upstream that has a number of slots for them. A request may
// be offered to several upstreams; once must be set at one of them only, for example the last.
func (g *Groups) Offer(now time.Duration, group uint64, work time.Duration, once bool, slots float64) {
	g.rescale(now)
	weight := g.decay.weight(now)
	added := weight * work.Seconds()
	g.offered[group%GroupBuckets] += added
	g.sums[sumOffered] += added
	g.sums[sumCount] += weight
	if once {
		g.sums[sumOnce] += added
	}
	gap := min(now-g.lastOffer, max(maxGap, gapFactor*work))
	g.lastOffer = now
	g.sums[sumCapacity] += weight * slots * gap.Seconds()
}

// Take records that the upstream takes work of a group.
func (g *Groups) Take(now time.Duration, group uint64, work time.Duration) {
	g.rescale(now)
	added := g.decay.weight(now) * work.Seconds()
	g.taken[group%GroupBuckets] += added
	g.sums[sumTaken] += added
}

// Exceeds reports whether a group offers more than its max-min fair share and has got more than that.
func (g *Groups) Exceeds(now time.Duration, group uint64) bool {
	g.rescale(now)
	if now-g.computed >= levelInterval {
		g.compute(now)
	}
	bucket := group % GroupBuckets
	return g.offered[bucket] > g.offeredLimit*g.sums[sumOffered] && g.taken[bucket] > g.takenLimit*g.sums[sumTaken]
}

// compute determines the limits. A request that finds no slot is offered to several upstreams, so the offered work is
// compared with the capacity by the work that counts once. The work that the upstream takes is no substitute for the
// capacity: an upstream that takes more than others would conclude that there is no shortage, and take still more.
func (g *Groups) compute(now time.Duration) {
	g.computed = now
	g.offeredLimit, g.takenLimit = 1, 1
	if g.sums[sumCapacity] >= g.sums[sumOnce] {
		return
	}
	capacity := g.sums[sumCapacity] * g.sums[sumOffered] / g.sums[sumOnce]
	g.takenLimit = g.fairLevel(capacity) / capacity
	// If all groups offered the same, each would offer this part of the work.
	count := g.sums[sumCount] / g.decay.weight(now)
	g.offeredLimit = max(groupMargin*g.takenLimit, g.takenLimit+groupSigmas*math.Sqrt(g.takenLimit/count)) + g.collisions()
	g.takenLimit *= takenMargin
}

// collisions returns the part of the work by which a bucket may exceed that of one group because other groups share it.
// The number of groups is estimated from the empty buckets (linear counting).
func (g *Groups) collisions() float64 {
	empty := 0
	for _, offered := range g.offered {
		if offered < minActive*g.sums[sumOffered]/GroupBuckets {
			empty++
		}
	}
	perBucket := math.Log(GroupBuckets / float64(max(1, empty)))
	return (perBucket + groupSigmas*math.Sqrt(perBucket)) / max(1, perBucket*GroupBuckets)
}

// fairLevel returns the most that a group may have of a capacity if the groups that offer less get all that they offer
// and the others get equal parts of the rest.
func (g *Groups) fairLevel(capacity float64) float64 {
	g.sorted = g.sorted[:0]
	for _, offered := range g.offered {
		if offered > 0 {
			g.sorted = append(g.sorted, offered)
		}
	}
	slices.Sort(g.sorted)
	for i, offered := range g.sorted {
		part := capacity / float64(len(g.sorted)-i)
		if offered > part {
			return part
		}
		capacity -= offered
	}
	return math.Inf(1)
}

func (g *Groups) rescale(now time.Duration) {
	factor := g.decay.rescale(now)
	if factor == 1 {
		return
	}
	scale(factor, g.offered[:], g.taken[:], g.sums[:])
}
