package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
)

// class orders the agents for a new flow; a lower one is better.
type class uint8

const (
	// here is in the place of the balancer.
	here class = iota
	// elsewhere is in another place.
	elsewhere
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
	case a.doubtful(now, d.config.UnresponsiveAfter):
		return doubtful
	case a.place != d.config.Place:
		return elsewhere
	}
	return here
}

// choose returns the agents for a new flow, the best first. The ranks of the flow decide within a class, so
// that a later search finds it early; of the first two the one with the lower load is taken. Whether a server has
// a free slot changes faster than balancers hear of it, so the agents decide on that, from one to the next. The
// n-th copy of an opening packet starts at another agent than the one before, since that may be dead or cut off.
func (d *Director) choose(now time.Duration, s *service, p *Packet) []IP {
	d.ranks = placement.Rank(d.ranks[:0], p.Key.Hash(), d.config.Place, s.candidates)
	var byClass [unfit + 1][]IP
	for _, rank := range d.ranks {
		c := d.classify(now, d.agents[address(rank)])
		byClass[c] = append(byClass[c], address(rank))
	}
	near, far := byClass[here], byClass[elsewhere]
	d.twoChoices(now, near)
	d.twoChoices(now, far)
	most := d.config.MaxAlternatives + 1
	nearest := min(len(near), max(most-d.config.MinRemote, most-len(far)))
	d.list = append(d.list[:0], near[:nearest]...)
	d.list = append(d.list, far...)
	d.list = append(d.list, byClass[doubtful]...)
	d.list = d.list[:min(len(d.list), most)]
	if n := len(d.list); n > 0 {
		rotate(d.list, int(p.Copy)%n)
	}
	return d.list
}

// twoChoices puts the one with the lower load of the first two agents first.
func (d *Director) twoChoices(now time.Duration, list []IP) {
	if len(list) > 1 && d.agents[list[1]].load(now) < d.agents[list[0]].load(now) {
		list[0], list[1] = list[1], list[0]
	}
}

// rotate moves the first n elements to the end.
func rotate(list []IP, n int) {
	for range n {
		first := list[0]
		copy(list, list[1:])
		list[len(list)-1] = first
	}
}
