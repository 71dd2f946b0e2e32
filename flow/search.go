package flow

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/registry"
)

// maxWaiting bounds the packets of one flow that wait for a search; a sender has at most 16 packets in flight.
const maxWaiting = 16

// search is a search for the owner of a flow. Its first round asks the highest-ranked agents of each service that may
// hold the flow one after the other, its second round asks the others in several parallel chains. If the routes of the
// recent past are not all known, a wide round asks the agents of all services.
type search struct {
	number  uint64
	started time.Duration
	// since is when the first search for the packet was started. A search of all services that proved nothing starts again
	// when the view changes only until ResumeTimeout after that: agents that have restarted learn nothing from a new view.
	since time.Duration
	// attempt counts the earlier searches for the flow that found no owner in time.
	attempt int
	packet  Packet
	raw     []byte
	// remaining holds the agents of the second round.
	remaining []holder
	clues
	// asked holds the services whose agents were asked.
	asked []*service
	// wide is set once the agents of all services were asked, and unlisted once those were whose servers the view does not
	// name although they answer.
	wide, unlisted bool
	// deferred is set while the search waits until the balancer may ask the agents of all other services, which takes the
	// given number of messages.
	deferred bool
	messages int
	// chains is the number of chains that have not reported a denial yet.
	chains int
	// changed is the revision of the last change in the view when the search began. outdated is set if an agent
	// knew of a later one, so that a newer server may hold the flow, or could not know whether its server holds it.
	changed  registry.Revision
	outdated bool
	// denied is set once a chain of agents has denied the flow.
	denied bool
	// waiting holds further packets of the flow.
	waiting []QueuedPacket
}

// holder is an agent that may hold a flow as one of the given service. Its address may belong to another service by the
// time that it is asked.
type holder struct {
	ip      IP
	service uint64
	// wide is set if the service is not known to get flows of the address.
	wide bool
}

// QueuedPacket is a packet that waited for the search for the owner of its flow.
type QueuedPacket struct {
	Packet Packet
	Raw    []byte
	// since is when the packet began to wait.
	since time.Duration
}

// searches holds the searches in progress by flow.
type searches struct {
	// lastNumber is the number of the search that was started last.
	lastNumber uint64
	lru        *simplelru.LRU[Key, *search]
	// lost counts the searches in a row that have proved their flow to be lost.
	lost int
	// running holds the searches until their timeout, by attempt and in the order of their start.
	running [maxAttempts][]*search
	// inconclusive holds the searches that all agents have denied although a server that the view did not name may
	// hold the flow, the earliest first.
	inconclusive []*search
	// deferred holds the searches that wait until the balancer may ask the agents of all services, the earliest first.
	deferred []*search
}

func newSearches(config DirectorConfig) searches {
	lru, err := simplelru.NewLRU[Key, *search](config.MaxSearches, nil)
	if err != nil {
		panic(err)
	}
	return searches{lru: lru}
}

// clues is what a balancer knows about the owner of a flow when it starts a search.
type clues struct {
	// excluded is an agent that is not asked, because it has already denied the flow.
	excluded IP
	// hinted is the owner that the flow's hint named. It is asked even if its service is not one of those to which the
	// address directs flows, or if the view names a server of another service there.
	hinted holder
	// reason says why the flow's hint was not used, or is empty if there was none.
	reason string
}

// search starts a search for the owner of a flow, or queues the packet if one is in progress.
func (d *Director) search(now time.Duration, p *Packet, raw []byte, known clues) Decision {
	if p.Kind == Resetting {
		return Decision{Reason: "reset of an unknown flow"}
	}
	r := d.routes[p.Key.Service]
	if r == nil {
		// The view may not show the route yet, and the flow may be open.
		return Decision{Reason: "no route for a flow that may be open"}
	}
	previous, repeated := d.searches.lru.Get(p.Key)
	if repeated && (previous.deferred || now-previous.started < d.searchTimeout(previous)) {
		if len(previous.waiting) < maxWaiting {
			previous.waiting = append(previous.waiting, QueuedPacket{Packet: *p, Raw: slices.Clone(raw), since: now})
		}
		return Decision{Reason: "a search for the owner of the flow is in progress"}
	}
	d.searches.lastNumber++
	s := &search{
		number: d.searches.lastNumber, started: now, since: now, packet: *p, raw: slices.Clone(raw), changed: d.view.Changed,
		asked: r.holders(), clues: known,
	}
	if repeated {
		s.attempt, s.waiting = previous.attempt+1, previous.waiting
	}
	if s.attempt < maxAttempts {
		d.searches.running[s.attempt] = append(d.searches.running[s.attempt], s)
	}
	first, rest := d.searchOrder(now, s.asked, p.Key, s.excluded)
	rest = s.withHinted(first, rest)
	if len(first)+len(rest) == 0 {
		return d.searchWidely(now, s)
	}
	d.searches.lru.Add(p.Key, s)
	reason := "owner of the flow is not known"
	if s.reason != "" {
		reason = s.reason
	}
	switch {
	case s.attempt > 0:
		// An agent that does not answer must not keep the flow from being asked for elsewhere.
		others, _ := d.takeOthers(now, s)
		return d.startChains(now, s, slices.Concat(first, rest, others), "earlier search found no owner in time")
	case d.searches.lost >= lostSearches:
		return d.startChains(now, s, append(first, rest...), reason+", and recent searches found none")
	}
	s.remaining = rest
	return d.startChains(now, s, first, reason)
}

