package flow_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// The simulation runs Directors and Keepers over a network with delays, beside servers and clients that behave
// as the transport says. It checks what clients and servers see.

const (
	simPort   = 8000
	lastCheck = 2 * time.Second
)

// simPlace returns the place of the n-th process.
func simPlace(n, places int) string {
	return fmt.Sprint("place", n%places)
}

// simEvent is something that happens at a time.
type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simServer is a server with the agent beside it.
type simServer struct {
	id          string
	ip          flow.IP
	service     string
	incarnation uint64
	running     bool
	registered  bool
	draining    bool
	// flows holds the number that opened each flow, and whether it is open.
	flows map[flow.Key]*simFlow

	keeper *flow.Tracker
	// process counts the runs of the agent, and away is when it last was down.
	process uint64
	away    time.Duration
}

type simFlow struct {
	seq  uint32
	open bool
}

type simBalancer struct {
	ip       flow.IP
	director *flow.Director
	// cutOff is until when the balancer hears nothing of changes.
	cutOff time.Duration
	// snapshot is the state of the store that the balancer has in force.
	snapshot registry.Snapshot
}

// simClient is one flow of a client.
type simClient struct {
	key     flow.Key
	service string
	// server is the one that the client took, with the incarnation that it had.
	server      *simServer
	incarnation uint64
	seq         uint32
	opened      bool
	openedAt    time.Duration
	answered    bool
	closed      bool
	next        uint32
	// delivered is the last packet of the client that reached its server.
	delivered uint32
}

// world is the whole simulation.
type world struct {
	t         *testing.T
	rnd       *rand.Rand
	now       time.Duration
	queue     simQueue
	order     int
	revision  uint64
	version   uint64
	routes    map[flow.Endpoint]string
	servers   []*simServer
	byIP      map[flow.IP]*simServer
	balancers []*simBalancer
	clients   map[flow.Key]*simClient
	nextIP    byte
	nextSeq   uint32
	// seen holds the revision of the view that a process has.
	seen map[flow.IP]uint64
	// lag is the longest time that a view takes to a process.
	lag    time.Duration
	faults []string
	counts map[string]int
	// options say what differs from servers that answer each request after some milliseconds, and from flows that
	// carry many requests.
	options worldOptions
	// arrived is told of the requests that reach servers, if it is set.
	arrived func(*simServer)
}

// worldOptions says what differs in a world.
type worldOptions struct {
	// slots is the number of requests that a server says it runs at once.
	slots int
	// target and priority are those of every route.
	target   time.Duration
	priority int
	// places is the number of availability zones.
	places int
	// serve, if it is set, works on a request; a flow carries only one then.
	serve func(server *simServer, p flow.Packet, answer func())
	// reset is told of flows that were reset.
	reset func(flow.Key)
}

func newWorld(t *testing.T, seed int64, servers, balancers int) *world {
	return newWorldOf(t, seed, servers, balancers, worldOptions{slots: 50, places: 1})
}

func newWorldOf(t *testing.T, seed int64, servers, balancers int, options worldOptions) *world {
	w := &world{
		options: options,
		t:       t, rnd: rand.New(rand.NewSource(seed)), byIP: map[flow.IP]*simServer{}, clients: map[flow.Key]*simClient{},
		routes: map[flow.Endpoint]string{}, seen: map[flow.IP]uint64{}, lag: 300 * time.Millisecond, counts: map[string]int{},
		now: time.Hour,
	}
	for i, service := range []string{"orders", "photos"} {
		w.routes[serviceEnd(i)] = service
		for range servers {
			w.addServer(service)
		}
	}
	for i := range balancers {
		w.balancers = append(w.balancers, &simBalancer{ip: flow.IP{10, 9, 0, byte(i + 1)}})
		w.startBalancer(w.balancers[i])
	}
	w.publish()
	w.heartbeats()
	w.confirm()
	w.run(time.Second)
	return w
}

func serviceEnd(i int) flow.Endpoint {
	return flow.Endpoint{IP: flow.IP{198, 18, 0, byte(i + 1)}, Port: 443}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now-time.Hour)+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, simEvent{at: w.now + d, order: w.order, do: do})
}

