package flow_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
)

// The tests in this file put load on servers with few slots, with one request per flow, and check the outcomes for
// the clients. The numbers are those of the largest deployment: many balancers, each of which receives few status
// messages from each server.
const (
	loadBalancers   = 24
	loadServers     = 50
	loadSlots       = 2
	loadQueue       = 8
	loadServiceTime = 43 * time.Millisecond
	// loadSpread is the standard deviation of the natural logarithm of the service time.
	loadSpread   = 0.5
	loadTarget   = 300 * time.Millisecond
	loadDeadline = 1500 * time.Millisecond
	loadRetries  = 2
	loadDuration = 6 * time.Second
)

// simRequest is one request of a client with all its attempts.
type simRequest struct {
	started  time.Duration
	attempts int
	answered time.Duration
	failed   bool
}

// workQueue models a server's request queue: it runs as many requests as there are slots and rejects those for
// which there is no room to wait.
type workQueue struct {
	slots, maxWaiting int
	running           int
	waiting           []*queuedRun
}

// queuedRun is a request that waits for a slot.
type queuedRun struct {
	run func()
}

func (q *workQueue) add(run func()) bool {
	switch {
	case q.running < q.slots:
		q.running++
		run()
	case len(q.waiting) < q.maxWaiting:
		q.waiting = append(q.waiting, &queuedRun{run: run})
	default:
		return false
	}
	return true
}

func (q *workQueue) done() {
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	next.run()
}

// remove removes a request that waits, and reports whether it did.
func (q *workQueue) remove(waiting *queuedRun) bool {
	i := slices.Index(q.waiting, waiting)
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	return i >= 0
}

type loadSim struct {
	*simulation
	queues   map[*simServer]*workQueue
	requests []*simRequest
	byFlow   map[flow.Key]*simRequest
	// slowness multiplies the service times of a server.
	slowness map[*simServer]float64
	// errorRate is the share of a server's requests that it answers immediately with an error, and hangRate the
	// share that it never answers.
	errorRate, hangRate map[*simServer]float64
	// lightShare is the share of requests that take a twentieth of the service time.
	lightShare float64
	// serviceTime is the mean service time.
	serviceTime time.Duration
	// maxWait is the time after which a server rejects a request that waits, if it is not zero.
	maxWait  time.Duration
	rejected int
	// maxQueued is the largest number of requests that were running or waiting at one server.
	maxQueued int
}

func newLoadSim(t *testing.T, seed int64) *loadSim {
	sim := &loadSim{queues: map[*simServer]*workQueue{}, byFlow: map[flow.Key]*simRequest{}, slowness: map[*simServer]float64{}, errorRate: map[*simServer]float64{}, hangRate: map[*simServer]float64{}, serviceTime: loadServiceTime}
	sim.simulation = newSimulationWith(t, seed, loadServers, loadBalancers, simOptions{
		slots: loadSlots, target: loadTarget, priority: 2, places: 3, serve: sim.serve, reset: sim.fail,
	})
	return sim
}

// serve runs or rejects a request at a server.
func (sim *loadSim) serve(server *simServer, p flow.Packet, answer func()) {
	q := sim.queues[server]
	if q == nil {
		q = &workQueue{slots: loadSlots, maxWaiting: loadQueue}
		sim.queues[server] = q
	}
	slowness := max(1, sim.slowness[server])
	took := time.Duration(slowness * float64(sim.serviceTime) * math.Exp(loadSpread*sim.rnd.NormFloat64()-loadSpread*loadSpread/2))
	if sim.rnd.Float64() < sim.lightShare {
		took /= 20
	}
	failing := sim.rnd.Float64() < sim.errorRate[server]
	hanging := sim.rnd.Float64() < sim.hangRate[server]
	run := func() {
		if hanging {
			sim.after(loadDeadline, func() {
				sim.fail(p.Key)
				q.done()
			})
			return
		}
		if failing {
			sim.after(time.Millisecond, func() {
				answer()
				sim.fail(p.Key)
				q.done()
			})
			return
		}
		sim.after(took, func() {
			answer()
			sim.answer(p.Key)
			q.done()
		})
	}
	reject := func() {
		sim.rejected++
		answer()
		sim.fail(p.Key)
	}
	waiting := len(q.waiting)
	if !q.add(run) {
		reject()
	} else if sim.maxWait > 0 && len(q.waiting) > waiting {
		last := q.waiting[waiting]
		sim.after(sim.maxWait, func() {
			if q.remove(last) {
				reject()
			}
		})
	}
	sim.maxQueued = max(sim.maxQueued, q.running+len(q.waiting))
}

