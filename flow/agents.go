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

// AgentStatus is the status that an agent reports about itself and its server.
type AgentStatus struct {
	From IP
	// Process identifies the run of the agent.
	Process uint64
	// Accepting is set if the agent takes new flows.
	Accepting bool
	// Busy is the number of requests that are running, waiting, held or expected, Slots the number that the server runs
	// at once, and Flows the number of open flows.
	Busy, Slots, Flows uint32
	// ServiceTime is the server's mean time to process a request, or zero if it is unknown. FailureRate is the
	// share of its requests that count as failed.
	ServiceTime time.Duration
	FailureRate float64
	// ColdRate is how many new flows the server may get in the next second because it has not warmed up, or zero if
	// there is no limit.
	ColdRate float64
	// Work is the number of slots that the server's open flows are expected to keep busy, or zero if it is unknown.
	Work float64
	// Speed is how fast the server processes requests relative to the median of its service, or zero if it is unknown.
	Speed float64
	// Service is the hash of the name of the server's service, and ServerPort the port at which the server receives
	// packets. ServerPort is zero if the agent does not state them.
	Service    uint64
	ServerPort uint16
	// RouteTimes are the times of its most used routes. Only some answers to heartbeats hold them.
	RouteTimes RouteTimes
	// View is the freshness of the agent's view; its revision is zero if the agent has none.
	View registry.Freshness
}

// reportedStatus is what a balancer keeps of an AgentStatus. It keeps one for each server.
type reportedStatus struct {
	process               uint64
	accepting             bool
	busy, slots, flows    uint32
	serviceTime           time.Duration
	failureRate           float64
	coldRate, work, speed float64
	view                  registry.Freshness
	service               uint64
	serverPort            uint16
}

func reported(s *AgentStatus) reportedStatus {
	return reportedStatus{
		process: s.Process, accepting: s.Accepting, busy: s.Busy, slots: s.Slots, flows: s.Flows, serviceTime: s.ServiceTime,
		failureRate: s.FailureRate, coldRate: s.ColdRate, work: s.Work, speed: s.Speed, view: s.View,
		service: s.Service, serverPort: s.ServerPort,
	}
}

// agent is the state that a balancer keeps about the agent beside one server.
type agent struct {
	ip          IP
	service     uint64
	place       string
	incarnation uint64
	// runSince is when the view first named this run of the server.
	runSince time.Duration
	// coldRate is the limit on the new flows per second until the server has warmed up, or zero if there is none.
	coldRate float64
	// runChanged is the revision with which the view named this run in place of an earlier one, or zero.
	runChanged registry.Revision
	// routeTimes are those that the agent reported last, at routeTimesAt, for this run of the server, or nil.
	routeTimes   *RouteTimes
	routeTimesAt time.Duration
	slots        int
	draining     bool
	warmAt       time.Duration
	// serverPort is the port in the entry of the server.
	serverPort uint16
	// present is set if the view names the server. If not, it has not done so since unlistedSince.
	present       bool
	unlistedSince time.Duration
	// lastHeard is when the agent last sent its status, and waitingSince when it was first sent a message since then
	// that requires an answer; zero if nothing is outstanding.
	lastHeard, waitingSince time.Duration
	status                  reportedStatus
	// previousProcess is the run of the agent before that of its status. Messages of that run may still arrive.
	previousProcess uint64
	// leaving is set once the agent has announced that it is stopping.
	leaving bool
	// sentFlows counts the new flows sent to the agent since its last status.
	sentFlows     uint32
	nextHeartbeat time.Duration
	// reportedUnresponsive is what HealthChanges last returned for the agent.
	reportedUnresponsive bool
	// reportedCold is what ColdChanges last returned for the server.
	reportedCold bool
}

// expectReply records that the agent was sent a message that requires an answer.
func (a *agent) expectReply(now time.Duration) {
	if a.waitingSince == 0 {
		a.waitingSince = now
	}
}

// unresponsive reports whether the agent is stopping or has left a message unanswered for longer than limit.
func (a *agent) unresponsive(now, limit time.Duration) bool {
	return a.leaving || a.waitingSince > 0 && now-a.waitingSince > limit
}

// coldFactor is how many times longer a server takes for a request until it has warmed up. It applies if there is no
// limit on the new flows of cold servers.
const coldFactor = 1.6

