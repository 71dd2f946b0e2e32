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

// flow is one connection of a caller.
type flow struct {
	id       uint64
	service  uint32
	closes   time.Duration
	attempts int
	// owner is the agent that accepted the flow; nil until then.
	owner *agent
	// heard is the last time at which the owner got a packet.
	heard time.Duration
	// connectionID names the owner, by the key that the owner had then.
	connectionID placement.ConnectionID
	// inherited says that the flow was open at the last change of upstreams.
	inherited bool
}

// agent is the process beside an upstream, with the acceptor that is under test.
type agent struct {
	upstream Upstream
	service  uint32
	address  netip.AddrPort
	self     placement.Owner
	codec    *placement.Codec
	acceptor *placement.Acceptor
	peers    []placement.PeerLoad
	flows    map[uint64]*flow
	started  time.Duration
	dead     bool
	died     time.Duration
	frozen   time.Duration
	// revision and leaving are what the agent knows, and drained is when the settings said so.
	revision uint64
	leaving  bool
	drained  time.Duration
	removed  bool
	// inherited counts the flows opened before the last change of upstreams.
	inherited int
}

func (a *agent) running(now time.Duration) bool {
	return !a.dead && now >= a.frozen
}

func (a *agent) load() placement.Load {
	return placement.Load{
		Flows:     uint32(len(a.flows)),
		Weight:    a.upstream.Weight,
		Accepting: !a.leaving,
	}
}

// balancer is one replica of a balancer, with the routes that are under test.
type balancer struct {
	place    string
	tree     *settings.Tree
	table    *routing.Table
	builder  routing.Builder
	router   *routing.Router
	liveness *placement.Liveness
	// flows is the table of the flow table and random policies.
	flows map[uint64]uint32
}

// arrival is a revision on its way to a process.
type arrival struct {
	at   time.Duration
	tree *settings.Tree
	// apply puts the tree in force.
	apply func(now time.Duration, tree *settings.Tree)
}

// simulation is the state of a replay.
type simulation struct {
	trace  *Trace
	policy policy
	rnd    *rand.Rand
	codec  *placement.Codec
	// generation counts the rotations of the keys of connection IDs.
	generation byte
	now        time.Duration
	tree       *settings.Tree
	agents     []*agent
	balancers  []*balancer
	arrivals   []arrival
	flows      map[uint64]*flow
	// due holds the flows by the tick of their next packet.
	due    map[int64][]*flow
	lastID uint64
	// parted holds the places of one side of a partition until heal.
	parted []string
	heal   time.Duration
	result *Result
}

// tick is the step of a replay.
const tick = 100 * time.Millisecond

// Intervals of a replay.
const (
	heartbeatInterval = 500 * time.Millisecond
	sampleInterval    = time.Second
	retryInterval     = time.Second
	// maxAttempts bounds the tries to open a flow.
	maxAttempts = 6
	// idleTimeout is the silence after which a flow is broken.
	idleTimeout = 20 * time.Second
	// retention is how long a balancer knows a removed upstream.
	retention = 12 * time.Hour
)

func newSimulation(t *Trace, p policy) *simulation {
	w := &simulation{
		trace:  t,
		policy: p,
		rnd:    rand.New(rand.NewSource(t.Seed)),
		codec:  newCodec(0),
		flows:  map[uint64]*flow{},
		due:    map[int64][]*flow{},
		result: &Result{Policy: p.name()},
	}
	w.tree = &settings.Tree{Revision: 1}
	for _, s := range t.Services {
		service := settings.Service{Number: s.Number}
		for _, u := range s.Upstreams {
			a := w.addAgent(s.Number, u)
			service.Upstreams = append(service.Upstreams, a.settings())
		}
		w.tree.Services = append(w.tree.Services, service)
	}
	for _, b := range t.Balancers {
		w.balancers = append(w.balancers, w.newBalancer(b.Place))
	}
	w.heartbeats()
	return w
}

// newCodec returns the codec of a generation of keys, which reads those of the one before as well.
func newCodec(generation byte) *placement.Codec {
	key := func(generation byte) []byte { return append([]byte("key of a replay"), generation) }
	codec, err := placement.NewCodec(key(generation), key(generation-1))
	if err != nil {
		panic(err)
	}
	return codec
}

func (w *simulation) addAgent(service uint32, u Upstream) *agent {
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
		started:  w.now,
		codec:    w.codec,
		self:     placement.Owner{Service: service, Server: u.Number, Incarnation: uint32(len(w.agents) + 1)},
		acceptor: placement.NewAcceptor(w.acceptorConfig(u.Number), w.now),
		flows:    map[uint64]*flow{},
	}
	w.agents = append(w.agents, a)
	return a
}

