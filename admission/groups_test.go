package admission_test

import (
	"testing"
	"time"
	"unsafe"

	"github.com/bramleyrack/bramleyrack/admission"
)

// offerGroups offers work of 10 ms at an upstream with one slot, for 10 s. Each group offers its number of requests in
// each 100 ms, and the upstream takes the same part of the requests of every group.
func offerGroups(g *admission.Groups, from time.Duration, perGroup []int) (now time.Duration) {
	const work = 10 * time.Millisecond
	total, taken := 0, 0.0
	for _, n := range perGroup {
		total += n
	}
	for now = from; now < from+10*time.Second; now += 100 * time.Millisecond {
		for group, n := range perGroup {
			for range n {
				g.Offer(now, uint64(group), work, true, 1)
				if taken += min(1, 10/float64(total)); taken >= 1 {
					taken--
					g.Take(now, uint64(group), work)
				}
			}
		}
	}
	return now
}

// TestOnlyTheLargestGroupExceedsInAShortage guards small groups against a loss for a large one, and all groups against
// any as long as there is no shortage or they offer the same.
func TestOnlyTheLargestGroupExceedsInAShortage(t *testing.T) {
	for _, c := range []struct {
		name     string
		perGroup []int
		exceeds  int
	}{
		{"shortage", []int{2, 14, 2, 2}, 1},
		{"no shortage", []int{1, 5, 1, 1}, -1},
		{"equal groups", []int{5, 5, 5, 5}, -1},
		{"one group", []int{20}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := admission.NewGroups(2 * time.Second)
			// The work before the pause of an hour must not count.
			offerGroups(g, time.Second, []int{0, 0, 50})
			now := offerGroups(g, time.Hour, c.perGroup)
			for group := range c.perGroup {
				if got := g.Exceeds(now, uint64(group)); got != (group == c.exceeds) {
					t.Errorf("group %d exceeds its share: %v, want %v", group, got, group == c.exceeds)
				}
			}
		})
	}
}

// BenchmarkOpening measures what the shares add to an opening packet in a shortage, at 1,000 a second.
func BenchmarkOpening(b *testing.B) {
	s, g := admission.NewShares(2*time.Second, 0.25), admission.NewGroups(2*time.Second)
	now, group := time.Hour, uint64(0)
	for b.Loop() {
		now += time.Millisecond
		group = group*6364136223846793005 + 1442695040888963407
		s.Observe(now, int(group>>60), 15*time.Millisecond)
		g.Offer(now, group>>40, 15*time.Millisecond, group>>63 == 0, 2)
		s.Part(2)
		if !g.Exceeds(now, group>>40) {
			g.Take(now, group>>40, 15*time.Millisecond)
		}
	}
	// The buckets are also copied for sorting.
	b.ReportMetric(float64(unsafe.Sizeof(*g)+8*admission.GroupBuckets), "B/priority")
}
