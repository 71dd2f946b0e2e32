package storeview_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/dissemination"
	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/internal/storeview"
	"github.com/bramleyrack/bramleyrack/registry"
)

const (
	// propagationLimit is the required maximum time from the confirmation of a change until every process
	// uses it.
	propagationLimit = 3 * time.Second
	// storeLatency is the response time of the store and of peers.
	storeLatency = 4 * time.Millisecond
	// gossipInterval is the time between two gossip messages of a process, each to a random other process.
	gossipInterval = 20 * time.Millisecond
)

// fakeStore is an in-memory store with injectable faults.
type fakeStore struct {
	mu       sync.Mutex
	revision registry.Revision
	version  uint64
	entries  map[string]registry.Upstream
	// writes counts the writes of each server, which a restore of the store does not undo.
	writes map[string]uint64
	// evacuations holds the requests in force by place.
	evacuations map[string]registry.Evacuation
	// log holds the changed keys by revision. The empty key stands for the configuration.
	log               map[registry.Revision]string
	compactedRevision registry.Revision
	changed           chan struct{}
	// refuse reports whether requests of a process fail, and ignore whether they get no answer.
	refuse, ignore func(process int) bool
	// stalledWatches is set while watches hang without reporting changes.
	stalledWatches bool
	// cutWatches is set while waiting watches end without a change when they are woken.
	cutWatches bool
	// failNextRead is the error of the next read of the whole state.
	failNextRead error
	// latency is the response time.
	latency time.Duration
	calls   int
}

func newFakeStore() *fakeStore {
	noProcess := func(int) bool { return false }
	return &fakeStore{
		revision: 1, version: 1, latency: storeLatency, entries: map[string]registry.Upstream{}, log: map[registry.Revision]string{},
		writes: map[string]uint64{}, evacuations: map[string]registry.Evacuation{},
		changed: make(chan struct{}), refuse: noProcess, ignore: noProcess,
	}
}

func (s *fakeStore) put(id string) { s.write(registry.Upstream{ID: id}) }

// write writes the entry of a server with the next sequence.
func (s *fakeStore) write(u registry.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes[u.ID]++
	u.Service, u.Address, u.Slots, u.Sequence = "orders", netip.MustParseAddrPort("10.0.0.1:80"), 5, s.writes[u.ID]
	s.entries[u.ID] = u
	s.record(u.ID)
}

func (s *fakeStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, id)
	s.record(id)
}

func (s *fakeStore) configure() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.record("")
	return s.version
}

func (s *fakeStore) record(key string) {
	s.revision++
	s.log[s.revision] = key
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact discards the history and wakes the pending watches.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalledWatches = false
	s.compactedRevision = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) callCount() (calls int) {
	s.set(func(s *fakeStore) { calls = s.calls })
	return calls
}

// source is the store as seen by one process.
type source struct {
	store   *fakeStore
	process int
}

var errRefused = errors.New("refused")

func (s *source) request(ctx context.Context) error {
	s.store.mu.Lock()
	latency := s.store.latency
	s.store.mu.Unlock()
	time.Sleep(latency)
	s.store.mu.Lock()
	s.store.calls++
	refused, ignored := s.store.refuse(s.process), s.store.ignore(s.process)
	s.store.mu.Unlock()
	switch {
	case ignored:
		<-ctx.Done()
		return ctx.Err()
	case refused:
		return errRefused
	}
	return nil
}

