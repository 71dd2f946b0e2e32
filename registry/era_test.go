package registry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// first and second return revisions before and after a restore of the store.
func first(number uint64) registry.Revision  { return registry.NewRevision(1, number) }
func second(number uint64) registry.Revision { return registry.NewRevision(2, number) }

// written returns the entry of a server in a run with the given number of writes.
func written(id string, incarnation, sequence uint64, draining bool) registry.Upstream {
	u := upstream(id, incarnation)
	u.Sequence, u.Draining = sequence, draining
	return u
}

// evacuation returns the state of the request for the place of all servers.
func evacuation(revision registry.Revision, ended bool) registry.Evacuation {
	return registry.Evacuation{Place: "north", Revision: revision, Ended: ended}
}

// lastKnown returns a registry in era 1 at revision 100 that the store has confirmed for a minute.
func lastKnown(t *testing.T, upstreams ...registry.Upstream) *registry.Registry {
	t.Helper()
	r := registry.New(registry.DefaultConfig(1))
	r.Replace(registry.Snapshot{Revision: first(50), Configuration: configuration(1)})
	confirmUntil(t, r, time.Minute)
	apply(t, r, registry.Changes{Revision: first(100), Upstreams: upstreams})
	return r
}

// apply applies changes that follow the state of a registry at once.
func apply(t *testing.T, r *registry.Registry, c registry.Changes) {
	t.Helper()
	c.After, c.Confirmed = r.Freshness().Revision, r.Freshness().Confirmed
	if _, err := r.Apply(c); err != nil {
		t.Fatal(err)
	}
}

// restored returns the state of the restored store, half a second after the state of lastKnown.
func restored(upstreams ...registry.Upstream) registry.Snapshot {
	return snapshot(second(80), time.Minute+500*time.Millisecond, upstreams...)
}

// confirmUntil lets the store confirm the state of a registry until a time.
func confirmUntil(t *testing.T, r *registry.Registry, until time.Duration) {
	t.Helper()
	for at := r.Freshness().Confirmed; at <= until; at += 500 * time.Millisecond {
		confirm(t, r, at)
		r.Expire()
	}
}

// wantStates checks the entries and evacuations of a view.
func wantStates(t *testing.T, r *registry.Registry, want string) {
	t.Helper()
	if got := states(r); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func states(r *registry.Registry) string {
	var list []string
	for _, u := range r.View().Upstreams {
		list = append(list, fmt.Sprintf("%s:%d.%d:%s", u.ID, u.Incarnation, u.Sequence, map[bool]string{false: "ready", true: "draining"}[u.Draining]))
	}
	for _, e := range r.View().Evacuations {
		list = append(list, "evacuate "+e.Place)
	}
	return strings.Join(list, " ")
}

// TestRevisionsAreOrderedByEra guards against a view that ignores a restored store because its numbers went back.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	if last := first(1<<48 - 1); last >= second(0) || last.Number() != 1<<48-1 || second(0).Era() != 2 || registry.NewRevision(0, 7) != 7 {
		t.Errorf("%v is not before %v, or its parts are wrong", last, second(0))
	}
	if second(9).String() != "2/9" || registry.Revision(9).String() != "9" {
		t.Errorf("got %v and %v", second(9), registry.Revision(9))
	}
	r := lastKnown(t)
	r.Replace(restored())
	if r.Freshness().Revision != second(80) || r.Replace(snapshot(first(200), time.Hour)) || r.Since(first(100)).From != 0 {
		t.Errorf("the registry is at %v, took a read from before the restore, or knows changes across it", r.Freshness().Revision)
	}
}

