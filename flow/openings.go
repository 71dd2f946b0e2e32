package flow

import (
	"slices"
	"time"
)

// maxOpenings bounds the opening packets that wait for an agent's answer. Beyond it, new flows rely on the
// retransmissions of their clients.
const maxOpenings = 4096

// opening is an opening packet that no agent has answered yet.
type opening struct {
	packet  Packet
	raw     []byte
	service *service
	// list holds the agents that have not been tried. due is when the packet is sent to the first of them, and hedges
	// counts how often it was sent again.
	list   []IP
	due    time.Duration
	hedges int
	// received is when the packet arrived.
	received time.Duration
}

// openings holds the unanswered opening packets in the order in which they are due.
type openings struct {
	hedgeAfter time.Duration
	maxHedges  int
	pending    map[Key]*opening
	queue      []*opening
}

func newOpenings(config DirectorConfig) openings {
	return openings{hedgeAfter: config.HedgeAfter, maxHedges: config.MaxHedges, pending: map[Key]*opening{}}
}

func (o *openings) add(now time.Duration, p *Packet, raw []byte, s *service, list []IP) {
	if len(list) < 2 || len(o.queue) >= maxOpenings {
		return
	}
	added := &opening{packet: *p, raw: slices.Clone(raw), service: s, list: slices.Clone(list[1:]), due: now + o.hedgeAfter, received: now}
	o.pending[p.Key] = added
	o.queue = append(o.queue, added)
}

func (o *openings) remove(key Key) {
	delete(o.pending, key)
}

// overdue removes and returns the next opening packet whose hedge is due, or nil if there is none.
func (o *openings) overdue(now time.Duration) *opening {
	for len(o.queue) > 0 && o.queue[0].due <= now {
		first := o.queue[0]
		o.queue = o.queue[1:]
		if o.pending[first.packet.Key] == first {
			return first
		}
	}
	return nil
}

// requeue puts an opening packet back into the queue after it was sent to the next agent in its list.
func (o *openings) requeue(now time.Duration, opening *opening) {
	opening.hedges++
	opening.list = opening.list[1:]
	if len(opening.list) == 0 || opening.hedges >= o.maxHedges {
		delete(o.pending, opening.packet.Key)
		return
	}
	opening.due = now + o.hedgeAfter
	o.queue = append(o.queue, opening)
}

// NextHedge returns the next opening packet that no agent has answered in time, in raw form as well, and the decision
// to send it to the next agent. The packet is nil if there is none.
func (d *Director) NextHedge(now time.Duration) (Decision, *Packet, []byte) {
	for {
		o := d.openings.overdue(now)
		if o == nil {
			return Decision{}, nil, nil
		}
		p := o.packet
		p.addWait(now - o.received)
		list := d.stillAvailable(now, p.Key.Hash(), o.list)
		if len(list) == 0 || attemptOver(&p) {
			delete(d.openings.pending, o.packet.Key)
			continue
		}
		decision := d.forwardOpening(now, o.service, list)
		decision.Reason = "previous agent did not answer in time"
		o.list = slices.Clone(list)
		d.openings.requeue(now, o)
		return decision, &p, o.raw
	}
}

// stillAvailable filters a list to the agents that still take new flows and moves exhausted and unresponsive ones to the
// end.
func (d *Director) stillAvailable(now time.Duration, flow uint64, list []IP) []IP {
	d.listBuf = d.listBuf[:0]
	var exhaustedAgents, unresponsiveAgents []IP
	for _, ip := range list {
		a := d.agents[ip]
		if a == nil {
			continue
		}
		switch d.classify(now, a, flow) {
		case unavailable, evacuating:
		case exhausted:
			exhaustedAgents = append(exhaustedAgents, ip)
		case unresponsive:
			unresponsiveAgents = append(unresponsiveAgents, ip)
		default:
			d.listBuf = append(d.listBuf, ip)
		}
	}
	d.listBuf = append(append(d.listBuf, exhaustedAgents...), unresponsiveAgents...)
	return d.listBuf
}

// Report is an agent's report on one flow.
type Report struct {
	Key Key
	// Held is set if the server behind the agent holds the flow; otherwise no server took it.
	Held bool
	From IP
	// Service is the hash of the service name of the agent's server.
	Service uint64
}

// HandleReport handles an agent's report on a flow and returns the packets that waited for the owner.
func (d *Director) HandleReport(now time.Duration, r Report) []QueuedPacket {
	d.openings.remove(r.Key)
	if !r.Held {
		return nil
	}
	// Only an entry that is not used may name the agent. It has no state then, but the search has found the owner.
	if d.agents[r.From] != nil {
		d.hints.put(r.Key, hint{owner: r.From, service: r.Service, created: now, seen: now})
	}
	d.noteFormer(now, r.Key.Service, r.Service)
	return d.finishSearch(now, r.Key)
}
