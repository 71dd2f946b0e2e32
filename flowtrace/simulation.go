package flowtrace

import (
	"encoding/binary"
	"math/rand"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// flow is a connection of a caller.
type flow struct {
	id       uint64
	service  uint32
	closeAt  time.Duration
	attempts int
	// owner is the agent that accepted the flow, or nil if the flow is not established.
	owner *agent
	// lastAccepted is the time at which the owner last accepted a packet.
	lastAccepted time.Duration
	// connectionID encodes the owner under the key that the owner used when the flow was established.
	connectionID placement.ConnectionID
	// preexisting is set if the flow was open at the last change of upstreams.
	preexisting bool
}

// agent is the process that runs beside an upstream, with the acceptor under test.
type agent struct {
	upstream    Upstream
	service     uint32
	address     netip.AddrPort
	self        placement.Owner
	codec       *placement.Codec
	acceptor    *placement.Acceptor
	peers       []placement.PeerLoad
	flows       map[uint64]*flow
	started     time.Duration
	dead        bool
	diedAt      time.Duration
	frozenUntil time.Duration
	// revision is the settings revision that the agent has applied; leaving is set if the upstream is leaving in it.
	// drainedAt is when the settings were changed to drain the upstream; that revision may reach the agent later.
	revision  uint64
	leaving   bool
	drainedAt time.Duration
	removed   bool
	// preexisting counts the open flows that were already open at the last change of upstreams.
	preexisting int
}

func (a *agent) running(now time.Duration) bool {
	return !a.dead && now >= a.frozenUntil
}

func (a *agent) load() placement.Load {
	return placement.Load{
		Flows:     uint32(len(a.flows)),
		Weight:    a.upstream.Weight,
		Accepting: !a.leaving,
	}
}

// balancer is one balancer process, with the router under test.
type balancer struct {
	place    string
	tree     *settings.Tree
	table    *routing.Table
	builder  routing.Builder
	router   *routing.Router
	liveness *placement.Liveness
	// flows maps the ID of a flow to a server for the policies flowTable and randomChoice.
	flows map[uint64]uint32
}

// pendingUpdate is a settings revision or a key change that reaches a process at a later time.
type pendingUpdate struct {
	at   time.Duration
	tree *settings.Tree
	// apply makes the change at the process. A key change ignores the tree.
	apply func(now time.Duration, tree *settings.Tree)
}

// simulation is the state of a replay.
type simulation struct {
	trace  *Trace
	policy policy
	rnd    *rand.Rand
	codec  *placement.Codec
	// keyGeneration counts the key rotations.
	keyGeneration  byte
	now            time.Duration
	tree           *settings.Tree
	agents         []*agent
	balancers      []*balancer
	pendingUpdates []pendingUpdate
	flows          map[uint64]*flow
	// due maps a tick number to the flows that send their next packet in that tick.
	due       map[int64][]*flow
	flowCount uint64
	// isolated holds the places on one side of the partition that lasts until partitionEnd.
	isolated     []string
	partitionEnd time.Duration
	result       *Result
}

// tick is the time step of a replay.
const tick = 100 * time.Millisecond

// Intervals of a replay.
const (
	heartbeatInterval = 500 * time.Millisecond
	sampleInterval    = time.Second
	retryInterval     = time.Second
	// maxAttempts limits the attempts to open a flow.
	maxAttempts = 6
	// idleTimeout is how long a flow survives without an accepted packet.
	idleTimeout = 20 * time.Second
	// retention is how long a balancer keeps routing to a removed upstream.
	retention = 12 * time.Hour
)

func newSimulation(t *Trace, p policy) *simulation {
	sim := &simulation{
		trace:  t,
		policy: p,
		rnd:    rand.New(rand.NewSource(t.Seed)),
		codec:  newCodec(0),
		flows:  map[uint64]*flow{},
		due:    map[int64][]*flow{},
		result: &Result{Policy: p.name()},
	}
	sim.tree = &settings.Tree{Revision: 1}
	for _, s := range t.Services {
		service := settings.Service{Number: s.Number}
		for _, u := range s.Upstreams {
			a := sim.addAgent(s.Number, u)
			service.Upstreams = append(service.Upstreams, a.settings())
		}
		sim.tree.Services = append(sim.tree.Services, service)
	}
	for _, b := range t.Balancers {
		sim.balancers = append(sim.balancers, sim.newBalancer(b.Place))
	}
	sim.exchangeHeartbeats()
	return sim
}

// newCodec returns the codec of a key generation, which also decodes connection IDs of the previous generation.
func newCodec(generation byte) *placement.Codec {
	key := func(generation byte) []byte { return append([]byte("key of a replay"), generation) }
	codec, err := placement.NewCodec(key(generation), key(generation-1))
	if err != nil {
		panic(err)
	}
	return codec
}

func (sim *simulation) addAgent(service uint32, u Upstream) *agent {
	if u.Weight == 0 {
		u.Weight = 1
	}
	if u.Address == 0 {
		u.Address = u.Number
	}
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 10<<24|u.Address)
	a := &agent{
		upstream: u,
		service:  service,
		address:  netip.AddrPortFrom(netip.AddrFrom4(ip), 1),
		started:  sim.now,
		codec:    sim.codec,
		self:     placement.Owner{Service: service, Server: u.Number, Incarnation: uint32(len(sim.agents) + 1)},
		acceptor: placement.NewAcceptor(sim.acceptorConfig(u.Number), sim.now),
		flows:    map[uint64]*flow{},
	}
	sim.agents = append(sim.agents, a)
	return a
}