// capacity returns how many requests the server can run at once, in requests at its warm speed.
func (a *agent) capacity(now time.Duration) float64 {
	slots := float64(max(1, a.slots))
	if a.cold(now) {
		return a.coldCapacity(slots)
	}
	return slots
}

// service holds the upstreams of one service.
type service struct {
	name string
	hash uint64
	// candidates are the upstreams ranked for new flows, and holders those ranked for searches. In holders a
	// draining upstream is not demoted, because it is as likely an owner as any other.
	candidates, holders []placement.Candidate
	// claimed are the addresses in entries of the service that are not used, unless another entry of the service states them.
	// Only searches ask the agents there.
	claimed []IP
	// peers caches the medians over the service's servers, as of peersUpdated.
	peers        PeerStats
	peersUpdated time.Duration
	totals       totals
}

// ServiceHash returns the hash that identifies a service in messages between processes.
func ServiceHash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// route holds the services that share the new flows to an address.
type route struct {
	services []*service
	weights  []uint32
	total    uint64
	// repeatable is set if running a request of the route twice does no harm.
	repeatable bool
	// former are the services to which earlier configurations directed the new flows. Open flows stay with them.
	former []*service
}

// holders returns the services whose upstreams may hold a flow to the route's address.
func (r *route) holders() []*service {
	return append(slices.Clone(r.services), r.former...)
}

// pick returns the service for a flow. It depends only on the key, so all copies of an opening packet go to the
// same service.
func (r *route) pick(key Key) *service {
	if len(r.services) == 1 {
		return r.services[0]
	}
	point := (key.Hash() >> 32) % r.total
	for i, weight := range r.weights {
		if point < uint64(weight) {
			return r.services[i]
		}
		point -= uint64(weight)
	}
	return r.services[len(r.services)-1]
}

// SetView puts a view into force and reports whether it has assigned the entries of servers to agents again.
func (d *Director) SetView(now time.Duration, view *registry.View) (assigned bool) {
	previous := d.view
	d.view = view
	if view == nil || previous != nil && previous.Content == view.Content && !d.reassignmentDue(now) {
		return false
	}
	d.reassignAt = 0
	d.putContent(now, view.Content)
	return true
}

// putContent puts the content of the view into force.
func (d *Director) putContent(now time.Duration, content *registry.Content) {
	d.setUpstreams(now, content)
	d.setRoutes(content)
	d.addNoticedFormers(now)
	d.setColdRates(content.Configuration)
	d.hints.idle = idleTimeout(content.Configuration, d.config.IdleTimeout, d.config.MaxFlowAge)
	d.sortAgents()
	d.pruneAgents(now)
}

// setUpstreams replaces the upstreams by those of a view.
func (d *Director) setUpstreams(now time.Duration, content *registry.Content) {
	used, unused := d.assignAddresses(now, content)
	d.services, d.byHash = map[string]*service{}, map[uint64]*service{}
	for ip, a := range d.agents {
		if a.present && used[ip] == nil {
			a.unlistedSince = now
		}
		a.present = used[ip] != nil
	}
	for ip, u := range used {
		d.setUpstream(now, ip, u)
	}
	for i := range unused {
		u := unused[i].Upstream
		ip := IP(u.Address.Addr().As4())
		if known := used[ip]; known == nil || known.Service != u.Service {
			s := d.service(u.Service)
			s.claimed = append(s.claimed, ip)
		}
	}
	d.unused = unused
}

