package registry_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"net/netip"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyrack/bramleyrack/registry"
)

// checks is the number of cases of the property test. The default is high enough to reproduce each
// fault that the test has found so far.
var checks = flag.String("checks", "7000", "number of cases of the property test")

// TestMain fixes the seed of the property test, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": *checks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func upstream(id string, incarnation uint64) registry.Upstream {
	return registry.Upstream{
		ID: id, Service: "orders", Address: netip.MustParseAddrPort("10.0.0.1:80"), Place: "north", Slots: 5, Incarnation: incarnation,
	}
}

func configuration(version uint64) *registry.Configuration {
	return &registry.Configuration{Version: version}
}

func snapshot(revision registry.Revision, at time.Duration, upstreams ...registry.Upstream) registry.Snapshot {
	return registry.Snapshot{Revision: revision, Confirmed: at, Configuration: configuration(1), Upstreams: upstreams}
}

func ids(r *registry.Registry) []string {
	names := []string{}
	for _, u := range r.View().Upstreams {
		names = append(names, u.ID)
	}
	return names
}

func wantIDs(t *testing.T, r *registry.Registry, want ...string) {
	t.Helper()
	if got := ids(r); !reflect.DeepEqual(got, append([]string{}, want...)) {
		t.Fatalf("upstreams %v, want %v", got, want)
	}
}

func ExampleRegistry() {
	r := registry.New(registry.DefaultConfig(1))
	r.Replace(registry.Snapshot{
		Revision:      7,
		Configuration: &registry.Configuration{Version: 3},
		Upstreams:     []registry.Upstream{{ID: "a", Service: "orders"}},
	})
	view := r.View()
	fmt.Println(view.Revision, view.Version(), len(view.Upstreams))
	// Output: 7 3 1
}

// confirmedRegistry returns a registry that has held the given entries for a minute, confirmed every
// 500 ms.
func confirmedRegistry(t *testing.T, upstreams ...registry.Upstream) *registry.Registry {
	t.Helper()
	r := registry.New(registry.DefaultConfig(1))
	r.Replace(snapshot(10, 0, upstreams...))
	for at := time.Duration(0); at <= time.Minute; at += 500 * time.Millisecond {
		confirm(t, r, at)
	}
	return r
}

func confirm(t *testing.T, r *registry.Registry, at time.Duration) {
	t.Helper()
	revision := r.Freshness().Revision
	if _, err := r.Apply(registry.Changes{After: revision, Revision: revision, Confirmed: at}); err != nil {
		t.Fatal(err)
	}
}

func TestRemovalTakesEffectImmediately(t *testing.T) {
	r := confirmedRegistry(t, upstream("a", 1), upstream("b", 1))
	changed, err := r.Apply(registry.Changes{After: 10, Revision: 11, Confirmed: time.Minute + time.Second, Removed: []string{"a"}})
	if err != nil || !changed {
		t.Fatalf("Apply returned %v and error %v, want true and no error", changed, err)
	}
	wantIDs(t, r, "b")
}

