package flow

import (
	"slices"
	"time"
)

// maxOpenings bounds the opening packets that wait for the answer of an agent; further ones rely on the
// copies that clients send.
const maxOpenings = 4096

// opening is an opening packet that no agent has answered yet.
type opening struct {
	packet  Packet
	raw     []byte
	service *service
	// list are the agents that have not been tried.
	list   []IP
	due    time.Duration
	hedges int
}

// openings holds the opening packets in the order in which they are due.
type openings struct {
	after   time.Duration
	max     int
	pending map[Key]*opening
	queue   []*opening
}

func newOpenings(config DirectorConfig) openings {
	return openings{after: config.HedgeAfter, max: config.MaxHedges, pending: map[Key]*opening{}}
}

func (o *openings) add(now time.Duration, p *Packet, raw []byte, s *service, list []IP) {
	if len(list) < 2 || len(o.queue) >= maxOpenings {
		return
	}
	added := &opening{packet: *p, raw: slices.Clone(raw), service: s, list: slices.Clone(list[1:]), due: now + o.after}
	o.pending[p.Key] = added
	o.queue = append(o.queue, added)
}

func (o *openings) answered(key Key) {
	delete(o.pending, key)
}

// overdue removes and returns the next opening packet that is due again, or nil.
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

// again queues an opening packet that was sent to the next agent.
func (o *openings) again(now time.Duration, opening *opening) {
	opening.hedges++
	opening.list = opening.list[1:]
	if len(opening.list) == 0 || opening.hedges >= o.max {
		delete(o.pending, opening.packet.Key)
		return
	}
	opening.due = now + o.after
	o.queue = append(o.queue, opening)
}

// NextHedge returns the raw form of the next opening packet that no agent has answered in time, with the
// decision to which agent it goes now. It returns nil when there is none.
func (d *Director) NextHedge(now time.Duration) (Decision, *Packet, []byte) {
	for {
		o := d.openings.overdue(now)
		if o == nil {
			return Decision{}, nil, nil
		}
		list := d.stillFit(now, o.list)
		if len(list) == 0 {
			delete(d.openings.pending, o.packet.Key)
			continue
		}
		decision := d.forwardOpening(now, o.service, list)
		decision.Reason = "agent did not answer"
		o.list = slices.Clone(list)
		d.openings.again(now, o)
		return decision, &o.packet, o.raw
	}
}

// stillFit returns the agents of a list that still take new flows, those that answer first.
func (d *Director) stillFit(now time.Duration, list []IP) []IP {
	d.list = d.list[:0]
	var last []IP
	for _, ip := range list {
		a := d.agents[ip]
		if a == nil {
			continue
		}
		switch d.classify(now, a) {
		case unfit:
		case doubtful:
			last = append(last, ip)
		default:
			d.list = append(d.list, ip)
		}
	}
	d.list = append(d.list, last...)
	return d.list
}

// Report is what an agent says of one flow.
type Report struct {
	Key Key
	// Held says that the server behind the agent holds the flow; otherwise nobody took it.
	Held bool
	From IP
	// Service is the hash of the name of the agent's service.
	Service uint64
}

// HandleReport takes in what an agent says of a flow. It returns the packets that waited for the owner.
func (d *Director) HandleReport(now time.Duration, r Report) []QueuedPacket {
	d.openings.answered(r.Key)
	if !r.Held || d.agents[r.From] == nil {
		return nil
	}
	d.hints.put(r.Key, hint{owner: r.From, service: r.Service, created: now, seen: now})
	return d.found(r.Key)
}