// lostSearches is the number of searches in a row after which the next ones ask all agents in one round, since their flows
// were probably lost as well, together with their servers.
const lostSearches = 8

// searchOrder returns the agents of some services in the order in which to ask them for a flow: first the
// highest-ranked ones of each service, then the rest. Unresponsive ones come last, and then those that only an unused
// entry names.
func (d *Director) searchOrder(now time.Duration, services []*service, key Key, excluded IP) (first, rest []holder) {
	var unresponsiveAgents, claimed []holder
	for _, s := range services {
		d.rankBuf = placement.Rank(d.rankBuf[:0], key.Hash(), d.config.Place, s.holders)
		asked := 0
		for _, number := range d.rankBuf {
			a := holder{ip: ipFromNumber(number), service: s.hash}
			switch {
			case a.ip == excluded:
			case d.agents[a.ip].unresponsive(now, d.config.UnresponsiveAfter):
				unresponsiveAgents = append(unresponsiveAgents, a)
			case asked < d.config.ChainLength:
				first = append(first, a)
				asked++
			default:
				rest = append(rest, a)
			}
		}
		for _, ip := range s.claimed {
			if ip != excluded {
				claimed = append(claimed, holder{ip: ip, service: s.hash})
			}
		}
	}
	rest = append(append(rest, unresponsiveAgents...), claimed...)
	if len(first) == 0 {
		return rest, nil
	}
	return first, rest
}

// withHinted adds the owner that the flow's hint named to the agents of the second round, unless it is asked anyway.
func (s *search) withHinted(first, rest []holder) []holder {
	if s.hinted == (holder{}) || slices.Contains(first, s.hinted) || slices.Contains(rest, s.hinted) {
		return rest
	}
	return append(rest, s.hinted)
}

// takeOthers returns the agents of all other services, unless all former routes are known or the agents were asked before.
// It reports whether the balancer may send that many messages now; the search then counts as one of all services.
func (d *Director) takeOthers(now time.Duration, s *search) (agents []holder, allowed bool) {
	if s.wide || d.historyComplete(now) {
		return nil, true
	}
	first, rest := d.searchOrder(now, d.servicesExcept(s.asked), s.packet.Key, s.excluded)
	agents = append(first, rest...)
	if !d.wideMessages.takeAllowed(now, len(agents)) {
		s.messages = len(agents)
		return nil, false
	}
	s.wide = true
	for i := range agents {
		agents[i].wide = true
	}
	return agents, true
}

// searchWidely continues or ends a search that no agent of the asked services has ended. Former routes of which this
// process does not know may have directed the flow to any other service.
func (d *Director) searchWidely(now time.Duration, s *search) Decision {
	others, allowed := d.takeOthers(now, s)
	switch {
	case !allowed:
		return d.deferSearch(s)
	case len(others) > 0:
		d.searches.lru.Add(s.packet.Key, s)
		return d.startChains(now, s, others, "former routes are not all known")
	}
	if !s.unlisted {
		s.unlisted = true
		if agents := d.unlistedHolders(now, s); len(agents) > 0 {
			d.searches.lru.Add(s.packet.Key, s)
			return d.startChains(now, s, agents, "agents without an entry answer")
		}
	}
	d.searches.lru.Remove(s.packet.Key)
	if d.provesLoss(now, s) {
		d.searches.lost++
		return s.reset()
	}
	d.searches.inconclusive = append(d.searches.inconclusive, s)
	if s.wide && s.outdated {
		return Decision{Reason: "former routes are not all known, and not every agent knows which flows its server holds"}
	}
	return Decision{Reason: "no server is known to hold the flow, but the search is inconclusive"}
}

