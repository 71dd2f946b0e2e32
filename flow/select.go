package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/placement"
)

// class is the preference class of an agent for a new flow; lower is better.
type class uint8

const (
	// local is in the balancer's own place.
	local class = iota
	// remote is in another place.
	remote
	// exhausted is cold and has used up its limit on new flows.
	exhausted
	// unresponsive has not answered recently.
	unresponsive
	// unavailable takes no new flows.
	unavailable
	// evacuating is in a place that operators evacuate, and takes no new flows.
	evacuating
)

// classify returns the class of an agent for a new flow with the given hash.
func (d *Director) classify(now time.Duration, a *agent, flow uint64) class {
	switch {
	case !a.present || a.draining:
		return unavailable
	case d.evacuated(now, a.place, flow):
		return evacuating
	case a.status.process > 0 && !a.status.accepting:
		return unavailable
	case a.unresponsive(now, d.config.UnresponsiveAfter):
		return unresponsive
	case a.exhausted(now, d.config.RemoteInterval):
		return exhausted
	case a.place != d.config.Place:
		return remote
	}
	return local
}

// evacuated reports whether a new flow must avoid the servers in a place because operators evacuate it.
func (d *Director) evacuated(now time.Duration, place string, flow uint64) bool {
	e, ok := d.view.Evacuation(place)
	return ok && evacuated(now, e, flow)
}

// selectAgents returns the agents for a new flow, the best first. Within a class they are in the flow's rank order,
// so that a later search finds the owner early, except that the first few are ordered by their expected load. Free
// slots change faster than balancers learn of them, so the agents themselves check for one and pass the packet on
// if they have none. Each further copy of an opening packet starts one agent later in the list, because the agents
// before may be dead or unreachable.
func (d *Director) selectAgents(now time.Duration, s *service, p *Packet) []IP {
	d.rankBuf = placement.Rank(d.rankBuf[:0], p.Key.Hash(), d.config.Place, s.candidates)
	var byClass [evacuating + 1][]IP
	for i, number := range d.rankBuf {
		c := d.classify(now, d.agents[ipFromNumber(number)], p.Key.Hash())
		if i == 0 {
			d.countTurnedAway(c)
		}
		byClass[c] = append(byClass[c], ipFromNumber(number))
	}
	locals, remotes := byClass[local], byClass[remote]
	d.orderByLoad(now, s, p.Key.Hash(), locals)
	d.orderByLoad(now, s, p.Key.Hash(), remotes)
	limit := d.config.MaxAlternatives + 1
	localLimit := min(len(locals), max(limit-d.config.MinRemote, limit-len(remotes)))
	d.listBuf = append(d.listBuf[:0], locals[:localLimit]...)
	d.listBuf = append(d.listBuf, remotes...)
	d.listBuf = append(d.listBuf, byClass[exhausted]...)
	d.listBuf = append(d.listBuf, byClass[unresponsive]...)
	d.listBuf = d.listBuf[:min(len(d.listBuf), limit)]
	if n := len(d.listBuf); n > 0 {
		rotate(d.listBuf, int(p.Copy)%n)
	}
	return d.listBuf
}

// rotate moves the first n elements to the end.
func rotate(list []IP, n int) {
	for range n {
		first := list[0]
		copy(list, list[1:])
		list[len(list)-1] = first
	}
}