func (w *simulation) acceptorConfig(server uint32) placement.AcceptorConfig {
	config := placement.DefaultAcceptorConfig(server)
	if w.trace.SlowStart > 0 {
		config.SlowStart = w.trace.SlowStart
	}
	if w.trace.FlowSlack > 0 {
		config.Slack = w.trace.FlowSlack
	}
	return config
}

func (a *agent) settings() settings.Upstream {
	policy := settings.DefaultPolicy()
	policy.Weight = a.upstream.Weight
	return settings.Upstream{Number: a.upstream.Number, Place: a.upstream.Place, AgentAddress: a.address, Leaving: a.leaving, Policy: policy}
}

func (w *simulation) newBalancer(place string) *balancer {
	b := &balancer{place: place, router: routing.NewRouter(w.codec), flows: map[uint64]uint32{}}
	b.liveness = placement.NewLiveness(placement.DefaultLivenessConfig(), w.now)
	b.builder = routing.Builder{Health: b.liveness.Health, Refused: b.liveness.Refused, Retention: retention}
	b.table = routing.Empty()
	b.apply(w.now, w.tree)
	return b
}

func (b *balancer) apply(now time.Duration, tree *settings.Tree) {
	b.tree = tree
	b.table = b.builder.Build(now, tree, b.table)
}

// reachable reports whether a partition leaves two places joined.
func (w *simulation) reachable(a, b string) bool {
	if w.now >= w.heal {
		return true
	}
	return slices.Contains(w.parted, a) == slices.Contains(w.parted, b)
}

// at returns the agent that receives datagrams at an address: the newest VM that has it.
func (w *simulation) at(address netip.AddrPort) *agent {
	for i := len(w.agents) - 1; i >= 0; i-- {
		if w.agents[i].address == address {
			return w.agents[i]
		}
	}
	return nil
}

// numbered returns the running agent of a server.
func (w *simulation) numbered(server uint32) *agent {
	for i := len(w.agents) - 1; i >= 0; i-- {
		if w.agents[i].upstream.Number == server && !w.agents[i].dead {
			return w.agents[i]
		}
	}
	return nil
}

// heartbeats exchanges the loads of the agents of each service.
func (w *simulation) heartbeats() {
	for _, a := range w.agents {
		if !a.running(w.now) {
			continue
		}
		for _, from := range w.agents {
			if from != a && from.service == a.service && from.running(w.now) && w.reachable(a.upstream.Place, from.upstream.Place) {
				a.hear(w.now, from)
			}
		}
	}
}

func (a *agent) hear(now time.Duration, from *agent) {
	report := placement.PeerLoad{Server: from.upstream.Number, Load: from.load(), LastHeard: now, Age: max(now-from.started, 1)}
	for i := range a.peers {
		if a.peers[i].Server == report.Server {
			a.peers[i] = report
			return
		}
	}
	a.peers = append(a.peers, report)
}

// checkAgents steps the liveness of the agents at each balancer.
func (w *simulation) checkAgents() {
	for _, b := range w.balancers {
		b.checkAgents(w)
	}
}

func (b *balancer) checkAgents(w *simulation) {
	agents := b.table.Agents()
	progress := make([]placement.Progress, 0, len(agents))
	before := make([]placement.Health, 0, len(agents))
	for _, a := range agents {
		progress = append(progress, placement.Progress{
			Server: a.Server, Place: a.Place, Forwarded: a.Progress.Forwarded.Load(), Returned: a.Progress.Returned.Load(),
		})
		before = append(before, b.liveness.Health(a.Server))
	}
	probes := b.liveness.Step(w.now, progress)
	changed := false
	for i, a := range agents {
		changed = changed || b.liveness.Health(a.Server) != before[i]
		if slices.Contains(probes, a.Server) {
			w.deliver(b, a)
		}
	}
	if changed {
		b.apply(w.now, b.tree)
	}
}

// deliver takes a datagram to an agent and returns it, or nil if it is lost. The agent answers.
func (w *simulation) deliver(b *balancer, to *routing.Agent) *agent {
	to.Progress.Forwarded.Add(1)
	a := w.at(to.Address)
	if a == nil || !a.running(w.now) || !w.reachable(b.place, a.upstream.Place) {
		return nil
	}
	to.Progress.Returned.Add(1)
	a.learn(b.tree)
	return a
}

// learn adopts a higher revision that a datagram names.
func (a *agent) learn(tree *settings.Tree) {
	if tree.Revision <= a.revision {
		return
	}
	a.revision = tree.Revision
	if u := tree.Service(a.service).Upstream(a.upstream.Number); u != nil {
		a.leaving = u.Leaving
	}
}
