package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
)

// class orders the agents for a new flow; a lower one is better.
type class uint8

const (
	// roomHere has a free slot in the place of the balancer.
	roomHere class = iota
	// roomElsewhere has a free slot in another place.
	roomElsewhere
	// full has no free slot, as far as the balancer knows.
	full
	// doubtful did not answer lately.
	doubtful
	// unfit takes no new flows.
	unfit
)

func (d *Director) classify(now time.Duration, a *agent) class {
	switch {
	case !a.present || a.draining:
		return unfit
	case a.word.Process > 0 && !a.word.Accepting:
		return unfit
	case a.doubtful(now, d.config.DoubtAfter):
		return doubtful
	case a.busy() >= a.capacity(now):
		return full
	case a.place != d.config.Place:
		return roomElsewhere
	}
	return roomHere
}

// choose returns the agents for a new flow, the best first. The ranks of the flow decide within a class, so
// that a later search finds it early; of the first two the one with the lower load is taken. The n-th copy
// of an opening packet starts at another agent than the one before, since that may be dead or cut off.
func (d *Director) choose(now time.Duration, s *service, p *Packet, patience time.Duration) []IP {
	d.ranks = placement.Rank(d.ranks[:0], p.Key.Hash(), d.config.Place, s.candidates)
	d.classes = d.classes[:0]
	for _, rank := range d.ranks {
		a := d.agents[address(rank)]
		c := d.classify(now, a)
		if c == full && a.late(patience) {
			c = unfit
		}
		d.classes = append(d.classes, c)
	}
	d.list = d.list[:0]
	for want := roomHere; want < unfit; want++ {
		start := len(d.list)
		for i, rank := range d.ranks {
			if d.classes[i] == want {
				d.list = append(d.list, address(rank))
			}
		}
		if want == full {
			d.byLoad(now, d.list[start:])
		} else {
			d.twoChoices(now, d.list[start:])
		}
	}
	if n := len(d.list); n > 0 {
		rotate(d.list, int(p.Copy)%n)
	}
	return d.list[:min(len(d.list), d.config.MaxAlternatives+1)]
}

// twoChoices puts the one with the lower load of the first two agents first.
func (d *Director) twoChoices(now time.Duration, list []IP) {
	if len(list) > 1 && d.agents[list[1]].load(now) < d.agents[list[0]].load(now) {
		list[0], list[1] = list[1], list[0]
	}
}

// byLoad puts the agents with the least requests for each slot first.
func (d *Director) byLoad(now time.Duration, list []IP) {
	slices.SortStableFunc(list, func(a, b IP) int {
		return cmp.Compare(d.agents[a].pressure(now), d.agents[b].pressure(now))
	})
}

// rotate moves the first n elements to the end.
func rotate(list []IP, n int) {
	for range n {
		first := list[0]
		copy(list, list[1:])
		list[len(list)-1] = first
	}
}