// TestCopyUndoesNothing guards against servers that get new flows again because a restored store holds an older entry,
// which a process reads, reads again after a lost answer, or gets from a peer that started after the restore.
func TestCopyUndoesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		removed bool
		copy    registry.Upstream
		want    string
	}{
		"draining server was ready":              {false, written("a", 5, 8, false), "a:5.9:draining"},
		"draining server had an earlier run":     {false, written("a", 4, 20, false), "a:5.9:draining"},
		"removed server was ready":               {true, written("a", 5, 8, false), ""},
		"removed server was in its last state":   {true, written("a", 5, 9, true), ""},
		"removed server had an earlier run":      {true, written("a", 4, 20, false), ""},
		"removed server was started again since": {true, written("a", 6, 1, false), "a:6.1:ready"},
	} {
		t.Run(name, func(t *testing.T) {
			reader, peer, newcomer := lastKnown(t, written("a", 5, 9, true)), lastKnown(t, written("a", 5, 9, true)), registry.New(registry.DefaultConfig(3))
			for _, r := range []*registry.Registry{reader, peer} {
				if c.removed {
					apply(t, r, registry.Changes{Revision: first(101), Removed: []string{"a"}})
				}
			}
			for i := range registry.Revision(2) {
				s := restored(c.copy)
				s.Revision += i
				reader.Replace(s)
				wantStates(t, reader, c.want)
			}
			newcomer.Replace(restored(c.copy))
			peer.Merge(newcomer.Since(peer.Freshness().Revision))
			wantStates(t, peer, c.want)
		})
	}
}

// TestStaleWriteOfARunIsIgnored guards against an entry of a delayed answer that undoes a later write of the same run,
// and against ignoring a server whose clock stepped back before its restart.
func TestStaleWriteOfARunIsIgnored(t *testing.T) {
	r := lastKnown(t, written("a", 5, 9, true))
	for _, c := range []struct {
		u    registry.Upstream
		want string
	}{
		{written("a", 5, 8, false), "a:5.9:draining"}, {written("a", 5, 10, false), "a:5.10:ready"}, {written("a", 3, 1, true), "a:3.1:draining"},
	} {
		apply(t, r, registry.Changes{Revision: r.Freshness().Revision + 1, Upstreams: []registry.Upstream{c.u}})
		wantStates(t, r, c.want)
	}
}

// TestEntriesMissingInACopyAreKept guards against dropping the servers that registered after the copy was taken, also if
// a process that started after the restore, and read the store earlier, knows of no interruption.
func TestEntriesMissingInACopyAreKept(t *testing.T) {
	for name, learn := range map[string]func(r, newcomer *registry.Registry){
		"read":      func(r, newcomer *registry.Registry) { r.Replace(restored()); r.Observe(newcomer.Freshness()) },
		"from peer": func(r, newcomer *registry.Registry) { r.Merge(newcomer.Since(r.Freshness().Revision)) },
	} {
		t.Run(name, func(t *testing.T) {
			r, newcomer := lastKnown(t, written("a", 5, 9, false)), registry.New(registry.DefaultConfig(2))
			newcomer.Replace(snapshot(second(80), time.Minute+300*time.Millisecond))
			learn(r, newcomer)
			confirmUntil(t, r, time.Minute+2*time.Second)
			wantStates(t, r, "a:5.9:ready")
			confirmUntil(t, r, time.Minute+4*time.Second)
			wantStates(t, r, "")
		})
	}
}

// TestNewcomerLearnsWhatTheStoreLost guards against a process that started after the restore and uses an old
// configuration, a draining server or an evacuated place because it knows only the copy, and against the copy's
// configuration, published again, replacing a newer one.
func TestNewcomerLearnsWhatTheStoreLost(t *testing.T) {
	old, newcomer := lastKnown(t, written("a", 5, 9, true), written("b", 5, 1, false)), registry.New(registry.DefaultConfig(2))
	apply(t, old, registry.Changes{Revision: first(101), Configuration: configuration(7), Evacuations: []registry.Evacuation{evacuation(first(101), false)}})
	newcomer.Replace(restored(written("a", 5, 8, false)))
	if !newcomer.Observe(old.Freshness()) || !newcomer.Freshness().Interrupted {
		t.Error("the newer configuration or the earlier era of a peer is ignored")
	}
	newcomer.Merge(old.Since(0))
	old.Replace(restored(written("a", 5, 8, false)))
	for _, r := range []*registry.Registry{old, newcomer} {
		apply(t, r, registry.Changes{Revision: second(81), Configuration: configuration(6)})
		wantStates(t, r, "a:5.9:draining b:5.1:ready evacuate north")
		if got := r.View().Version(); got != 7 {
			t.Errorf("got version %d, want 7", got)
		}
	}
}