func (sim *loadSim) answer(key flow.Key) {
	// A copy of the opening packet may have reached a second server, whose answer comes after the attempt has failed.
	if r := sim.byFlow[key]; r != nil && r.answered == 0 {
		r.answered = sim.now
	}
}

// fail ends one attempt of a request. The client makes the next attempt after 2 ms.
func (sim *loadSim) fail(key flow.Key) {
	r := sim.byFlow[key]
	if r == nil || r.failed || r.answered > 0 {
		return
	}
	delete(sim.byFlow, key)
	if r.attempts > loadRetries {
		r.failed = true
		return
	}
	sim.after(2*time.Millisecond, func() { sim.attempt(r) })
}

func (sim *loadSim) attempt(r *simRequest) {
	r.attempts++
	sim.byFlow[sim.open(0)] = r
}

// generate sends requests at random times for a while, at the given mean rate.
func (sim *loadSim) generate(perSecond float64, d time.Duration) {
	end := sim.now + d
	var next func()
	next = func() {
		if sim.now >= end {
			return
		}
		r := &simRequest{started: sim.now}
		sim.requests = append(sim.requests, r)
		sim.attempt(r)
		sim.after(time.Duration(sim.rnd.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
	sim.run(d)
}

// inTime returns the share of the requests that were answered within the target.
func (sim *loadSim) inTime() float64 {
	n := 0
	for _, r := range sim.requests {
		if r.answered > 0 && r.answered-r.started <= loadTarget {
			n++
		}
	}
	return float64(n) / float64(len(sim.requests))
}

// capacity returns how many requests per second all servers of the service can run.
func capacity() float64 {
	return loadServers * loadSlots / loadServiceTime.Seconds()
}

func TestFreeSlotsAreFoundUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		utilization, inTime float64
	}{
		{0.5, 0.999},
		{0.8, 0.99},
		{0.9, 0.98},
	} {
		sim := newLoadSim(t, 1)
		sim.generate(tc.utilization*capacity(), loadDuration)
		sim.run(time.Second)
		if got := sim.inTime(); got < tc.inTime {
			t.Errorf("at %.1f of the capacity, %.4f of %d requests were answered in time, want %.4f; %d rejected, %d resets, at most %d queued at a server",
				tc.utilization, got, len(sim.requests), tc.inTime, sim.rejected, sim.counts["resets"], sim.maxQueued)
		}
	}
}

// TestGoodputUnderOverload offers 1.4 times the capacity of the servers. At least 0.9 of the capacity must be
// answered in time.
func TestGoodputUnderOverload(t *testing.T) {
	const offeredLoad = 1.4
	sim := newLoadSim(t, 1)
	sim.generate(offeredLoad*capacity(), loadDuration)
	sim.run(time.Second)
	if got := sim.inTime() * offeredLoad; got < 0.9 {
		t.Errorf("%.3f of the capacity was answered in time, want 0.9; %d rejected, %d resets, at most %d queued at a server",
			got, sim.rejected, sim.counts["resets"], sim.maxQueued)
	}
}

// TestServersRejectFewRequests offers twice the capacity in requests so short that the target would allow more of them to
// wait than a server's queue holds, or for longer than a server lets them wait. Each request that a server rejects costs
// its client another attempt.
func TestServersRejectFewRequests(t *testing.T) {
	const offeredLoad = 2
	for _, maxWait := range []time.Duration{0, 40 * time.Millisecond} {
		sim := newLoadSim(t, 1)
		sim.serviceTime, sim.maxWait = 15*time.Millisecond, maxWait
		perSecond := offeredLoad * loadServers * loadSlots / sim.serviceTime.Seconds()
		sim.generate(perSecond, 500*time.Millisecond)
		sim.requests, sim.rejected = nil, 0
		sim.generate(perSecond, time.Second)
		sim.run(time.Second)
		if limit := len(sim.requests) / 50; sim.rejected > limit {
			t.Errorf("servers that let requests wait for %v rejected %d attempts of %d requests, want at most %d; %.3f were answered in time",
				maxWait, sim.rejected, len(sim.requests), limit, sim.inTime())
		}
	}
}

// TestRecoveredServersRegainTheirShare makes some servers slow for a while. They must receive their share of the
// requests again afterwards.
func TestRecoveredServersRegainTheirShare(t *testing.T) {
	sim := newLoadSim(t, 1)
	for _, server := range sim.servers[:10] {
		sim.slowness[server] = 8
	}
	sim.generate(0.6*capacity(), 3*time.Second)
	clear(sim.slowness)
	// A server that was very slow counts as failing and must first be cleared by trials.
	sim.generate(0.6*capacity(), 5*time.Second)
	sim.requests = nil
	arrivals := map[*simServer]int{}
	sim.onArrival = func(server *simServer) { arrivals[server]++ }
	sim.generate(0.9*capacity(), 4*time.Second)
	sim.run(time.Second)
	mean := float64(len(sim.requests)) / loadServers
	for _, server := range sim.servers[:10] {
		if got := float64(arrivals[server]); got < 0.8*mean {
			t.Errorf("recovered server %s got %.0f requests, the mean is %.0f", server.id, got, mean)
		}
	}
	if got := sim.inTime(); got < 0.98 {
		t.Errorf("%.4f of %d requests were answered in time, want 0.98", got, len(sim.requests))
	}
}

// TestFailingServersAreAvoided lets some servers fail requests although they answer packets normally.
func TestFailingServersAreAvoided(t *testing.T) {
	for name, fail := range map[string]func(sim *loadSim, server *simServer){
		"all fail fast":  func(sim *loadSim, server *simServer) { sim.errorRate[server] = 1 },
		"some fail fast": func(sim *loadSim, server *simServer) { sim.errorRate[server] = 0.4 },
		"some hang":      func(sim *loadSim, server *simServer) { sim.hangRate[server] = 0.4 },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newLoadSim(t, 1)
			sim.generate(0.6*capacity(), 3*time.Second)
			for _, server := range sim.servers[:7] {
				fail(sim, server)
			}
			sim.generate(0.6*capacity(), time.Second)
			arrivals := map[*simServer]int{}
			sim.onArrival = func(server *simServer) { arrivals[server]++ }
			sim.requests = nil
			sim.generate(0.6*capacity(), 3*time.Second)
			sim.run(time.Second)
			given := 0
			for _, server := range sim.servers[:7] {
				given += arrivals[server]
			}
			// Each suspect server is given 2.5 trial flows a second, and more for a while if it answers enough of
			// them in a row.
			if share := float64(len(sim.requests)) * 7 / loadServers; float64(given) > 0.25*share {
				t.Errorf("failing servers got %d requests, want at most a fourth of their share, which is %.0f", given, share/4)
			}
			if got := sim.inTime(); got < 0.98 {
				t.Errorf("%.4f of %d requests were answered in time, want 0.98", got, len(sim.requests))
			}
			sim.onArrival = nil
			clear(sim.errorRate)
			clear(sim.hangRate)
			sim.generate(0.6*capacity(), 5*time.Second)
			clear(arrivals)
			sim.onArrival = func(server *simServer) { arrivals[server]++ }
			sim.requests = nil
			sim.generate(0.6*capacity(), 3*time.Second)
			for _, server := range sim.servers[:7] {
				if got := arrivals[server]; float64(got) < 0.6*float64(len(sim.requests))/loadServers {
					t.Errorf("recovered server %s got %d of %d requests", server.id, got, len(sim.requests))
				}
			}
		})
	}
}

// TestNoServerIsAvoidedIfAllFail lets every server fail half of its requests. No server must be avoided, since none
// fails more than its peers.
func TestNoServerIsAvoidedIfAllFail(t *testing.T) {
	sim := newLoadSim(t, 1)
	sim.generate(0.6*capacity(), 2*time.Second)
	for _, server := range sim.servers[:loadServers] {
		sim.errorRate[server] = 0.5
	}
	sim.generate(0.6*capacity(), 2*time.Second)
	resets := sim.counts["resets"]
	sim.generate(0.6*capacity(), 3*time.Second)
	if got := sim.counts["resets"] - resets; got > 0 {
		t.Errorf("%d flows were refused although half of the requests would have been answered", got)
	}
}

// TestFastRequestsAreNotCountedAsFailures mixes in requests that take a twentieth of the service time.
func TestFastRequestsAreNotCountedAsFailures(t *testing.T) {
	sim := newLoadSim(t, 1)
	sim.lightShare = 0.5
	sim.generate(0.6*capacity(), 6*time.Second)
	for _, server := range sim.servers[:loadServers] {
		if server.tracker.Suspect() {
			t.Errorf("server %s is suspect", server.id)
		}
	}
}
