package request_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/request"
)

var faultSeeds = flag.Int("fault-seeds", 40, "number of seeds for the fault tests")

const (
	faultServers  = 4
	faultRequests = 30
	faultCopies   = 3
	faultDeadline = 4 * time.Second
	pauseLength   = 3 * time.Second
	retryDelay    = 200 * time.Millisecond
	maxRetries    = 3
)

// lockedRand is a seeded random source for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func (r *lockedRand) chance(percent int) bool { return r.intn(100) < percent }

func (r *lockedRand) intn(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Intn(n)
}

func (r *lockedRand) upTo(d time.Duration) time.Duration {
	return time.Duration(r.intn(int(d/time.Millisecond)+1)) * time.Millisecond
}

// mutation is a deliberate violation of one rule, which the checker of the history must detect.
type mutation int

const (
	noMutation mutation = iota
	// lostAnswerAsNotDelivered reports a request as not delivered although only its answer was lost.
	lostAnswerAsNotDelivered
	// sameIncarnation restarts an owner with empty records under its old incarnation.
	sameIncarnation
	// falseNotRun makes the upstream answer that a request did not run after it has run it.
	falseNotRun
	// swapAnswers makes a link replace the answer to a request by the answer to another request.
	swapAnswers
)

// disturbance is a fault or an operation that affects one server.
type disturbance int

const (
	kill disturbance = iota
	stop
	pause
)

// faults configures the faults of a run. Rates are percentages of the messages concerned.
type faults struct {
	disturbances []disturbance
	lostRequests int
	lostAnswers  int
	upstream     int
	drain        time.Duration
	// longDeadlines gives callers a deadline that is long enough for every answer, lets them retry undelivered
	// requests, and gives every drain its full time. Otherwise deadlines and drain times are random.
	longDeadlines bool
	mutation      mutation
}

// everyFault returns the combination of all faults, together with one mutation.
func everyFault(m mutation) faults {
	return faults{
		disturbances: []disturbance{kill, stop, pause},
		lostRequests: 15,
		lostAnswers:  30,
		upstream:     20,
		drain:        time.Second,
		mutation:     m,
	}
}

// faultyFleet is a service whose servers, links and upstream fail at random.
type faultyFleet struct {
	t        *testing.T
	rnd      *lockedRand
	upstream *fakeUpstream
	faults   faults
	history  *history

	mu           sync.Mutex
	servers      map[uint32]*request.Executor
	frozenClocks map[uint32]time.Time
	incarnation  uint64
}

func newFaultyFleet(t *testing.T, seed int64, faults faults) *faultyFleet {
	f := &faultyFleet{
		t:            t,
		rnd:          &lockedRand{rnd: rand.New(rand.NewSource(seed))},
		faults:       faults,
		history:      &history{start: time.Now(), outcomes: make(map[bramleyv1.Outcome]int)},
		servers:      make(map[uint32]*request.Executor),
		frozenClocks: make(map[uint32]time.Time),
		incarnation:  100,
	}
	f.upstream = &fakeUpstream{serviceTime: 300 * time.Millisecond, fail: f.upstreamFault}
	for server := uint32(1); server <= faultServers; server++ {
		f.start(server)
	}
	return f
}

func (f *faultyFleet) start(server uint32) {
	incarnation := f.nextIncarnation()
	e := newUnclosedExecutor(f.t, server, f.upstream, &faultyPeers{fleet: f, self: server}, func(c *request.Config) {
		c.Incarnation = incarnation
		c.Now = func() time.Time { return f.now(server) }
		c.PauseThreshold = time.Second
		c.OnPause = func() { f.confirmView(server) }
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[server] = e
}

func (f *faultyFleet) nextIncarnation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.mutation != sameIncarnation {
		f.incarnation++
	}
	return f.incarnation
}

func (f *faultyFleet) now(server uint32) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if frozen, ok := f.frozenClocks[server]; ok {
		return frozen
	}
	return time.Now()
}

// confirmView confirms the view of a paused server after a random delay.
func (f *faultyFleet) confirmView(server uint32) {
	time.Sleep(f.rnd.upTo(200 * time.Millisecond))
	if e := f.server(server); e != nil {
		e.SetViewConfirmed(true)
	}
}

func (f *faultyFleet) server(server uint32) *request.Executor {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[server]
}

func (f *faultyFleet) running() []uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.servers))
}

func (f *faultyFleet) upstreamFault(_ int, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error) {
	answer := answerTo(req)
	if !f.rnd.chance(f.faults.upstream) {
		return nil, nil
	}
	switch f.rnd.intn(4) {
	case 0:
		answer.RequestId = "crossed"
		return answer, nil
	case 1:
		answer.Body = answer.Body[:len(answer.Body)/2]
		return answer, nil
	case 2:
		return nil, errors.New("connection reset")
	case 3:
		if f.faults.mutation == falseNotRun {
			return nil, wireRefusal(bramleyv1.Outcome_OUTCOME_NOT_RUN)
		}
	}
	return nil, nil
}