func (d *Director) setUpstream(now time.Duration, ip IP, u *registry.Upstream) {
	s := d.service(u.Service)
	a := d.agents[ip]
	if a == nil || a.service != s.hash {
		previous := a
		a = &agent{ip: ip, nextHeartbeat: now}
		if previous != nil && previous.serverOf(u) == serverMatches {
			a.status, a.lastHeard = previous.status, previous.lastHeard
		}
		d.agents[ip] = a
	}
	if a.incarnation != u.Incarnation {
		if a.incarnation != 0 {
			a.startRun(d.view.Changed)
		}
		a.incarnation, a.runSince = u.Incarnation, now
	}
	a.service, a.place = s.hash, u.Place
	a.slots, a.draining, a.warmAt, a.serverPort = u.Slots, u.Draining, u.WarmAt, u.Address.Port()
	a.present = true
	candidate := placement.Candidate{Number: ipNumber(ip), Place: u.Place, Weight: 1}
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

func (d *Director) setRoutes(content *registry.Content) {
	d.routes = map[Endpoint]*route{}
	c := content.Configuration
	if c == nil {
		return
	}
	for i := range c.Routes {
		r := &route{repeatable: c.Routes[i].Repeatable}
		for _, share := range c.Routes[i].Shares {
			if share.Weight == 0 {
				continue
			}
			r.services = append(r.services, d.service(share.Service))
			r.weights = append(r.weights, share.Weight)
			r.total += uint64(share.Weight)
		}
		if r.total > 0 {
			d.routes[EndpointOf(c.Routes[i].Address)] = r
		}
	}
	for _, share := range content.Former {
		s := d.service(share.Service)
		if r := d.routes[EndpointOf(share.Address)]; r != nil && !slices.Contains(r.services, s) {
			r.former = append(r.former, s)
		}
	}
}

// sortAgents updates the sorted list after agents were added or replaced.
func (d *Director) sortAgents() {
	d.sortedAgents = d.sortedAgents[:0]
	for _, a := range d.agents {
		d.sortedAgents = append(d.sortedAgents, a)
	}
	slices.SortFunc(d.sortedAgents, func(a, b *agent) int { return cmp.Compare(ipNumber(a.ip), ipNumber(b.ip)) })
	d.unlisted = d.unlisted[:0]
	for _, a := range d.sortedAgents {
		if !a.present {
			d.unlisted = append(d.unlisted, a)
		}
	}
}

// pruneAgents removes the agents that the view does not name, once the hints of their flows have expired as well.
func (d *Director) pruneAgents(now time.Duration) {
	d.sortedAgents = slices.DeleteFunc(d.sortedAgents, func(a *agent) bool {
		gone := !a.present && now-a.lastHeard > d.hints.idle
		if gone {
			delete(d.agents, a.ip)
		}
		return gone
	})
	d.unlisted = slices.DeleteFunc(d.unlisted, func(a *agent) bool { return d.agents[a.ip] != a })
}

func ipNumber(ip IP) uint32 {
	return binary.BigEndian.Uint32(ip[:])
}

func ipFromNumber(number uint32) IP {
	var ip IP
	binary.BigEndian.PutUint32(ip[:], number)
	return ip
}

// fromCurrentRun reports whether a message does not come from the previous run of the agent. If it comes from a new
// run, the caller must store that run in the status. Runs have no order, since each is identified by the time of its
// start and the clock may have been set back in between.
func (a *agent) fromCurrentRun(process uint64) bool {
	if process == a.previousProcess {
		return false
	}
	if process != a.status.process {
		a.previousProcess = a.status.process
	}
	return true
}

// UpdateStatus handles the status of an agent.
func (d *Director) UpdateStatus(now time.Duration, status AgentStatus) {
	a := d.agents[status.From]
	if a == nil || !a.fromCurrentRun(status.Process) {
		return
	}
	a.lastHeard = now
	a.waitingSince, d.awaitingSince = 0, 0
	a.leaving = a.leaving && status.Process == a.status.process
	a.updateRun(now, d.config.MaxViewLag, &status)
	moved := a.status.service != status.Service || a.status.serverPort != status.ServerPort
	a.status = reported(&status)
	a.sentFlows = 0
	if moved && d.reassignAt == 0 && status.ServerPort != 0 && (a.service != status.Service || a.serverPort != status.ServerPort) {
		d.reassignAt = now + reassignDelay
	}
}

// HealthChange is a change in whether a balancer considers an agent responsive.
type HealthChange struct {
	Agent IP
	// Unresponsive is set if the agent is stopping or has left a message unanswered for too long, and SinceHeard is
	// the time since its last status.
	Unresponsive bool
	SinceHeard   time.Duration
}

// HealthChanges returns the agents that have become unresponsive or responsive since the last call.
func (d *Director) HealthChanges(now time.Duration) []HealthChange {
	var changes []HealthChange
	for _, a := range d.sortedAgents {
		if down := a.unresponsive(now, d.config.UnresponsiveAfter); down != a.reportedUnresponsive {
			a.reportedUnresponsive = down
			changes = append(changes, HealthChange{Agent: a.ip, Unresponsive: down, SinceHeard: now - a.lastHeard})
		}
	}
	return changes
}

// HandleLeave records that an agent has announced that it is stopping.
func (d *Director) HandleLeave(now time.Duration, from IP, process uint64) {
	a := d.agents[from]
	if a == nil || !a.fromCurrentRun(process) {
		return
	}
	a.status.process = process
	a.leaving = true
	a.nextHeartbeat = now + d.config.RetryInterval
}