// TestEvacuationsOutliveARestore guards against flows to an evacuated place because the copy lacks the request, and against
// a place that is emptied again because the copy, or a process that knows only the copy, states a request that was taken
// back. If operators do not write again within the retention, the store's statement counts, so that all processes agree.
func TestEvacuationsOutliveARestore(t *testing.T) {
	inForce, none := "evacuate north", ""
	for name, c := range map[string]struct {
		before []registry.Evacuation
		copy   []registry.Evacuation
		// again is what operators write after the restore.
		again             []registry.Evacuation
		during, afterward string
	}{
		"lost":               {[]registry.Evacuation{evacuation(first(90), false)}, nil, nil, inForce, none},
		"lost and written":   {[]registry.Evacuation{evacuation(first(90), false)}, nil, []registry.Evacuation{evacuation(second(81), false)}, inForce, inForce},
		"lost and removed":   {[]registry.Evacuation{evacuation(first(90), false)}, nil, []registry.Evacuation{evacuation(second(81), true)}, inForce, none},
		"stated":             {[]registry.Evacuation{evacuation(first(60), false), evacuation(first(90), true)}, []registry.Evacuation{evacuation(second(60), false)}, nil, none, inForce},
		"stated and removed": {[]registry.Evacuation{evacuation(first(60), false), evacuation(first(90), true)}, []registry.Evacuation{evacuation(second(60), false)}, []registry.Evacuation{evacuation(second(81), true)}, none, none},
	} {
		for _, fromPeer := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", from a peer: ", fromPeer), func(t *testing.T) {
				r, newcomer := lastKnown(t), registry.New(registry.DefaultConfig(2))
				for i := range c.before {
					apply(t, r, registry.Changes{Revision: first(101 + uint64(i)), Evacuations: c.before[i : i+1]})
				}
				s := restored()
				s.Evacuations = c.copy
				newcomer.Replace(s)
				if fromPeer {
					r.Merge(newcomer.Since(0))
				}
				r.Replace(s)
				wantStates(t, r, c.during)
				retention := registry.DefaultConfig(1).EraRetention
				confirmUntil(t, r, time.Minute+retention)
				wantStates(t, r, c.during)
				apply(t, r, registry.Changes{Revision: second(81), Evacuations: c.again})
				confirmUntil(t, r, time.Minute+retention+2*time.Second)
				wantStates(t, r, c.afterward)
			})
		}
	}
}

// TestEvacuationSpreadsWithDeltas guards against a peer that misses an evacuation, its start, its latest write or its end, in a delta, in a
// whole state, or because it was cut off until the others had forgotten the end.
func TestEvacuationSpreadsWithDeltas(t *testing.T) {
	r, peer, wholeState, cutOff := lastKnown(t), lastKnown(t), registry.New(registry.DefaultConfig(3)), registry.New(registry.DefaultConfig(4))
	for i, e := range []registry.Evacuation{evacuation(first(101), false), evacuation(first(102), false), evacuation(first(103), true)} {
		// The second write of the request must not change its start.
		e.Started = time.Minute + time.Duration(i)
		apply(t, r, registry.Changes{Revision: e.Revision, Evacuations: []registry.Evacuation{e}})
		exchange(peer, r)
		if got, ok := peer.View().Evacuation("north"); ok == e.Ended || ok && (got.Started != time.Minute || got.Revision != e.Revision) {
			t.Errorf("got evacuation %+v, %v after %+v", got, ok, e)
		}
		wholeState.Merge(r.Since(0))
		if i == 1 {
			cutOff.Merge(r.Since(0))
			wantStates(t, cutOff, "evacuate north")
		}
	}
	wantStates(t, wholeState, "")
	confirmUntil(t, r, 3*time.Minute)
	// The older state of the peer must not bring the request back.
	r.Merge(cutOff.Since(0))
	wantStates(t, r, "")
	exchange(cutOff, r)
	wantStates(t, cutOff, "")
}

