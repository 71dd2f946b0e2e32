package storeview_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/internal/storeview"
	"github.com/bramleyrack/bramleyrack/registry"
)

// evacuationPrefix precedes the place in the log of the store.
const evacuationPrefix = "evacuate/"

// evacuate requests the evacuation of a place, or takes it back.
func (s *fakeStore) evacuate(place string, inForce bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(evacuationPrefix + place)
	s.evacuations[place] = registry.Evacuation{Place: place, Revision: s.revision}
	if !inForce {
		delete(s.evacuations, place)
	}
}

// drain marks a server as draining.
func (s *fakeStore) drain(id string) { s.write(registry.Upstream{ID: id, Draining: true}) }

// copy takes a copy of the store and returns a function that restores the store from it.
func (s *fakeStore) copy() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, version, entries, evacuations := s.revision, s.version, maps.Clone(s.entries), maps.Clone(s.evacuations)
	return func() {
		s.set(func(s *fakeStore) {
			s.revision = registry.NewRevision(s.revision.Era()+1, revision.Number())
			s.version, s.entries, s.evacuations = version, entries, evacuations
		})
		s.compact()
	}
}

func evacuated(place string) func(*registry.View) bool {
	return func(v *registry.View) bool { _, ok := v.Evacuation(place); return ok }
}

func drains(id string) func(*registry.View) bool {
	return func(v *registry.View) bool {
		return slices.ContainsFunc(v.Upstreams, func(u registry.Upstream) bool { return u.ID == id && u.Draining })
	}
}

// keeps fails the test if any process with a view lacks one of the conditions within the given time.
func (f *fleet) keeps(duration time.Duration, conditions map[string]func(*registry.View) bool) {
	f.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i, v := range f.views {
			for name, satisfied := range conditions {
				if v != nil && v.Current() != nil && !satisfied(v.Current()) {
					f.t.Fatalf("process %d lacks %s at %v", i, name, f.clock.Now())
				}
			}
		}
	}
}

// TestRestoredStoreUndoesNothing restores the store from a copy that lacks a configuration, an evacuation and the end of
// a server; watches from before get 410. It guards against a process that reverts to the copy, also a new one that reads
// the store first. With only two processes, the store changes often, so that a new one is always behind, and the lost
// configuration does not reveal the rest.
func TestRestoredStoreUndoesNothing(t *testing.T) {
	for name, inject := range map[string]func(f *fleet){
		"none":           func(*fleet) {},
		"reader killed":  func(f *fleet) { f.kill(f.reader()) },
		"seed restarted": func(f *fleet) { f.kill(0); f.start(0) },
		"seed and a process that asks it restarted": func(f *fleet) { f.kill(0); f.start(0); f.add() },
		"process that asks a seed which knows only the copy": func(f *fleet) {
			f.kill(0)
			f.isolated.Store(0)
			f.start(0)
			time.Sleep(50 * time.Millisecond)
			f.add()
			time.Sleep(100 * time.Millisecond)
			f.isolated.Store(-1)
		},
		"one third refused": func(f *fleet) { f.store.set(func(s *fakeStore) { s.refuse = func(p int) bool { return p%3 == 0 } }) },
	} {
		for _, pair := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", only two processes: ", pair), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, map[bool]int{false: 14, true: 3}[pair])
					if pair {
						f.kill(2)
					}
					f.store.put("a")
					time.Sleep(10 * time.Second)
					restore := f.store.copy()
					version := uint64(1)
					if !pair {
						version = f.store.configure()
					}
					f.store.drain("a")
					f.store.evacuate("north", true)
					f.awaitVersion(version)
					f.await("evacuation", evacuated("north"))
					restore()
					inject(f)
					if pair {
						defer f.store.keepWriting(t)()
					}
					kept := map[string]func(*registry.View) bool{
						"the configuration": func(v *registry.View) bool { return v.Version() == version },
						"the evacuation":    evacuated("north"), "the draining server": drains("a"),
					}
					// A new process has 500 ms to hear of the loss from a peer.
					time.Sleep(500 * time.Millisecond)
					f.keeps(1500*time.Millisecond, kept)
					f.store.evacuate("north", true)
					f.store.drain("a")
					f.store.put("b")
					f.await("server b", hasUpstream("b"))
					f.keeps(16*time.Second, kept)
					f.store.evacuate("north", false)
					f.await("end of the evacuation", func(v *registry.View) bool { return !evacuated("north")(v) })
				})
			})
		}
	}
}

