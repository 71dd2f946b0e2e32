package nodeview_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/dissemination"
	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/internal/nodeview"
	"github.com/bramleyrack/bramleyrack/registry"
)

const (
	// inForce is the users' bound from the confirmation of a change until every process goes by it.
	inForce = 3 * time.Second
	// storeLatency is the time that the store takes to answer.
	storeLatency = 4 * time.Millisecond
	// gossipInterval is the time between two messages of a process to a random other one.
	gossipInterval = 20 * time.Millisecond
)

// fakeStore is the platform's store with its troubles.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	version  uint64
	entries  map[string]registry.Upstream
	// log holds the keys that changed, by revision; the empty key is the configuration.
	log     map[uint64]string
	horizon uint64
	changed chan struct{}
	// refuse says whether a process is turned away, and mute whether it gets no answer.
	refuse, mute func(process int) bool
	// deaf makes watches hear nothing.
	deaf  bool
	calls int
}

func newFakeStore() *fakeStore {
	nobody := func(int) bool { return false }
	return &fakeStore{
		revision: 1, version: 1, entries: map[string]registry.Upstream{}, log: map[uint64]string{},
		changed: make(chan struct{}), refuse: nobody, mute: nobody,
	}
}

func (s *fakeStore) put(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[id] = registry.Upstream{ID: id, Service: "orders", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 5}
	s.note(id)
}

func (s *fakeStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, id)
	s.note(id)
}

func (s *fakeStore) configure() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.note("")
	return s.version
}

func (s *fakeStore) note(key string) {
	s.revision++
	s.log[s.revision] = key
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact forgets the history and cuts the watches.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = false
	s.horizon = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// source is the store as one process sees it.
type source struct {
	store   *fakeStore
	process int
}

var errRefused = errors.New("refused")

func (s *source) enter(ctx context.Context) error {
	time.Sleep(storeLatency)
	s.store.mu.Lock()
	s.store.calls++
	refused, mute := s.store.refuse(s.process), s.store.mute(s.process)
	s.store.mu.Unlock()
	switch {
	case mute:
		<-ctx.Done()
		return ctx.Err()
	case refused:
		return errRefused
	}
	return nil
}

func (s *source) ReadAll(ctx context.Context) (registry.Snapshot, error) {
	if err := s.enter(ctx); err != nil {
		return registry.Snapshot{}, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	snapshot := registry.Snapshot{Revision: s.store.revision, Configuration: &registry.Configuration{Version: s.store.version}}
	for _, u := range s.store.entries {
		snapshot.Upstreams = append(snapshot.Upstreams, u)
	}
	return snapshot, nil
}

func (s *source) Watch(ctx context.Context, after uint64, wait time.Duration) (registry.Changes, error) {
	if err := s.enter(ctx); err != nil {
		return registry.Changes{}, err
	}
	deadline := time.After(wait)
	for {
		s.store.mu.Lock()
		changes, err := s.store.since(after)
		changed, deaf := s.store.changed, s.store.deaf
		s.store.mu.Unlock()
		if err != nil {
			return registry.Changes{}, err
		}
		if !deaf && changes.Revision > after {
			return changes, nil
		}
		if deaf {
			deadline = nil
		}
		select {
		case <-changed:
		case <-deadline:
			return changes, nil
		case <-ctx.Done():
			return registry.Changes{}, ctx.Err()
		}
	}
}

func (s *fakeStore) since(after uint64) (registry.Changes, error) {
	if after < s.horizon {
		return registry.Changes{}, nodeview.ErrHistoryLost
	}
	changes := registry.Changes{After: after, Revision: s.revision}
	for revision := after + 1; revision <= s.revision; revision++ {
		key := s.log[revision]
		u, ok := s.entries[key]
		switch {
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

// fleet is processes that gossip about the age of their views.
type fleet struct {
	t     *testing.T
	store *fakeStore
	rnd   *rand.Rand
	mu    sync.Mutex
	views []*nodeview.View
	stops []context.CancelFunc
	clock *clock.Clock
	group sync.WaitGroup
	// hang lets no question to a peer be answered.
	hang atomic.Bool
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, store: newFakeStore(), rnd: rand.New(rand.NewSource(1)), clock: clock.New()}
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

func (f *fleet) process(peer netip.AddrPort) *nodeview.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := peer.Addr().As4()
	return f.views[int(b[2])<<8|int(b[3])]
}

// add starts a process whose seeds are the first three.
func (f *fleet) add() {
	process := len(f.views)
	v := nodeview.New(nodeview.Config{
		Source: &source{store: f.store, process: process},
		Clock:  f.clock,
		Self:   uint64(process + 1),
		Fetch: func(ctx context.Context, peer netip.AddrPort, revision uint64) (registry.Delta, error) {
			time.Sleep(storeLatency)
			if f.hang.Load() {
				<-ctx.Done()
				return registry.Delta{}, ctx.Err()
			}
			view := f.process(peer)
			if view == nil {
				return registry.Delta{}, errors.New("no such process")
			}
			return view.Since(ctx, revision)
		},
		Seeds:    func() []netip.AddrPort { return []netip.AddrPort{address(0), address(1), address(2)} },
		Pacer:    dissemination.DefaultPacerConfig(),
		Registry: registry.DefaultConfig(uint64(process + 1)),
		Rand:     rand.New(rand.NewSource(int64(process))),
		Event:    func(string, ...any) {},
		Failure:  func(string, error, ...any) {},
	})
	f.mu.Lock()
	f.views = append(f.views, v)
	f.mu.Unlock()
	ctx, stop := context.WithCancel(f.t.Context())
	f.stops = append(f.stops, stop)
	f.group.Go(func() { _ = v.Run(ctx) })
}

// kill ends a process for good.
func (f *fleet) kill(process int) {
	f.stops[process]()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views[process] = nil
}

func (f *fleet) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(gossipInterval)
		f.mu.Lock()
		views := slices.Clone(f.views)
		f.mu.Unlock()
		for from, v := range views {
			to := f.rnd.Intn(len(views))
			if v == nil || views[to] == nil || from == to || v.Current() == nil {
				continue
			}
			views[to].Observe(v.Current().Freshness, address(from))
		}
	}
}

// await fails if not every process satisfies a condition within the bound.
func (f *fleet) await(what string, holds func(*registry.View) bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		missing := []int{}
		for i, v := range f.views {
			if v != nil && (v.Current() == nil || !holds(v.Current())) {
				missing = append(missing, i)
			}
		}
		if len(missing) == 0 {
			return time.Since(start)
		}
		if time.Since(start) > inForce {
			f.t.Fatalf("%s: processes %v do not know after %v", what, missing, time.Since(start))
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

// reader returns the process that confirmed the view last.
func (f *fleet) reader() int {
	for _, v := range f.views {
		if v != nil {
			return int(v.Current().Reader) - 1
		}
	}
	return -1
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	for name, trouble := range map[string]func(f *fleet){
		"none":                   func(*fleet) {},
		"the reader dies":        func(f *fleet) { f.kill(f.reader()) },
		"two readers in a row":   func(f *fleet) { f.kill(f.reader()); time.Sleep(1600 * time.Millisecond); f.kill(f.reader()) },
		"a third is refused":     func(f *fleet) { f.store.set(func(s *fakeStore) { s.refuse = func(p int) bool { return p%3 == 0 } }) },
		"a third gets silence":   func(f *fleet) { f.store.set(func(s *fakeStore) { s.mute = func(p int) bool { return p%3 == 0 } }) },
		"the watch hears naught": func(f *fleet) { f.store.set(func(s *fakeStore) { s.deaf = true }) },
		"the history is dropped": func(f *fleet) { f.store.compact() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 14)
				f.store.put("a")
				time.Sleep(10 * time.Second)
				trouble(f)
				f.awaitVersion(f.store.configure())
				f.store.put("b")
				f.await("server b", hasUpstream("b"))
				f.store.remove("a")
				f.await("the end of server a", func(v *registry.View) bool { return !hasUpstream("a")(v) })
				f.store.compact()
				f.awaitVersion(f.store.configure())
			})
		})
	}
}

func TestFewCallsAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 90)
		time.Sleep(10 * time.Second)
		f.store.set(func(s *fakeStore) { s.calls = 0 })
		time.Sleep(30 * time.Second)
		if most := int(30 * time.Second / dissemination.DefaultPacerConfig().WatchTimeout); f.store.calls > most {
			t.Fatalf("%d calls in 30 s, want at most %d", f.store.calls, most)
		}
	})
}

func TestEntriesThatLapseInAnOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 14)
		f.store.put("a")
		f.store.put("b")
		time.Sleep(10 * time.Second)
		all := func(int) bool { return true }
		f.store.set(func(s *fakeStore) { s.refuse = all })
		// An entry lapses after three heartbeats.
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
					t.Fatalf("process %d dropped a server that came back", i)
				}
			}
		}
		f.await("the end of server b", func(v *registry.View) bool { return !hasUpstream("b")(v) && hasUpstream("a")(v) })
	})
}

// TestPeersAreAskedAgainAfterOneWasSilent lets every question to a peer end by its timeout for a while.
func TestPeersAreAskedAgainAfterOneWasSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30)
		time.Sleep(10 * time.Second)
		reader := f.reader()
		f.store.set(func(s *fakeStore) { s.refuse = func(p int) bool { return p != reader } })
		f.hang.Store(true)
		version := f.store.configure()
		time.Sleep(2 * time.Second)
		f.hang.Store(false)
		f.awaitVersion(version)
	})
}

func TestNewProcessTakesItsFirstViewFromASeedWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		version := f.store.configure()
		time.Sleep(10 * time.Second)
		f.store.set(func(s *fakeStore) { s.mute = func(int) bool { return true } })
		f.kill(0)
		f.add()
		f.awaitVersion(version)
	})
}