// TestLostEvacuationLearnedLateEndsInTime guards against an evacuation that the store has lost and that passes from process
// to process for ever, because each one that learns of it keeps it for the whole retention again.
func TestLostEvacuationLearnedLateEndsInTime(t *testing.T) {
	retention := registry.DefaultConfig(1).EraRetention
	for name, learn := range map[string]func(newcomer, old *registry.Registry){
		"first view from a peer": func(newcomer, old *registry.Registry) { newcomer.Merge(old.Since(0)) },
		"first view from the store": func(newcomer, old *registry.Registry) {
			s := snapshot(second(81), old.Freshness().Confirmed)
			newcomer.Replace(s)
			newcomer.Merge(old.Since(0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			old, newcomer := lastKnown(t), registry.New(registry.DefaultConfig(2))
			apply(t, old, registry.Changes{Revision: first(101), Evacuations: []registry.Evacuation{evacuation(first(101), false)}})
			old.Replace(restored())
			confirmUntil(t, old, time.Minute+retention-time.Second)
			learn(newcomer, old)
			wantStates(t, newcomer, "evacuate north")
			confirmUntil(t, newcomer, time.Minute+retention+2*time.Second)
			wantStates(t, newcomer, "")
		})
	}
}

// TestEndLearnedFromAPeerOutlivesARestore guards against an evacuation that comes back in a process which learned only
// from a peer that it was taken back, because the restored store still states it.
func TestEndLearnedFromAPeerOutlivesARestore(t *testing.T) {
	peer, newcomer := lastKnown(t), registry.New(registry.DefaultConfig(2))
	for _, e := range []registry.Evacuation{evacuation(first(101), false), evacuation(first(102), true)} {
		apply(t, peer, registry.Changes{Revision: e.Revision, Evacuations: []registry.Evacuation{e}})
	}
	newcomer.Merge(peer.Since(0))
	s := restored()
	s.Evacuations = []registry.Evacuation{evacuation(second(101), false)}
	newcomer.Replace(s)
	wantStates(t, newcomer, "")
}

// TestNewcomerLearnsOfARestoreBeforeItsFetch guards against a process that starts shortly after a restore. It knows only the
// copy, which lacks the entries of servers that were added later. A peer knows more and has told so, but its changes were
// not fetched yet. The process took the missing entries for those of servers that are gone, and reset their flows.
func TestNewcomerLearnsOfARestoreBeforeItsFetch(t *testing.T) {
	peer := lastKnown(t, written("a", 5, 9, false))
	apply(t, peer, registry.Changes{Revision: first(101), Configuration: configuration(2), Upstreams: []registry.Upstream{written("b", 5, 1, false)}})
	peer.Replace(restored(written("a", 5, 9, false)))
	newcomer := registry.New(registry.DefaultConfig(3))
	s := restored(written("a", 5, 9, false))
	s.Configuration = configuration(1)
	newcomer.Replace(s)
	if !newcomer.Observe(peer.Freshness()) {
		t.Fatal("the peer has nothing to fetch")
	}
	confirmUntil(t, newcomer, time.Minute+1500*time.Millisecond)
	if newcomer.Freshness().MissingMeansRemoved(registry.DefaultConfig(3)) {
		t.Fatal("entries that the copy lacks count as removed")
	}
}