func (s *source) ReadAll(ctx context.Context) (registry.Snapshot, error) {
	if err := s.request(ctx); err != nil {
		return registry.Snapshot{}, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if err := s.store.failNextRead; err != nil {
		s.store.failNextRead = nil
		return registry.Snapshot{}, err
	}
	snapshot := registry.Snapshot{Revision: s.store.revision, Configuration: &registry.Configuration{Version: s.store.version}}
	for _, u := range s.store.entries {
		snapshot.Upstreams = append(snapshot.Upstreams, u)
	}
	for _, e := range s.store.evacuations {
		e.Revision = registry.NewRevision(s.store.revision.Era(), e.Revision.Number())
		snapshot.Evacuations = append(snapshot.Evacuations, e)
	}
	return snapshot, nil
}

func (s *source) Watch(ctx context.Context, after registry.Revision, wait time.Duration) (registry.Changes, error) {
	if err := s.request(ctx); err != nil {
		return registry.Changes{}, err
	}
	deadline := time.After(wait)
	for {
		s.store.mu.Lock()
		changes, err := s.store.since(after)
		changed, stalled, cut := s.store.changed, s.store.stalledWatches, s.store.cutWatches
		s.store.mu.Unlock()
		if err != nil {
			return registry.Changes{}, err
		}
		if !stalled && changes.Revision > after {
			return changes, nil
		}
		if stalled {
			deadline = nil
		}
		select {
		case <-changed:
			if cut {
				return changes, nil
			}
		case <-deadline:
			return changes, nil
		case <-ctx.Done():
			return registry.Changes{}, ctx.Err()
		}
	}
}

func (s *fakeStore) since(after registry.Revision) (registry.Changes, error) {
	if after < s.compactedRevision || after > s.revision {
		return registry.Changes{}, storeview.ErrHistoryLost
	}
	changes := registry.Changes{After: after, Revision: s.revision}
	for revision := after + 1; revision <= s.revision; revision++ {
		key := s.log[revision]
		u, ok := s.entries[key]
		place, isEvacuation := strings.CutPrefix(key, evacuationPrefix)
		switch {
		case isEvacuation:
			_, inForce := s.evacuations[place]
			changes.Evacuations = append(changes.Evacuations, registry.Evacuation{Place: place, Revision: revision, Ended: !inForce, Started: time.Second})
		case key == "":
			changes.Configuration = &registry.Configuration{Version: s.version}
		case ok:
			changes.Upstreams = append(changes.Upstreams, u)
		default:
			changes.Removed = append(changes.Removed, key)
		}
	}
	return changes, nil
}

// fleet is a set of processes that gossip about the freshness of their views.
type fleet struct {
	t     *testing.T
	store *fakeStore
	rnd   *rand.Rand
	mu    sync.Mutex
	views []*storeview.View
	stops []context.CancelFunc
	clock *clock.Clock
	group sync.WaitGroup
	// fetchesHang is set while all fetches from peers hang until they time out.
	fetchesHang atomic.Bool
	// fetches counts the fetches from peers.
	fetches atomic.Int64
	// isolated is the process that exchanges no gossip with the others, or -1.
	isolated atomic.Int32
	// pause is the additional time between two gossip messages of a process.
	pause atomic.Int64
	// firstStart is set while processes start for the first time.
	firstStart bool
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, store: newFakeStore(), rnd: rand.New(rand.NewSource(1)), clock: clock.New()}
	f.isolated.Store(-1)
	for range size {
		f.add()
	}
	ctx, cancel := context.WithCancel(t.Context())
	f.group.Go(func() { f.gossip(ctx) })
	t.Cleanup(func() {
		cancel()
		for _, stop := range f.stops {
			stop()
		}
		f.group.Wait()
	})
	return f
}

func address(process int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(process >> 8), byte(process)}), 1)
}

func (f *fleet) viewAt(peer netip.AddrPort) *storeview.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := peer.Addr().As4()
	return f.views[int(b[2])<<8|int(b[3])]
}

// add starts a process. Its seeds are the first three processes.
func (f *fleet) add() {
	f.mu.Lock()
	process := len(f.views)
	f.views = append(f.views, nil)
	f.mu.Unlock()
	f.stops = append(f.stops, nil)
	f.start(process)
}

func (f *fleet) start(process int) {
	v := storeview.New(storeview.Config{
		Source:    &source{store: f.store, process: process},
		Clock:     f.clock,
		ProcessID: uint64(process + 1),
		Fetch: func(ctx context.Context, peer netip.AddrPort, revision registry.Revision) (registry.Delta, error) {
			f.fetches.Add(1)
			time.Sleep(storeLatency)
			if f.fetchesHang.Load() {
				<-ctx.Done()
				return registry.Delta{}, ctx.Err()
			}
			view := f.viewAt(peer)
			if view == nil {
				return registry.Delta{}, errors.New("no such process")
			}
			return view.Since(ctx, revision)
		},
		Seeds:      func() []netip.AddrPort { return []netip.AddrPort{address(0), address(1), address(2)} },
		IsSeed:     process < 3,
		FirstStart: f.firstStart,
		Pacer:      dissemination.DefaultPacerConfig(),
		Registry:   registry.DefaultConfig(uint64(process + 1)),
		Rand:       rand.New(rand.NewSource(int64(process))),
		Event:      func(string, ...any) {},
		Failure:    func(string, error, ...any) {},
	})
	f.mu.Lock()
	f.views[process] = v
	f.mu.Unlock()
	ctx, stop := context.WithCancel(f.t.Context())
	f.stops[process] = stop
	f.group.Go(func() { _ = v.Run(ctx) })
}