func TestEntryThatLapsedInAnOutageIsKeptUntilItIsTreatedAsRemoved(t *testing.T) {
	for _, c := range []struct {
		name   string
		remove func(r *registry.Registry, at time.Duration)
	}{
		{"whole read", func(r *registry.Registry, at time.Duration) { r.Replace(snapshot(12, at, upstream("b", 1))) }},
		{"watch", func(r *registry.Registry, at time.Duration) {
			if _, err := r.Apply(registry.Changes{After: 10, Revision: 12, Confirmed: at, Removed: []string{"a"}}); err != nil {
				panic(err)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := confirmedRegistry(t, upstream("a", 1), upstream("b", 1))
			recovered := time.Minute + 5*time.Second
			c.remove(r, recovered)
			for at := recovered; at < recovered+2*time.Second; at += 500 * time.Millisecond {
				confirm(t, r, at)
				r.Expire()
				wantIDs(t, r, "a", "b")
			}
			confirm(t, r, recovered+2500*time.Millisecond)
			if !r.Expire() {
				t.Fatal("nothing expired")
			}
			wantIDs(t, r, "b")
		})
	}
}

func TestEntryRegisteredAgainAfterAnOutageIsKept(t *testing.T) {
	r := confirmedRegistry(t, upstream("a", 1))
	recovered := time.Minute + 5*time.Second
	r.Replace(snapshot(12, recovered))
	if _, err := r.Apply(registry.Changes{After: 12, Revision: 13, Confirmed: recovered + time.Second, Upstreams: []registry.Upstream{upstream("a", 1)}}); err != nil {
		t.Fatal(err)
	}
	for at := recovered + time.Second; at < recovered+10*time.Second; at += time.Second {
		confirm(t, r, at)
		r.Expire()
	}
	wantIDs(t, r, "a")
}

func TestNothingExpiresDuringAnOutage(t *testing.T) {
	r := confirmedRegistry(t, upstream("a", 1))
	r.Replace(snapshot(12, time.Minute+5*time.Second))
	if r.Expire() {
		t.Fatal("an entry expired without a confirmation")
	}
	wantIDs(t, r, "a")
}

func TestPeersReceiveALapsedEntryAndExpireItThemselves(t *testing.T) {
	reader, peer := confirmedRegistry(t, upstream("a", 1)), confirmedRegistry(t, upstream("a", 1))
	recovered := time.Minute + 5*time.Second
	reader.Replace(snapshot(12, recovered))
	if !peer.Observe(reader.Freshness()) {
		t.Fatal("the peer does not detect that it is behind")
	}
	peer.Merge(reader.Since(peer.Freshness().Revision))
	wantIDs(t, peer, "a")
	for at := recovered; at < recovered+4*time.Second; at += 500 * time.Millisecond {
		confirm(t, reader, at)
		if peer.Observe(reader.Freshness()) {
			peer.Merge(reader.Since(peer.Freshness().Revision))
		}
		peer.Expire()
		reader.Expire()
	}
	wantIDs(t, peer)
	wantIDs(t, reader)
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	r := registry.New(registry.DefaultConfig(1))
	r.Replace(registry.Snapshot{Revision: 5, Configuration: configuration(9)})
	r.Replace(registry.Snapshot{Revision: 6, Configuration: configuration(8)})
	r.Merge(registry.Delta{Freshness: registry.Freshness{Revision: 7, Changed: 7}, Configuration: configuration(7)})
	if got := r.View().Version(); got != 9 {
		t.Fatalf("got version %d, want 9", got)
	}
}

func TestOlderReadIsIgnored(t *testing.T) {
	r := confirmedRegistry(t, upstream("a", 1))
	if r.Replace(snapshot(9, 2*time.Minute)) {
		t.Fatal("an older read changed the view")
	}
	if _, err := r.Apply(registry.Changes{After: 11, Revision: 12}); err != registry.ErrGap {
		t.Fatalf("got error %v, want ErrGap", err)
	}
	wantIDs(t, r, "a")
}

func TestRestartedServerReplacesItsEarlierIncarnation(t *testing.T) {
	r := confirmedRegistry(t, upstream("a", 5))
	// The clock of the server's VM stepped back before the restart.
	if _, err := r.Apply(registry.Changes{After: 10, Revision: 11, Confirmed: time.Hour, Upstreams: []registry.Upstream{upstream("a", 4)}}); err != nil {
		t.Fatal(err)
	}
	if got := r.View().Upstreams[0].Incarnation; got != 4 {
		t.Fatalf("got incarnation %d, want 4", got)
	}
}

func TestPeerConfirmationIsAdopted(t *testing.T) {
	r := confirmedRegistry(t, upstream("a", 1))
	content := r.View().Content
	f := r.Freshness()
	f.Revision, f.Confirmed, f.Reader = 99, 2*time.Minute, 7
	if r.Observe(f) {
		t.Fatal("the registry counts as behind although nothing changed")
	}
	if got := r.Freshness(); got.Revision != 99 || got.Confirmed != 2*time.Minute || got.Reader != 7 {
		t.Fatalf("got %+v, want revision 99, confirmed at 2 min by reader 7", got)
	}
	if r.View().Content != content {
		t.Fatal("the content was rebuilt although nothing changed")
	}
}

// store is a model of the platform's store.
type store struct {
	revision registry.Revision
	version  uint64
	entries  map[string]registry.Upstream
	log      []registry.Changes
}

func (s *store) change(c registry.Changes) {
	c.After, s.revision = s.revision, s.revision+1
	c.Revision = s.revision
	s.log = append(s.log, c)
}

func (s *store) snapshot(at time.Duration) registry.Snapshot {
	snap := registry.Snapshot{Revision: s.revision, Confirmed: at, Configuration: configuration(s.version)}
	for _, u := range s.entries {
		snap.Upstreams = append(snap.Upstreams, u)
	}
	return snap
}

// since returns the changes after a revision, with the last change of each key.
func (s *store) since(after registry.Revision, at time.Duration) registry.Changes {
	c := registry.Changes{After: after, Revision: s.revision, Confirmed: at}
	touched := map[string]bool{}
	for _, past := range s.log {
		if past.Revision <= after {
			continue
		}
		if past.Configuration != nil {
			c.Configuration = configuration(s.version)
		}
		for _, u := range past.Upstreams {
			touched[u.ID] = true
		}
		for _, id := range past.Removed {
			touched[id] = true
		}
	}
	for id := range touched {
		if u, ok := s.entries[id]; ok {
			c.Upstreams = append(c.Upstreams, u)
		} else {
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}

// TestRegistriesConvergeToTheStore lets registries read the store and fetch from each other in random
// order. At the end, each registry that has caught up must hold the state of the store.
func TestRegistriesConvergeToTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		s := &store{revision: 1, version: 1, entries: map[string]registry.Upstream{}}
		nodes := make([]*registry.Registry, 4)
		for i := range nodes {
			nodes[i] = registry.New(registry.DefaultConfig(uint64(i)))
		}
		now := time.Duration(0)
		for range 200 {
			now += 200 * time.Millisecond
			s.step(rnd)
			syncRandomNode(rnd, s, now, nodes)
		}
		now += 10 * time.Second
		reader := nodes[0]
		reader.Replace(s.snapshot(now))
		for range 30 {
			now += 200 * time.Millisecond
			reader.Replace(s.snapshot(now))
			reader.Expire()
		}
		for _, r := range nodes[1:] {
			if r.Observe(reader.Freshness()) {
				r.Merge(reader.Since(r.Freshness().Revision))
			}
			if r.Observe(reader.Freshness()) {
				t.Fatal("the registry is still behind after a merge")
			}
			r.Expire()
		}
		for i, r := range nodes {
			if got := r.View().Version(); got != s.version {
				t.Fatalf("node %d: version %d, want %d", i, got, s.version)
			}
			if len(r.View().Upstreams) != len(s.entries) {
				t.Fatalf("node %d: upstreams %v, want %v", i, r.View().Upstreams, s.entries)
			}
			for _, u := range r.View().Upstreams {
				if u != s.entries[u.ID] {
					t.Fatalf("node %d: %+v, want %+v", i, u, s.entries[u.ID])
				}
			}
		}
	})
}