// kill stops a server without a drain and restarts it with empty records.
func (f *faultyFleet) kill(server uint32) {
	f.remove(server).Close()
	time.Sleep(f.rnd.upTo(time.Second))
	f.start(server)
}

// remove removes a server from the fleet, so that neither callers nor peers reach it, and returns it.
func (f *faultyFleet) remove(server uint32) *request.Executor {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.servers[server]
	delete(f.servers, server)
	return e
}

// stop drains a server, hands its records over to a successor and restarts it.
func (f *faultyFleet) stop(server uint32) {
	e := f.server(server)
	ctx, cancel := context.WithTimeout(context.Background(), f.drainTime())
	defer cancel()
	_ = e.Drain(ctx)
	successor := f.server(server%faultServers + 1)
	from := &bramleyv1.Identity{Service: 1, Server: server, Incarnation: e.Incarnation()}
	_ = e.HandOver(context.Background(), from, func(_ context.Context, req *bramleyv1.HandOverRequest) (*bramleyv1.HandOverResponse, error) {
		if successor == nil {
			return nil, request.ErrNotDelivered
		}
		return successor.Adopt(req), nil
	})
	f.remove(server).Close()
	f.start(server)
}

// drainTime returns the time limit of a drain: the configured one with long deadlines, as an operator sets it, and
// otherwise a random one.
func (f *faultyFleet) drainTime() time.Duration {
	if f.faults.longDeadlines {
		return f.faults.drain
	}
	return f.rnd.upTo(f.faults.drain)
}

// pause freezes the clock of a server for pauseLength. The server first acts on an outdated time and then sees the
// clock jump.
func (f *faultyFleet) pause(server uint32) {
	f.setClockFrozen(server, true)
	time.Sleep(pauseLength)
	f.setClockFrozen(server, false)
}

func (f *faultyFleet) setClockFrozen(server uint32, frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if frozen {
		f.frozenClocks[server] = time.Now()
		return
	}
	delete(f.frozenClocks, server)
}

// disturb applies random disturbances to random servers, one after the other.
func (f *faultyFleet) disturb(rounds int) {
	for range rounds {
		time.Sleep(f.rnd.upTo(400 * time.Millisecond))
		server := uint32(f.rnd.intn(faultServers) + 1)
		switch f.faults.disturbances[f.rnd.intn(len(f.faults.disturbances))] {
		case kill:
			f.kill(server)
		case stop:
			f.stop(server)
		case pause:
			f.pause(server)
		}
	}
}

// sendRequest sends several copies of one request to random servers at random times.
func (f *faultyFleet) sendRequest(number int) {
	time.Sleep(f.rnd.upTo(3 * time.Second))
	ticket := f.obtainTicket()
	id := fmt.Sprintf("request-%d", number)
	var copies sync.WaitGroup
	for i := range faultCopies {
		copies.Go(func() { f.sendCopy(number*faultCopies+i, id, ticket) })
	}
	copies.Wait()
}