func (sim *simulation) acceptorConfig(server uint32) placement.AcceptorConfig {
	config := placement.DefaultAcceptorConfig(server)
	if sim.trace.SlowStart > 0 {
		config.SlowStart = sim.trace.SlowStart
	}
	if sim.trace.FlowSlack > 0 {
		config.Slack = sim.trace.FlowSlack
	}
	return config
}

func (a *agent) settings() settings.Upstream {
	policy := settings.DefaultPolicy()
	policy.Weight = a.upstream.Weight
	return settings.Upstream{Number: a.upstream.Number, Place: a.upstream.Place, AgentAddress: a.address, Leaving: a.leaving, Policy: policy}
}

func (sim *simulation) newBalancer(place string) *balancer {
	b := &balancer{place: place, router: routing.NewRouter(sim.codec), flows: map[uint64]uint32{}}
	b.liveness = placement.NewLiveness(placement.DefaultLivenessConfig(), sim.now)
	b.builder = routing.Builder{Health: b.liveness.Health, Refused: b.liveness.Refused, Retention: retention}
	b.table = routing.Empty()
	b.apply(sim.now, sim.tree)
	return b
}

func (b *balancer) apply(now time.Duration, tree *settings.Tree) {
	b.tree = tree
	b.table = b.builder.Build(now, tree, b.table)
}

// reachable reports whether two places are on the same side of a partition, if there is one.
func (sim *simulation) reachable(a, b string) bool {
	if sim.now >= sim.partitionEnd {
		return true
	}
	return slices.Contains(sim.isolated, a) == slices.Contains(sim.isolated, b)
}

// agentAt returns the agent that receives datagrams at an address, which is the one that was added last.
func (sim *simulation) agentAt(address netip.AddrPort) *agent {
	for i := len(sim.agents) - 1; i >= 0; i-- {
		if sim.agents[i].address == address {
			return sim.agents[i]
		}
	}
	return nil
}

// agentOf returns the newest agent of a server that has not been killed. It may be frozen.
func (sim *simulation) agentOf(server uint32) *agent {
	for i := len(sim.agents) - 1; i >= 0; i-- {
		if sim.agents[i].upstream.Number == server && !sim.agents[i].dead {
			return sim.agents[i]
		}
	}
	return nil
}

// exchangeHeartbeats lets the agents of each service exchange their loads.
func (sim *simulation) exchangeHeartbeats() {
	for _, a := range sim.agents {
		if !a.running(sim.now) {
			continue
		}
		for _, from := range sim.agents {
			if from != a && from.service == a.service && from.running(sim.now) && sim.reachable(a.upstream.Place, from.upstream.Place) {
				a.receiveHeartbeat(sim.now, from)
			}
		}
	}
}

func (a *agent) receiveHeartbeat(now time.Duration, from *agent) {
	report := placement.PeerLoad{Server: from.upstream.Number, Load: from.load(), LastHeard: now, Age: max(now-from.started, 1)}
	for i := range a.peers {
		if a.peers[i].Server == report.Server {
			a.peers[i] = report
			return
		}
	}
	a.peers = append(a.peers, report)
}

// checkAgents runs one step of agent liveness detection at each balancer.
func (sim *simulation) checkAgents() {
	for _, b := range sim.balancers {
		b.checkAgents(sim)
	}
}

func (b *balancer) checkAgents(sim *simulation) {
	agents := b.table.Agents()
	progress := make([]placement.Progress, 0, len(agents))
	before := make([]placement.Health, 0, len(agents))
	for _, a := range agents {
		progress = append(progress, placement.Progress{
			Server: a.Server, Place: a.Place, Forwarded: a.Progress.Forwarded.Load(), Returned: a.Progress.Returned.Load(),
		})
		before = append(before, b.liveness.Health(a.Server))
	}
	probes := b.liveness.Step(sim.now, progress)
	changed := false
	for i, a := range agents {
		changed = changed || b.liveness.Health(a.Server) != before[i]
		if slices.Contains(probes, a.Server) {
			sim.deliver(b, a)
		}
	}
	if changed {
		b.apply(sim.now, b.tree)
	}
}

// deliver sends a datagram to an agent, which answers it, and returns the receiver, or nil if the datagram is lost.
func (sim *simulation) deliver(b *balancer, to *routing.Agent) *agent {
	to.Progress.Forwarded.Add(1)
	a := sim.agentAt(to.Address)
	if a == nil || !a.running(sim.now) || !sim.reachable(b.place, a.upstream.Place) {
		return nil
	}
	to.Progress.Returned.Add(1)
	a.adoptRevision(b.tree)
	return a
}

// adoptRevision applies the revision of the balancer that sent a datagram, if it is newer than that of the agent.
func (a *agent) adoptRevision(tree *settings.Tree) {
	if tree.Revision <= a.revision {
		return
	}
	a.revision = tree.Revision
	if u := tree.Service(a.service).Upstream(a.upstream.Number); u != nil {
		a.leaving = u.Leaving
	}
}