// step applies a random change to the store.
func (s *store) step(rnd *rand.Rand) {
	id := fmt.Sprint("s", rnd.Intn(6))
	switch rnd.Intn(4) {
	case 0:
		u := upstream(id, uint64(rnd.Intn(5)))
		u.Draining = rnd.Intn(3) == 0
		s.entries[id] = u
		s.change(registry.Changes{Upstreams: []registry.Upstream{u}})
	case 1:
		if _, ok := s.entries[id]; ok {
			delete(s.entries, id)
			s.change(registry.Changes{Removed: []string{id}})
		}
	case 2:
		s.version++
		s.change(registry.Changes{Configuration: configuration(s.version)})
	}
}

// syncRandomNode lets a random node read the store or fetch from another node.
func syncRandomNode(rnd *rand.Rand, s *store, now time.Duration, nodes []*registry.Registry) {
	r := nodes[rnd.Intn(len(nodes))]
	revision := r.Freshness().Revision
	switch rnd.Intn(3) {
	case 0:
		r.Replace(s.snapshot(now))
	case 1:
		if revision > 0 {
			if _, err := r.Apply(s.since(revision, now)); err != nil {
				panic(err)
			}
		}
	case 2:
		peer := nodes[rnd.Intn(len(nodes))]
		if r.Observe(peer.Freshness()) {
			r.Merge(peer.Since(revision))
		}
	}
	r.Expire()
}