// Denial is the report of the last agent in a chain that none of the chain's agents holds the flow.
type Denial struct {
	Key      Key
	SearchID uint64
	// Outdated is set if the denial proves nothing: an agent knew of a later change of the view than the searching
	// balancer, so that a newer server may hold the flow, or could not know whether its server holds the flow.
	Outdated bool
}

// HandleDenial handles a denial and decides how its search continues. The packet is nil if there is nothing to do.
func (d *Director) HandleDenial(now time.Duration, denial Denial) (Decision, *Packet, []byte) {
	s, ok := d.searches.lru.Peek(denial.Key)
	if !ok || s.number != denial.SearchID || s.deferred {
		return Decision{}, nil, nil
	}
	s.chains--
	s.denied = true
	s.outdated = s.outdated || denial.Outdated
	switch {
	case s.chains > 0:
		return Decision{}, nil, nil
	case len(s.remaining) > 0:
		rest := s.remaining
		s.remaining = nil
		return d.startChains(now, s, rest, "highest-ranked agents do not hold the flow"), &s.packet, s.raw
	}
	return d.searchWidely(now, s), &s.packet, s.raw
}

// maxAttempts bounds how often the search for one packet is started. After that, the client's next copy starts it.
const maxAttempts = 3

// reset returns the reset of a flow that a search has proved to be lost.
func (s *search) reset() Decision {
	reason := "no server of the route's present and former services holds the flow"
	if s.wide {
		reason = "no server of any service holds the flow"
	}
	d := resetFlow(&s.packet, reason)
	d.Request.SearchID = s.number
	return d
}

// NextResumedSearch returns the next decision on a search that found no owner in time, which starts again, or on an
// inconclusive search. That one starts again once the view has changed, and the flow is reset once the view is known to
// be complete. The packet is nil if there is no decision.
func (d *Director) NextResumedSearch(now time.Duration) (Decision, *Packet, []byte) {
	if s := d.resumeDeferred(now); s != nil {
		s.packet.addWait(now - s.started)
		s.started = now
		return d.searchWidely(now, s), &s.packet, s.raw
	}
	if s := d.overdueSearch(now); s != nil {
		s.packet.addWait(now - s.started)
		return d.search(now, &s.packet, s.raw, s.clues), &s.packet, s.raw
	}
	for i := 0; i < len(d.searches.inconclusive); i++ {
		s := d.searches.inconclusive[i]
		expired := now-s.resumableSince() > d.config.ResumeTimeout
		proved := d.provesLoss(now, s)
		if !expired && !proved && s.changed == d.view.Changed {
			continue
		}
		d.searches.inconclusive = slices.Delete(d.searches.inconclusive, i, i+1)
		i--
		switch {
		case expired || d.hints.get(now, s.packet.Key) != nil:
		case proved:
			return s.reset(), &s.packet, s.raw
		default:
			s.packet.addWait(now - s.started)
			decision := d.search(now, &s.packet, s.raw, clues{hinted: s.hinted})
			if next, ok := d.searches.lru.Peek(s.packet.Key); ok {
				next.since = s.since
			}
			return decision, &s.packet, s.raw
		}
	}
	return Decision{}, nil, nil
}

// resumableSince returns the time from which the time counts for which an inconclusive search may start again.
func (s *search) resumableSince() time.Duration {
	if s.wide && s.outdated {
		return s.since
	}
	return s.started
}

// searchTimeout returns how long a search may take. Each attempt gets twice the time of the one before, since a slow
// answer is as likely as a lost one.
func (d *Director) searchTimeout(s *search) time.Duration {
	return d.config.SearchTimeout << min(s.attempt, maxAttempts)
}

// overdueSearch removes and returns the next search that found no owner in time and may start again, or nil.
func (d *Director) overdueSearch(now time.Duration) *search {
	for attempt := range d.searches.running {
		running := &d.searches.running[attempt]
		for len(*running) > 0 && now-(*running)[0].started >= d.searchTimeout((*running)[0]) {
			s := (*running)[0]
			*running = (*running)[1:]
			if current, _ := d.searches.lru.Peek(s.packet.Key); current == s && !s.deferred && attempt+1 < maxAttempts {
				return s
			}
		}
	}
	return nil
}

// finishSearch ends the search for a flow and returns the packets that waited for it.
func (d *Director) finishSearch(now time.Duration, key Key) []QueuedPacket {
	s, ok := d.searches.lru.Peek(key)
	if !ok {
		return nil
	}
	d.searches.lru.Remove(key)
	d.searches.lost = 0
	for i := range s.waiting {
		w := &s.waiting[i]
		w.Packet.addWait(now - w.since)
	}
	return s.waiting
}