// keepWriting changes the store every 2 ms until stop is called.
func (s *fakeStore) keepWriting(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var writer sync.WaitGroup
	writer.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
			s.put("busy")
		}
	})
	// A goroutine that still sleeps when the test returns would count as a deadlock.
	return func() {
		cancel()
		writer.Wait()
	}
}

// TestLostConfigurationIsFetchedFromAPeerThatIsAhead guards against a process that never gets a configuration which the
// store has lost, because the only peer that has it is always ahead and its changes since the restore do not include it.
func TestLostConfigurationIsFetchedFromAPeerThatIsAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.kill(2)
		time.Sleep(10 * time.Second)
		refuse := func(process int) {
			f.store.set(func(s *fakeStore) { s.refuse = func(p int) bool { return p == process } })
		}
		f.isolated.Store(0)
		refuse(0)
		time.Sleep(3 * time.Second)
		restore := f.store.copy()
		version := f.store.configure()
		time.Sleep(3 * time.Second)
		restore()
		refuse(-1)
		time.Sleep(3 * time.Second)
		if own, peer := f.views[0].Current(), f.views[1].Current(); own.Revision.Era() != 1 || own.Version() == version || peer.Version() != version {
			t.Fatalf("versions %d and %d, want only the peer to have the lost one", own.Version(), peer.Version())
		}
		refuse(0)
		defer f.store.keepWriting(t)()
		time.Sleep(time.Second)
		f.pause.Store(int64(200 * time.Millisecond))
		f.isolated.Store(-1)
		f.awaitVersion(version)
	})
}

// TestReaderDiesBeforeItTellsOfAnEvacuation guards against a change that is lost with the only process that read it.
func TestReaderDiesBeforeItTellsOfAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 14)
		time.Sleep(10 * time.Second)
		reader := f.reader()
		f.isolated.Store(int32(reader))
		f.store.evacuate("north", true)
		time.Sleep(time.Millisecond)
		for i, v := range f.views {
			if evacuated("north")(v.Current()) != (i == reader) {
				t.Fatalf("process %d: the reader alone must know of the evacuation", i)
			}
		}
		f.kill(reader)
		f.await("evacuation", evacuated("north"))
	})
}

// TestEvacuationTakenBackWhileAProcessIsFrozen guards against a process that keeps a place empty because the others have
// forgotten, after a minute, that the evacuation ended.
func TestEvacuationTakenBackWhileAProcessIsFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 14)
		f.store.evacuate("north", true)
		time.Sleep(10 * time.Second)
		f.isolated.Store(5)
		f.store.set(func(s *fakeStore) { s.refuse = func(p int) bool { return p == 5 } })
		f.store.evacuate("north", false)
		time.Sleep(2 * time.Minute)
		if !evacuated("north")(f.views[5].Current()) {
			t.Fatal("the process is not cut off")
		}
		f.isolated.Store(-1)
		f.await("end of the evacuation", func(v *registry.View) bool { return !evacuated("north")(v) })
	})
}

// TestReadDuringARestoreIsRepeated guards against a process that takes a restore between two pages of a read for an
// outage, backs off, and leaves the read to others that may not reach the store.
func TestReadDuringARestoreIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.kill(1)
		f.kill(2)
		time.Sleep(10 * time.Second)
		f.store.set(func(s *fakeStore) { s.failNextRead = errors.Annotate(storeview.ErrRestored, "reading the second page") })
		f.store.copy()()
		f.store.put("b")
		if took := f.await("server b", hasUpstream("b")); took > 50*time.Millisecond {
			t.Errorf("server b is known after %v, want at once after two reads", took)
		}
	})
}

// TestFetchesAfterARestoreEnd guards against a process that fetches the whole state over and over because it has started
// shortly after a restore and no fetch succeeds, for example on a slow link. Once the lost requests have expired, a peer
// has nothing to add.
func TestFetchesAfterARestoreEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(10 * time.Second)
		f.store.copy()()
		time.Sleep(2 * time.Second)
		f.fetchesHang.Store(true)
		f.add()
		// Former routes are fetched for up to a minute.
		time.Sleep(70 * time.Second)
		before := f.fetches.Load()
		time.Sleep(10 * time.Second)
		if n := f.fetches.Load() - before; n > 0 {
			t.Errorf("got %d fetches within 10 s although all processes have the same state", n)
		}
	})
}