func TestMissingEntryIsTreatedAsRemovedOnlyAfterAnUninterruptedPeriod(t *testing.T) {
	config := registry.DefaultConfig(1)
	missingIsRemoved := func(r *registry.Registry) bool { return r.Freshness().MissingMeansRemoved(config) }
	afterFirstRead := func() *registry.Registry {
		r := registry.New(config)
		r.Replace(snapshot(10, time.Minute))
		return r
	}

	r := afterFirstRead()
	if missingIsRemoved(r) {
		t.Error("a missing entry is treated as removed at the first read, before any peer could report an interruption")
	}
	confirm(t, r, time.Minute+500*time.Millisecond)
	if !missingIsRemoved(r) {
		t.Error("a missing entry is not treated as removed 500 ms after the first read, although no peer reported an interruption")
	}

	r = afterFirstRead()
	peer := r.Freshness()
	peer.ContinuousSince, peer.Interrupted = time.Minute-time.Second, true
	r.Observe(peer)
	confirm(t, r, time.Minute+500*time.Millisecond)
	if missingIsRemoved(r) {
		t.Error("a missing entry is treated as removed although a peer reported an interruption that ended 1.5 s ago")
	}
	confirm(t, r, time.Minute+1500*time.Millisecond)
	if !missingIsRemoved(r) {
		t.Error("a missing entry is not treated as removed 2.5 s after the interruption")
	}

	r = registry.New(config)
	r.ReadFailed()
	r.Replace(snapshot(10, time.Minute))
	confirm(t, r, time.Minute+500*time.Millisecond)
	if missingIsRemoved(r) {
		t.Error("a missing entry is treated as removed although the store did not answer before the first read")
	}

	r = confirmedRegistry(t)
	r.Replace(snapshot(11, time.Minute+5*time.Second))
	peer = r.Freshness()
	peer.ContinuousSince, peer.Interrupted = time.Minute, false
	r.Observe(peer)
	if !missingIsRemoved(r) {
		t.Error("a missing entry is not treated as removed although a peer could read the store while this process was cut off")
	}
}

func TestFirstDeltaKeepsItsTimes(t *testing.T) {
	r := registry.New(registry.DefaultConfig(1))
	// The clock of a new process starts at zero, so times before its start are negative.
	f := registry.Freshness{Revision: 5, Changed: 5, Confirmed: -300 * time.Millisecond, ContinuousSince: -time.Minute, Reader: 7}
	r.Merge(registry.Delta{Freshness: f})
	if got := r.Freshness(); got != f {
		t.Fatalf("got %+v, want %+v", got, f)
	}
}

// exchange lets two registries fetch from each other the changes that they lack.
func exchange(a, b *registry.Registry) {
	for _, pair := range [][2]*registry.Registry{{a, b}, {b, a}, {a, b}} {
		if pair[0].Observe(pair[1].Freshness()) {
			pair[0].Merge(pair[1].Since(pair[0].Freshness().Revision))
		}
	}
}

