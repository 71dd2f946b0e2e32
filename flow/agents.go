package flow

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/registry"
)

// AgentStatus is what an agent says of its server and of itself.
type AgentStatus struct {
	From IP
	// Process tells the runs of the agent apart.
	Process uint64
	// Accepting says that the agent takes new flows.
	Accepting bool
	// Busy is the number of requests that run, wait or are expected, and Flows that of open flows.
	Busy, Slots, Flows uint32
	// ServiceTime is how long the server works on a request on the mean; zero if it is not known. Failing is the share
	// of its requests that seem to have failed.
	ServiceTime time.Duration
	FailureRate float64
	// View is the freshness of the agent's view; its revision is zero if the agent has none.
	View registry.Freshness
}

// agent is what a balancer knows of the agent beside one server.
type agent struct {
	ip          IP
	service     uint64
	place       string
	incarnation uint64
	// since is when the view first named this run of the server.
	since    time.Duration
	slots    int
	draining bool
	warmAt   time.Duration
	// present says that the view names the server.
	present bool
	// heard is when the agent last said anything, and waiting when it was first asked since.
	heard, waiting time.Duration
	word           AgentStatus
	// previous is the run of the agent before that of its word. What it said may still be on its way.
	previous uint64
	// away says that the agent has announced its stop.
	away bool
	// sent counts the new flows given to the agent since its last word.
	sent uint32
	// next is when the next heartbeat is due.
	next time.Duration
	// reported is whether the agent was last told of as one in doubt.
	reported bool
}

// asked notes that the agent was sent something that it answers.
func (a *agent) asked(now time.Duration) {
	if a.waiting == 0 {
		a.waiting = now
	}
}

// doubtful reports whether the agent left something without an answer for longer than a limit.
func (a *agent) doubtful(now, limit time.Duration) bool {
	return a.away || a.waiting > 0 && now-a.waiting > limit
}

// coldFactor is how much slower a server works until it has warmed up.
const coldFactor = 1.6

// capacity returns the requests that the server runs at once at its usual speed.
func (a *agent) capacity(now time.Duration) float64 {
	slots := float64(max(1, a.slots))
	if now < a.warmAt {
		slots /= coldFactor
	}
	return slots
}

// load is the number of flows over the capacity, with one more.
func (a *agent) load(now time.Duration) float64 {
	return float64(a.word.Flows+a.sent+1) / a.capacity(now)
}

// service holds the upstreams of one service.
type service struct {
	name string
	hash uint64
	// candidates are the upstreams as new flows see them, and holders as the search for a flow does: there, one
	// that drains is as likely an owner as any.
	candidates, holders []placement.Candidate
	// peers is what the servers have in common, as of compared.
	peers    PeerStats
	compared time.Duration
}

// ServiceHash returns the number that stands for a service between processes.
func ServiceHash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// route is where the new flows to an address go.
type route struct {
	services []*service
	weights  []uint32
	total    uint32
}

// pick returns the service that takes a flow. Every copy of its opening packet gets the same.
func (r *route) pick(key Key) *service {
	if len(r.services) == 1 {
		return r.services[0]
	}
	at := uint32(key.Hash()>>32) % r.total
	for i, weight := range r.weights {
		if at < weight {
			return r.services[i]
		}
		at -= weight
	}
	return r.services[len(r.services)-1]
}

// SetView puts a view in force.
func (d *Director) SetView(now time.Duration, view *registry.View) {
	before := d.view
	d.view = view
	if view == nil || before != nil && before.Content == view.Content {
		return
	}
	d.adoptUpstreams(now, view.Upstreams)
	d.adoptRoutes(view.Configuration)
	d.forgetAgents(now)
}

// adoptUpstreams puts the upstreams of a view in force. Of several entries at one address the latest counts.
func (d *Director) adoptUpstreams(now time.Duration, upstreams []registry.Upstream) {
	latest := make(map[IP]*registry.Upstream, len(upstreams))
	for i := range upstreams {
		u := &upstreams[i]
		ip := IP(u.Address.Addr().As4())
		if known := latest[ip]; known == nil || u.Newer(known) {
			latest[ip] = u
		}
	}
	d.services, d.byHash = map[string]*service{}, map[uint64]*service{}
	for ip, a := range d.agents {
		a.present = latest[ip] != nil
	}
	for ip, u := range latest {
		d.adoptUpstream(now, ip, u)
	}
}