func (f *faultyFleet) obtainTicket() []byte {
	for {
		if e := f.randomServer(); e != nil {
			_, refusal := e.Call(context.Background(), orderRequest("first", nil))
			if len(refusal.GetNextTicket()) > 0 {
				return refusal.GetNextTicket()
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// randomServer returns a random running server, or nil if there is none. It lists and selects under one lock, because
// another goroutine could remove the server in between.
func (f *faultyFleet) randomServer() *request.Executor {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := slices.Sorted(maps.Keys(f.servers))
	if len(live) == 0 {
		return nil
	}
	return f.servers[live[f.rnd.intn(len(live))]]
}

func (f *faultyFleet) sendCopy(client int, id string, ticket []byte) {
	time.Sleep(f.rnd.upTo(2 * time.Second))
	e := f.randomServer()
	if e == nil {
		return
	}
	timeout := f.rnd.upTo(faultDeadline)
	if f.faults.longDeadlines {
		timeout = 2 * faultDeadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	called := time.Now()
	answer, refusal := e.Call(ctx, orderRequest(id, ticket))
	for range f.retries() {
		if refusal.GetOutcome() != bramleyv1.Outcome_OUTCOME_NOT_DELIVERED {
			break
		}
		time.Sleep(retryDelay)
		if e := f.randomServer(); e != nil {
			answer, refusal = e.Call(ctx, orderRequest(id, ticket))
		}
	}
	f.history.add(client, id, called, answer, refusal)
}

// retries returns how often a caller retries a ticket whose owner was not reached. Callers with long deadlines retry,
// as package client does.
func (f *faultyFleet) retries() int {
	if f.faults.longDeadlines {
		return maxRetries
	}
	return 0
}

// faultyPeers loses requests before delivery and answers after delivery.
type faultyPeers struct {
	fleet *faultyFleet
	self  uint32
}

func (p *faultyPeers) Execute(ctx context.Context, server uint32, req *bramleyv1.ExecuteRequest) (*bramleyv1.ExecuteResponse, error) {
	f := p.fleet
	peer := f.server(server)
	if peer == nil || f.rnd.chance(f.faults.lostRequests) {
		return nil, request.ErrNotDelivered
	}
	time.Sleep(f.rnd.upTo(100 * time.Millisecond))
	answer := peer.Execute(ctx, req)
	time.Sleep(f.rnd.upTo(100 * time.Millisecond))
	if f.rnd.chance(f.faults.lostAnswers) {
		return p.loseAnswer(ctx)
	}
	if f.faults.mutation == swapAnswers && answer.GetAnswer() != nil {
		answer.Answer = answerTo(orderRequest("crossed", nil))
		answer.Answer.RequestId = req.GetCall().GetRequestId()
	}
	return answer, nil
}

func (p *faultyPeers) loseAnswer(ctx context.Context) (*bramleyv1.ExecuteResponse, error) {
	if p.fleet.faults.mutation == lostAnswerAsNotDelivered {
		return nil, request.ErrNotDelivered
	}
	if p.fleet.rnd.chance(50) {
		<-ctx.Done()
	}
	return nil, errors.New("connection lost")
}

func (p *faultyPeers) Offer(_ context.Context, server uint32, req *bramleyv1.OfferRequest) error {
	f := p.fleet
	peer := f.server(server)
	if peer == nil || f.rnd.chance(f.faults.lostRequests) {
		return request.ErrNotDelivered
	}
	time.Sleep(f.rnd.upTo(100 * time.Millisecond))
	peer.Offer(req)
	return nil
}

func (p *faultyPeers) Loads() []request.PeerLoad {
	var loads []request.PeerLoad
	for _, server := range p.fleet.running() {
		if server != p.self {
			loads = append(loads, request.PeerLoad{Server: server, Slots: 2, Accepting: true})
		}
	}
	return loads
}

// runFaults runs one seed and returns the violations and the number of callers that got each outcome.
func runFaults(t *testing.T, seed int64, faults faults) (violations []string, outcomes map[bramleyv1.Outcome]int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFaultyFleet(t, seed, faults)
		var work sync.WaitGroup
		if len(faults.disturbances) > 0 {
			work.Go(func() { f.disturb(12) })
		}
		for number := range faultRequests {
			work.Go(func() { f.sendRequest(number) })
		}
		work.Wait()
		time.Sleep(2 * faultDeadline)
		violations = f.history.violations(f.upstream)
		outcomes = f.history.outcomes
		for _, server := range f.running() {
			f.remove(server).Close()
		}
	})
	return violations, outcomes
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	total := make(map[bramleyv1.Outcome]int)
	for seed := range int64(*faultSeeds) {
		violations, outcomes := runFaults(t, seed, everyFault(noMutation))
		for _, violation := range violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		for outcome, count := range outcomes {
			total[outcome] += count
		}
	}
	t.Logf("outcomes: %v", total)
	if total[outcomeAnswered] == 0 || total[bramleyv1.Outcome_OUTCOME_NOT_RUN] == 0 {
		t.Fatal("the run gave no answers or no refusals to check")
	}
}

func TestCheckerDetectsMutations(t *testing.T) {
	mutations := map[string]mutation{
		"lost answer reported as not delivered": lostAnswerAsNotDelivered,
		"restart under the same incarnation":    sameIncarnation,
		"upstream reports not run after a run":  falseNotRun,
		"answer to another request":             swapAnswers,
	}
	for name, m := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(*faultSeeds) {
				if violations, _ := runFaults(t, seed, everyFault(m)); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Fatal("the checker found no violation")
		})
	}
}

// TestOutcomesOfEachFailure logs the number of callers that get each outcome under one kind of fault at a time. It
// fails if a caller gets the outcome unknown under a fault that leaves no doubt whether the request ran.
func TestOutcomesOfEachFailure(t *testing.T) {
	for _, failure := range []struct {
		name   string
		faults faults
		// certain is set if no caller may get the outcome unknown.
		certain bool
	}{
		{"none", faults{}, true},
		{"kill", faults{disturbances: []disturbance{kill}}, false},
		{"planned stop", faults{disturbances: []disturbance{stop}, drain: time.Hour}, true},
		{"pause", faults{disturbances: []disturbance{pause}}, true},
		{"links refuse 15 %", faults{lostRequests: 15}, true},
		{"links lose 30 % of answers", faults{lostAnswers: 30}, false},
		{"upstream errs in 20 %", faults{upstream: 20}, false},
	} {
		total := make(map[bramleyv1.Outcome]int)
		failure.faults.longDeadlines = true
		for seed := range int64(*faultSeeds) {
			violations, outcomes := runFaults(t, seed, failure.faults)
			for _, violation := range violations {
				t.Errorf("%s, seed %d: %s", failure.name, seed, violation)
			}
			for outcome, count := range outcomes {
				total[outcome] += count
			}
		}
		t.Logf("%-28s %v", failure.name, total)
		if failure.certain && total[bramleyv1.Outcome_OUTCOME_UNKNOWN] > 0 {
			t.Errorf("%s: %d callers got the outcome unknown", failure.name, total[bramleyv1.Outcome_OUTCOME_UNKNOWN])
		}
	}
}