// kill stops a process permanently.
func (f *fleet) kill(process int) {
	f.stops[process]()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views[process] = nil
}

func (f *fleet) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(gossipInterval + time.Duration(f.pause.Load()))
		f.mu.Lock()
		views := slices.Clone(f.views)
		f.mu.Unlock()
		for from, v := range views {
			to := f.rnd.Intn(len(views))
			if v == nil || views[to] == nil || from == to || v.Current() == nil {
				continue
			}
			if isolated := int(f.isolated.Load()); from == isolated || to == isolated {
				continue
			}
			views[to].Observe(v.Current().Freshness, address(from))
		}
	}
}

// await waits until every process satisfies a condition, and fails the test after propagationLimit.
func (f *fleet) await(condition string, satisfied func(*registry.View) bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		missing := []int{}
		for i, v := range f.views {
			if v != nil && (v.Current() == nil || !satisfied(v.Current())) {
				missing = append(missing, i)
			}
		}
		if len(missing) == 0 {
			return time.Since(start)
		}
		if time.Since(start) > propagationLimit {
			f.t.Fatalf("%s: processes %v lack it after %v", condition, missing, time.Since(start))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) awaitVersion(version uint64) {
	f.t.Helper()
	f.await(fmt.Sprint("version ", version), func(v *registry.View) bool { return v.Version() >= version })
}

func hasUpstream(id string) func(*registry.View) bool {
	return func(v *registry.View) bool {
		return slices.ContainsFunc(v.Upstreams, func(u registry.Upstream) bool { return u.ID == id })
	}
}

// reader returns the process that last confirmed the view.
func (f *fleet) reader() int {
	for _, v := range f.views {
		if v != nil {
			return int(v.Current().Reader) - 1
		}
	}
	return -1
}

// TestChangeReachesAllProcesses guards against a process that misses a change, also one of two evacuations in quick
// succession, while other processes, the store or watches fail.
func TestChangeReachesAllProcesses(t *testing.T) {
	for name, inject := range map[string]func(f *fleet){
		"none":                 func(*fleet) {},
		"reader killed":        func(f *fleet) { f.kill(f.reader()) },
		"two readers killed":   func(f *fleet) { f.kill(f.reader()); time.Sleep(1600 * time.Millisecond); f.kill(f.reader()) },
		"one third refused":    func(f *fleet) { f.store.set(func(s *fakeStore) { s.refuse = func(p int) bool { return p%3 == 0 } }) },
		"one third unanswered": func(f *fleet) { f.store.set(func(s *fakeStore) { s.ignore = func(p int) bool { return p%3 == 0 } }) },
		"watches stalled":      func(f *fleet) { f.store.set(func(s *fakeStore) { s.stalledWatches = true }) },
		"history discarded":    func(f *fleet) { f.store.compact() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 14)
				f.store.put("a")
				time.Sleep(10 * time.Second)
				inject(f)
				f.awaitVersion(f.store.configure())
				f.store.put("b")
				f.await("server b", hasUpstream("b"))
				f.store.remove("a")
				f.await("removal of server a", func(v *registry.View) bool { return !hasUpstream("a")(v) })
				f.store.evacuate("north", true)
				f.store.evacuate("south", true)
				f.await("evacuations", func(v *registry.View) bool { return evacuated("north")(v) && evacuated("south")(v) })
				f.store.evacuate("north", false)
				f.await("end of one evacuation", func(v *registry.View) bool { return !evacuated("north")(v) && evacuated("south")(v) })
				f.store.compact()
				f.awaitVersion(f.store.configure())
			})
		})
	}
}

// TestWatchThatEndsEarlyConfirmsNoFuture covers a store that cuts waiting watches without reporting a change. A view that
// is confirmed for a time to come would hide the changes of that time.
func TestWatchThatEndsEarlyConfirmsNoFuture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 14)
		time.Sleep(10 * time.Second)
		for range 100 {
			f.store.set(func(s *fakeStore) {
				s.cutWatches = true
				close(s.changed)
				s.changed = make(chan struct{})
			})
			time.Sleep(37 * time.Millisecond)
			for i, v := range f.views {
				if ahead := v.Current().Confirmed - f.clock.Now(); ahead > 0 {
					t.Fatalf("the view of process %d is confirmed %v into the future", i, ahead)
				}
			}
		}
	})
}

func TestStoreCallRateWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 90)
		time.Sleep(10 * time.Second)
		f.store.set(func(s *fakeStore) { s.calls = 0 })
		time.Sleep(30 * time.Second)
		if most, calls := int(30*time.Second/dissemination.DefaultPacerConfig().WatchTimeout), f.store.callCount(); calls > most {
			t.Fatalf("%d calls in 30 s, want at most %d", calls, most)
		}
	})
}

// startFleet starts a fleet for the first time. Processes start in random order within 0.3 s.
func startFleet(t *testing.T, size int, seedsStart bool) *fleet {
	f := newFleet(t, 0)
	f.firstStart = true
	order := f.rnd.Perm(size)
	f.mu.Lock()
	f.views, f.stops = make([]*storeview.View, size), make([]context.CancelFunc, size)
	f.mu.Unlock()
	for i := range f.stops {
		f.stops[i] = func() {}
	}
	for _, process := range order {
		time.Sleep(300 * time.Millisecond / time.Duration(size))
		if seedsStart || process >= 3 {
			f.start(process)
		}
	}
	return f
}

func TestSeedsReadTheStoreForAFleetThatStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 100, true)
		f.await("the first view", func(*registry.View) bool { return true })
		if calls := f.store.callCount(); calls > 10 {
			t.Errorf("%d reads of the store until all processes have a view, want at most 10", calls)
		}
	})
}

func TestFleetStartsWithoutItsSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 30, false)
		f.await("the first view", func(*registry.View) bool { return true })
	})
}

func TestEntriesLapsedDuringOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 14)
		f.store.put("a")
		f.store.put("b")
		time.Sleep(10 * time.Second)
		all := func(int) bool { return true }
		f.store.set(func(s *fakeStore) { s.refuse = all })
		// Entries lapse after three missed heartbeats.
		time.Sleep(2300 * time.Millisecond)
		f.store.remove("a")
		f.store.remove("b")
		time.Sleep(4 * time.Second)
		f.store.set(func(s *fakeStore) { s.refuse = func(int) bool { return false } })
		time.AfterFunc(1500*time.Millisecond, func() { f.store.put("a") })
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			for i, v := range f.views {
				if !hasUpstream("a")(v.Current()) {
					t.Fatalf("process %d dropped a server that registered again", i)
				}
			}
		}
		f.await("removal of server b", func(v *registry.View) bool { return !hasUpstream("b")(v) && hasUpstream("a")(v) })
	})
}

// TestRestartedProcessDropsTheServersThatItsSeedMissed starts a process whose seed has been cut off while a server left.
// With the store it must not use that server, and without the store only until it hears from another process.
func TestRestartedProcessDropsTheServersThatItsSeedMissed(t *testing.T) {
	for name, storeAnswers := range map[string]bool{"store answers": true, "store refuses": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 14)
				f.store.put("a")
				time.Sleep(10 * time.Second)
				f.isolated.Store(0)
				f.store.set(func(s *fakeStore) { s.refuse = func(p int) bool { return p == 0 } })
				// A watch of the isolated process that was sent before must end first, if it is the reader.
				time.Sleep(time.Second)
				f.store.remove("a")
				time.Sleep(5 * time.Second)
				if !hasUpstream("a")(f.views[0].Current()) || hasUpstream("a")(f.views[5].Current()) {
					t.Fatal("the isolated process alone must list the server that has left")
				}
				f.store.set(func(s *fakeStore) { s.refuse = func(p int) bool { return p == 0 || !storeAnswers } })
				f.add()
				time.Sleep(500 * time.Millisecond)
				if view := f.views[14].Current(); view == nil || hasUpstream("a")(view) {
					t.Fatalf("the new process has the view %+v, want one without the server that has left", view)
				}
			})
		})
	}
}

// TestFetchesResumeAfterTimeouts makes every fetch from a peer time out for a while. Processes must fetch
// from peers again afterwards.
func TestFetchesResumeAfterTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		time.Sleep(10 * time.Second)
		reader := f.reader()
		f.store.set(func(s *fakeStore) { s.refuse = func(p int) bool { return p != reader } })
		f.fetchesHang.Store(true)
		version := f.store.configure()
		time.Sleep(2 * time.Second)
		f.fetchesHang.Store(false)
		f.awaitVersion(version)
	})
}

func TestNewProcessBootstrapsFromSeedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		version := f.store.configure()
		time.Sleep(10 * time.Second)
		f.store.set(func(s *fakeStore) { s.ignore = func(int) bool { return true } })
		f.kill(0)
		f.add()
		f.awaitVersion(version)
	})
}