func (d *Director) adoptUpstream(now time.Duration, ip IP, u *registry.Upstream) {
	s := d.service(u.Service)
	a := d.agents[ip]
	if a == nil || a.service != s.hash {
		a = &agent{ip: ip, next: now}
		d.agents[ip] = a
	}
	if a.incarnation != u.Incarnation {
		a.incarnation, a.since = u.Incarnation, now
	}
	a.service, a.place = s.hash, u.Place
	a.slots, a.draining, a.warmAt = u.Slots, u.Draining, u.WarmAt
	a.present = true
	candidate := placement.Candidate{Number: number(ip), Place: u.Place, Weight: 1}
	s.holders = append(s.holders, candidate)
	candidate.Leaving = u.Draining
	s.candidates = append(s.candidates, candidate)
}

func (d *Director) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, hash: ServiceHash(name)}
		d.services[name], d.byHash[s.hash] = s, s
	}
	return s
}

func (d *Director) adoptRoutes(c *registry.Configuration) {
	d.routes = map[Endpoint]*route{}
	if c == nil {
		return
	}
	for i := range c.Routes {
		r := &route{}
		for _, share := range c.Routes[i].Shares {
			r.services = append(r.services, d.service(share.Service))
			r.weights = append(r.weights, share.Weight)
			r.total += share.Weight
		}
		if r.total > 0 {
			d.routes[EndpointOf(c.Routes[i].Address)] = r
		}
	}
}

// forgetAgents drops the agents that the view does not name, once their flows are forgotten as well.
func (d *Director) forgetAgents(now time.Duration) {
	d.order = d.order[:0]
	for ip, a := range d.agents {
		if !a.present && now-a.heard > d.config.IdleTimeout {
			delete(d.agents, ip)
			continue
		}
		d.order = append(d.order, a)
	}
	slices.SortFunc(d.order, func(a, b *agent) int { return cmp.Compare(number(a.ip), number(b.ip)) })
}

func number(ip IP) uint32 {
	return binary.BigEndian.Uint32(ip[:])
}

func address(number uint32) IP {
	var ip IP
	binary.BigEndian.PutUint32(ip[:], number)
	return ip
}

// runs reports whether a message comes from the present run of the agent. Runs have no order, since they are named
// after a clock that may step.
func (a *agent) runs(process uint64) bool {
	if process == a.previous {
		return false
	}
	if process != a.word.Process {
		a.previous = a.word.Process
	}
	return true
}

// UpdateStatus takes in what an agent says.
func (d *Director) UpdateStatus(now time.Duration, w AgentStatus) {
	a := d.agents[w.From]
	if a == nil || !a.runs(w.Process) {
		return
	}
	a.heard = now
	a.waiting = 0
	a.away = a.away && w.Process == a.word.Process
	a.word = w
	a.sent = 0
}

// HealthChange is a change of what a balancer believes of an agent.
type HealthChange struct {
	Agent IP
	// Unresponsive says that the agent has left something without an answer for a while, and SinceHeard how long it has
	// said nothing.
	Unresponsive bool
	SinceHeard   time.Duration
}

// HealthChanges returns which agents have come into doubt, or out of it, since the last call.
func (d *Director) HealthChanges(now time.Duration) []HealthChange {
	var changes []HealthChange
	for _, a := range d.order {
		if is := a.doubtful(now, d.config.UnresponsiveAfter); is != a.reported {
			a.reported = is
			changes = append(changes, HealthChange{Agent: a.ip, Unresponsive: is, SinceHeard: now - a.heard})
		}
	}
	return changes
}

// HandleLeave notes that an agent stops.
func (d *Director) HandleLeave(now time.Duration, from IP, process uint64) {
	a := d.agents[from]
	if a == nil || !a.runs(process) {
		return
	}
	a.word.Process = process
	a.away = true
	a.next = now + d.config.RetryInterval
}