// TestNewProcessDoesNotHideAnInterruption covers a process that starts right after an outage and is the
// first to read the store, in which an entry has lapsed.
func TestNewProcessDoesNotHideAnInterruption(t *testing.T) {
	config := registry.DefaultConfig(1)
	recovered := time.Minute + 5*time.Second
	for name, sync := range map[string]func(old, newcomer *registry.Registry){
		"the old process observes first": exchange,
		"the new process observes first": func(old, newcomer *registry.Registry) { exchange(newcomer, old) },
	} {
		t.Run(name, func(t *testing.T) {
			old := confirmedRegistry(t, upstream("a", 1), upstream("b", 1))
			newcomer := registry.New(config)
			newcomer.Replace(snapshot(12, recovered, upstream("b", 1)))
			sync(old, newcomer)
			for at := recovered; at < recovered+2*time.Second; at += 500 * time.Millisecond {
				confirm(t, newcomer, at)
				sync(old, newcomer)
				old.Expire()
				newcomer.Expire()
				wantIDs(t, old, "a", "b")
				if old.Freshness().MissingMeansRemoved(config) || newcomer.Freshness().MissingMeansRemoved(config) {
					t.Fatalf("missing entries are treated as removed %v after the outage", at-recovered)
				}
			}
			confirm(t, newcomer, recovered+2500*time.Millisecond)
			sync(old, newcomer)
			old.Expire()
			wantIDs(t, old, "b")
			if !newcomer.Freshness().MissingMeansRemoved(config) {
				t.Fatal("a missing entry is not treated as removed by the new process after 2.5 s")
			}
		})
	}
}

// TestRemovalSeenOnlyByANewProcessIsNotFinal covers a new process that sees the deletion of an entry
// that it never had. After an outage, the older process must keep the entry as lapsed.
func TestRemovalSeenOnlyByANewProcessIsNotFinal(t *testing.T) {
	old := confirmedRegistry(t, upstream("a", 1))
	newcomer := registry.New(registry.DefaultConfig(2))
	recovered := time.Minute + 5*time.Second
	newcomer.Replace(snapshot(10, recovered))
	if _, err := newcomer.Apply(registry.Changes{After: 10, Revision: 11, Confirmed: recovered, Removed: []string{"a"}}); err != nil {
		t.Fatal(err)
	}
	exchange(old, newcomer)
	wantIDs(t, old, "a")
}

func TestProcessCutOffFromTheStoreAdoptsRemovalsFromConnectedPeers(t *testing.T) {
	cutOff, connected := confirmedRegistry(t, upstream("a", 1)), confirmedRegistry(t, upstream("a", 1))
	for at := time.Minute; at < time.Minute+5*time.Second; at += 500 * time.Millisecond {
		confirm(t, connected, at)
	}
	if _, err := connected.Apply(registry.Changes{After: 10, Revision: 11, Confirmed: time.Minute + 5*time.Second, Removed: []string{"a"}}); err != nil {
		t.Fatal(err)
	}
	exchange(cutOff, connected)
	wantIDs(t, cutOff)
}

// TestUnreadableEntryLeavesRemovalsUncertain covers a process whose first read may lack the entry of a live server, because
// another writer has written over it.
func TestUnreadableEntryLeavesRemovalsUncertain(t *testing.T) {
	config := registry.DefaultConfig(1)
	r := registry.New(config)
	r.Replace(registry.Snapshot{Revision: 9, Confirmed: time.Hour, Unreadable: true})
	for after, removed := range map[time.Duration]bool{config.PeerGracePeriod: false, config.LapsedRetention: true} {
		f := r.Freshness()
		f.Confirmed += after
		if got := f.MissingMeansRemoved(config); got != removed {
			t.Errorf("after %v: a missing entry counts as removed: %v", after, got)
		}
	}
}

// TestForeignSequenceHidesNoWrites covers another writer that has written over the entry of a server with the highest sequence
// number. The server's own writes were ignored from then on, so a draining server got new flows.
func TestForeignSequenceHidesNoWrites(t *testing.T) {
	r := registry.New(registry.DefaultConfig(1))
	entry := registry.Upstream{ID: "a", Service: "s", Incarnation: 7, Sequence: 5}
	r.Replace(registry.Snapshot{Revision: 9, Confirmed: time.Hour, Upstreams: []registry.Upstream{entry}})
	for i, sequence := range []uint64{math.MaxInt64, 6} {
		entry.Sequence, entry.Draining = sequence, i == 1
		changes := registry.Changes{After: registry.Revision(9 + i), Revision: registry.Revision(10 + i), Confirmed: time.Hour, Upstreams: []registry.Upstream{entry}}
		if _, err := r.Apply(changes); err != nil {
			t.Fatal(err)
		}
	}
	if u := r.View().Upstreams[0]; !u.Draining {
		t.Fatalf("got %+v, want the draining server", u)
	}
}