// send does something at the other end of the network.
func (w *world) send(do func()) {
	w.after(time.Duration(500+w.rnd.Intn(1500))*time.Microsecond, do)
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// view is what the store holds now.
func (w *world) view() registry.Snapshot {
	s := registry.Snapshot{Revision: w.revision, Configuration: &registry.Configuration{Version: w.version}}
	for end, service := range w.routes {
		s.Configuration.Routes = append(s.Configuration.Routes, registry.Route{
			Address: end.AddrPort(), Shares: []registry.Share{{Service: service, Weight: 1}}, Repeatable: true,
			Target: w.options.target, Priority: w.options.priority,
		})
	}
	for _, server := range w.servers {
		if server.registered {
			s.Upstreams = append(s.Upstreams, server.entry(w.options))
		}
	}
	return s
}

func (s *simServer) entry(options worldOptions) registry.Upstream {
	return registry.Upstream{
		ID: s.id, Service: s.service, Address: netip.AddrPortFrom(netip.AddrFrom4(s.ip), simPort), Place: simPlace(int(s.ip[3]), options.places),
		Slots: options.slots, Draining: s.draining, Incarnation: s.incarnation,
	}
}

// viewOf returns the view that a read of the store at a time gives.
func viewOf(s registry.Snapshot, at time.Duration) *registry.View {
	r := registry.New(registry.DefaultConfig(1))
	s.Confirmed = at - time.Minute
	r.Replace(s)
	s.Confirmed = at
	if _, err := r.Apply(registry.Changes{After: s.Revision, Revision: s.Revision, Confirmed: at}); err != nil {
		panic(err)
	}
	v := r.View()
	// The store has confirmed the view all the while.
	v.Continuous = at - time.Minute
	return v
}

// publish brings the state of the store to every process, to each after a delay of its own.
func (w *world) publish() {
	w.revision++
	w.version++
	s := w.view()
	for _, b := range w.balancers {
		w.after(time.Duration(w.rnd.Int63n(int64(w.lag))), func() { w.adoptBalancer(b, s) })
	}
	for _, server := range w.servers {
		w.after(time.Duration(w.rnd.Int63n(int64(w.lag))), func() { w.adoptAgent(server, s) })
	}
}

func (w *world) adoptBalancer(b *simBalancer, s registry.Snapshot) {
	if b.director != nil && s.Revision >= w.seen[b.ip] && w.now >= b.cutOff {
		w.seen[b.ip], b.snapshot = s.Revision, s
		b.director.SetView(w.now, viewOf(s, w.now))
		w.resume(b)
	}
}

// confirm lets every balancer hear from time to time that the store has not changed, and every agent tidy up.
func (w *world) confirm() {
	for _, b := range w.balancers {
		if b.snapshot.Revision == w.revision {
			w.adoptBalancer(b, b.snapshot)
		}
	}
	for _, server := range w.servers {
		if server.keeper != nil {
			server.keeper.Sweep(w.now)
		}
	}
	w.after(time.Second, w.confirm)
}

func (w *world) resume(b *simBalancer) {
	for {
		d, p, _ := b.director.NextResumedSearch(w.now)
		if p == nil {
			return
		}
		w.apply(b, *p, d)
	}
}

func (w *world) adoptAgent(server *simServer, s registry.Snapshot) {
	if server.keeper != nil && s.Revision >= w.seen[server.ip] {
		w.seen[server.ip] = s.Revision
		server.keeper.SetView(viewOf(s, w.now))
	}
}

func (w *world) addServer(service string) *simServer {
	w.nextIP++
	return w.addServerAt(flow.IP{10, 1, 0, w.nextIP}, service)
}

func (w *world) addServerAt(ip flow.IP, service string) *simServer {
	server := &simServer{
		id: fmt.Sprint("s", len(w.servers)), ip: ip, service: service, running: true, registered: true,
		incarnation: uint64(w.now), flows: map[flow.Key]*simFlow{},
	}
	w.servers = append(w.servers, server)
	w.byIP[server.ip] = server
	w.startAgent(server)
	return server
}

func (w *world) startAgent(server *simServer) {
	server.process++
	config := flow.DefaultTrackerConfig(server.service, flow.Endpoint{IP: server.ip, Port: simPort})
	server.keeper = flow.NewTracker(config, w.now)
	w.seen[server.ip] = 0
	if w.revision > 0 {
		w.adoptAgent(server, w.view())
	}
}

func (w *world) startBalancer(b *simBalancer) {
	b.director = flow.NewDirector(flow.DefaultDirectorConfig(simPlace(int(b.ip[3]), w.options.places)), w.now)
	b.cutOff = 0
	w.seen[b.ip] = 0
	if w.revision > 0 {
		w.adoptBalancer(b, w.view())
	}
}

// heartbeats lets every balancer do what is due, again and again.
func (w *world) heartbeats() {
	for _, b := range w.balancers {
		w.tick(b)
	}
	for _, server := range w.servers {
		w.tickAgent(server)
	}
	w.after(20*time.Millisecond, w.heartbeats)
}

func (w *world) tickAgent(server *simServer) {
	if server.keeper == nil {
		return
	}
	if server.keeper.Check(w.now) {
		for key := range server.keeper.EndStalled() {
			w.reset(key, "agent "+server.id+": server is silent")
		}
	}
	for {
		v, p, _ := server.keeper.NextUnanswered(w.now)
		if p == nil {
			return
		}
		w.applyAgent(server, *p, v, 0)
	}
}

func (w *world) tick(b *simBalancer) {
	if b.director == nil {
		return
	}
	for {
		d, p, _ := b.director.NextHedge(w.now)
		if p == nil {
			break
		}
		w.apply(b, *p, d)
	}
	for {
		ip, ok := b.director.Heartbeat(w.now)
		if !ok {
			break
		}
		peers := b.director.PeerStats(w.now, ip)
		w.send(func() {
			if server := w.byIP[ip]; server.keeper != nil {
				server.keeper.SetPeers(w.now, peers)
				w.word(server, b)
			}
		})
	}
}

// word sends the word of an agent to a balancer.
func (w *world) word(server *simServer, b *simBalancer) {
	if server.keeper == nil {
		return
	}
	word := w.wordOf(server)
	seen := w.seen[server.ip]
	w.send(func() {
		if b.director == nil {
			return
		}
		w.heard(b, word, seen)
	})
}

func (w *world) wordOf(server *simServer) flow.AgentStatus {
	word := server.keeper.Status(w.now)
	word.From, word.Process = server.ip, server.process
	return word
}

// heard lets a balancer take in the word of an agent, and ask it for what changed if it knows more.
func (w *world) heard(b *simBalancer, word flow.AgentStatus, seen uint64) {
	b.director.UpdateStatus(w.now, word)
	if seen > w.seen[b.ip] {
		b.cutOff = 0
		w.after(3*time.Millisecond, func() { w.adoptBalancer(b, w.view()) })
	}
}

// fromClient sends a packet of a client through a random balancer that runs.
func (w *world) fromClient(p flow.Packet) {
	w.send(func() {
		b := w.near(p.Key)
		if b.director == nil {
			return
		}
		w.apply(b, p, b.director.FromClient(w.now, &p, nil))
	})
}

// near returns a random balancer in the place of a client.
func (w *world) near(key flow.Key) *simBalancer {
	places := w.options.places
	place := int(key.Client.Port) % places
	return w.balancers[place+places*w.rnd.Intn((len(w.balancers)-place+places-1)/places)]
}

// apply carries out the decision of a balancer.
func (w *world) apply(b *simBalancer, p flow.Packet, d flow.Decision) {
	w.counts["balancer "+d.Action.String()]++
	switch d.Action {
	case flow.Forward:
		for _, branch := range append([]flow.Branch{{To: d.To, Request: d.Request}}, d.Branches...) {
			request := copyRequest(branch.Request)
			request.Balancer = b.ip
			w.toAgent(branch.To, p, request, 0)
		}
	case flow.Reset:
		w.reset(p.Key, "balancer: "+d.Reason)
	}
}

func copyRequest(r flow.Request) flow.Request {
	r.Remaining = append([]flow.IP(nil), r.Remaining...)
	return r
}

func (w *world) toAgent(ip flow.IP, p flow.Packet, request flow.Request, hops int) {
	if hops > len(w.servers)+1 {
		w.fault("packet of %v was passed on %d times", p.Key, hops)
		return
	}
	w.send(func() {
		server := w.byIP[ip]
		if server.keeper == nil {
			return
		}
		w.applyAgent(server, p, server.keeper.FromNode(w.now, &p, nil, request), hops)
	})
}

// applyAgent carries out the verdict of an agent.
func (w *world) applyAgent(server *simServer, p flow.Packet, v flow.Verdict, hops int) {
	w.counts["agent "+v.Action.String()]++
	w.note(server, p, v)
	p.Returned = false
	switch v.Action {
	case flow.ToServer:
		w.toServer(server, p, hops)
	case flow.ToClient:
		w.send(func() { w.toClient(server, p) })
	case flow.Forward:
		w.toAgent(v.To, p, copyRequest(v.Request), hops+1)
	case flow.Return:
		w.toBalancer(v.To, func(b *simBalancer) { w.apply(b, p, b.director.HandleReturned(w.now, &p, nil, server.ip)) })
	case flow.Reset:
		w.reset(p.Key, "agent "+server.id+": "+v.Reason)
	}
}

func (w *world) note(server *simServer, p flow.Packet, v flow.Verdict) {
	switch v.Note {
	case flow.NoteHeld, flow.NoteRefused:
		word := w.wordOf(server)
		report := flow.Report{Key: p.Key, Held: v.Note == flow.NoteHeld, From: server.ip, Service: server.keeper.Service()}
		seen := w.seen[server.ip]
		w.toBalancer(v.Balancer, func(b *simBalancer) {
			w.heard(b, word, seen)
			for _, waiting := range b.director.HandleReport(w.now, report) {
				w.apply(b, waiting.Packet, b.director.FromClient(w.now, &waiting.Packet, nil))
			}
		})
	case flow.NoteDenied:
		denial := flow.Denial{Key: p.Key, Search: v.Request.Search, Outdated: v.Request.Outdated()}
		w.toBalancer(v.Balancer, func(b *simBalancer) {
			if d, denied, _ := b.director.HandleDenial(w.now, denial); denied != nil {
				w.apply(b, *denied, d)
			}
		})
	case flow.NoteStatus:
		for _, b := range w.balancers {
			if b.ip == v.Balancer {
				w.word(server, b)
			}
		}
	}
}

func (w *world) toBalancer(ip flow.IP, do func(*simBalancer)) {
	w.send(func() {
		for _, b := range w.balancers {
			if b.ip == ip && b.director != nil {
				do(b)
			}
		}
	})
}

// toServer lets the server beside an agent answer a packet of a client.
func (w *world) toServer(server *simServer, p flow.Packet, hops int) {
	if server.service != w.clients[p.Key].service {
		w.fault("packet of %v reached server %s of %s", p.Key, server.id, server.service)
	}
	if !server.running {
		return
	}
	f := server.flows[p.Key]
	switch {
	case p.Kind == flow.Opening:
		w.serverOpens(server, p)
	case f == nil || !f.open && p.Ack != f.seq:
		p.Returned = true
		w.applyAgent(server, p, server.keeper.FromServer(w.now, &p), hops)
	default:
		f.open = true
		w.reached(server, p)
		w.serve(server, p, func() {
			answer := flow.Packet{Key: p.Key, Kind: flow.Other, Length: 100}
			if server.running && server.keeper != nil && server.flows[p.Key] == f {
				w.applyAgent(server, answer, server.keeper.FromServer(w.now, &answer), 0)
			}
		})
	}
}

// serve lets a server work on a request.
func (w *world) serve(server *simServer, p flow.Packet, answer func()) {
	if w.arrived != nil {
		w.arrived(server)
	}
	if w.options.serve != nil {
		w.options.serve(server, p, answer)
		return
	}
	w.after(time.Duration(1+w.rnd.Intn(60))*time.Millisecond, answer)
}

func (w *world) serverOpens(server *simServer, p flow.Packet) {
	if server.flows[p.Key] == nil {
		w.nextSeq++
		server.flows[p.Key] = &simFlow{seq: w.nextSeq << 8}
	}
	answer := flow.Packet{Key: p.Key, Kind: flow.Accepting, Seq: server.flows[p.Key].seq}
	w.after(300*time.Microsecond, func() {
		if server.running && server.keeper != nil {
			w.applyAgent(server, answer, server.keeper.FromServer(w.now, &answer), 0)
		}
	})
}

// reached notes that a packet came to the server that holds its flow.
func (w *world) reached(server *simServer, p flow.Packet) {
	c := w.clients[p.Key]
	if c.server == server {
		c.opened = true
		c.delivered = max(c.delivered, p.Seq)
	}
}

// toClient lets a client take a packet of a server.
func (w *world) toClient(server *simServer, p flow.Packet) {
	c := w.clients[p.Key]
	if c == nil || c.closed {
		return
	}
	if p.Kind != flow.Accepting {
		c.answered = true
		return
	}
	if c.server == nil {
		c.server, c.incarnation, c.seq, c.openedAt = server, server.incarnation, p.Seq, w.now
		w.counts["flows opened"]++
		w.speak(c)
	}
}

// reset lets a client see a reset of the system.
func (w *world) reset(key flow.Key, reason string) {
	w.send(func() {
		c := w.clients[key]
		if c == nil || c.closed {
			return
		}
		if c.opened && c.alive() && w.now-c.server.away > lastCheck {
			w.fault("open flow %v at %s was reset by %s", key, c.server.id, reason)
		}
		w.counts["resets"]++
		c.closed = true
		if w.options.reset != nil {
			w.options.reset(key)
		}
	})
}

func (c *simClient) alive() bool {
	return c.server != nil && c.server.running && c.server.incarnation == c.incarnation
}

// open starts a flow of a client to a service.
func (w *world) open(i int) flow.Key {
	w.nextSeq++
	c := &simClient{key: flow.Key{
		Client:  flow.Endpoint{IP: flow.IP{100, 64, byte(w.nextSeq >> 8), byte(w.nextSeq)}, Port: uint16(40000 + w.rnd.Intn(20000))},
		Service: serviceEnd(i),
	}, service: w.routes[serviceEnd(i)]}
	w.clients[c.key] = c
	for copies, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		w.after(delay, func() {
			if c.server == nil && !c.closed {
				w.fromClient(flow.Packet{Key: c.key, Kind: flow.Opening, Copy: uint32(copies)})
			}
		})
	}
	w.after(1400*time.Millisecond, func() {
		if c.server == nil && !c.closed {
			c.closed = true
			w.counts["not opened"]++
		}
	})
	return c.key
}

// speak lets a client send a packet, until it reaches its server, and then the next one after a pause.
func (w *world) speak(c *simClient) {
	c.next++
	p := flow.Packet{Key: c.key, Kind: flow.Other, Length: 50, Seq: c.next, Ack: c.seq}
	started := w.now
	var attempt func(wait time.Duration)
	attempt = func(wait time.Duration) {
		if c.closed || c.delivered >= p.Seq {
			return
		}
		late := w.now-started > lastCheck && w.now-c.server.away > lastCheck
		switch {
		case late && !c.alive():
			w.counts["lost flows that heard nothing"]++
			c.closed = true
			return
		case late:
			w.fault("packet %d of %v did not reach %s in %v", p.Seq, c.key, c.server.id, w.now-started)
			c.closed = true
			return
		}
		w.fromClient(p)
		w.after(wait, func() { attempt(min(2*wait, 1600*time.Millisecond)) })
	}
	attempt(200 * time.Millisecond)
	if w.options.serve != nil {
		return
	}
	w.after(time.Duration(300+w.rnd.Intn(1500))*time.Millisecond, func() {
		if !c.closed && c.delivered >= p.Seq {
			w.speak(c)
		}
	})
}
