package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Config holds the identity of the process and the limits of a Registry.
type Config struct {
	// Self identifies this process as a reader of the store.
	Self uint64
	// InterruptedAfter is the time without a confirmation after which the store is considered to have
	// been unavailable. If it is too long, entries that lapsed in a short outage are treated as removed.
	InterruptedAfter time.Duration
	// LapsedRetention is how long after an interruption a missing entry is kept. Live servers register
	// again within that time.
	LapsedRetention time.Duration
	// PeerGracePeriod is how long after its first read a process waits for peers that may know of an
	// interruption.
	PeerGracePeriod time.Duration
	// RemovedRetention is how long removed servers are remembered, so that peers can learn of the removal.
	RemovedRetention time.Duration
	// RouteRetention is how long the former services of an address are remembered. Flows that are older need not
	// be found again.
	RouteRetention time.Duration
	// EraRetention is how long after a restore of the store an evacuation stays in force that the store may have lost. It
	// must exceed the time until operators have written it again; meanwhile the place stays empty.
	EraRetention time.Duration
}

// DefaultConfig returns limits for a store whose servers register again within two seconds.
func DefaultConfig(self uint64) Config {
	return Config{
		Self:             self,
		InterruptedAfter: 1500 * time.Millisecond,
		LapsedRetention:  2200 * time.Millisecond,
		PeerGracePeriod:  300 * time.Millisecond,
		RemovedRetention: time.Minute,
		RouteRetention:   time.Minute,
		EraRetention:     15 * time.Second,
	}
}

// ErrGap means that changes start after the revision of the registry or end before it.
var ErrGap = errors.New("changes do not continue from the current revision")

// entry is an upstream with the revision of its last change as known to this process.
type entry struct {
	Upstream
	changed Revision
	// lapsed is set while the entry is missing in the store but not yet treated as removed.
	lapsed bool
}

// removal records that an upstream is no longer registered, and its last known entry.
type removal struct {
	changed               Revision
	removedAt             time.Duration
	incarnation, sequence uint64
}

// Registry merges the state of the store with that of peers. It is not safe for concurrent use.
type Registry struct {
	config    Config
	freshness Freshness
	// completeSince is the lowest revision since which all changes are known.
	completeSince        Revision
	configuration        *Configuration
	configurationChanged Revision
	history              routeHistory
	evacuations          evacuations
	upstreams            map[string]*entry
	removed              map[string]removal
	// content is nil after a change, until View rebuilds it.
	content *Content
	// readFailed is set if the store did not answer before the first successful read, or if that may lack the entry of a
	// live server.
	readFailed bool
}

// New returns an empty Registry.
func New(config Config) *Registry {
	return &Registry{config: config, upstreams: map[string]*entry{}, removed: map[string]removal{}, history: newRouteHistory(), evacuations: evacuations{}}
}

// Freshness returns how recently and by whom the registry was confirmed. The revision is zero if the
// registry is empty.
func (r *Registry) Freshness() Freshness {
	f := r.freshness
	f.RoutesKnownSince = r.history.since
	f.ConfigurationVersion = r.configuration.version()
	return f
}

// View returns a snapshot of the registry, or nil if the registry is empty.
func (r *Registry) View() *View {
	if r.freshness.Revision == 0 {
		return nil
	}
	if r.content == nil {
		r.content = r.buildContent()
	}
	return &View{Freshness: r.Freshness(), Content: r.content}
}

func (r *Registry) buildContent() *Content {
	c := &Content{Configuration: r.configuration, Former: r.history.list(), Upstreams: make([]Upstream, 0, len(r.upstreams)), Evacuations: r.evacuations.list(0, false)}
	for _, e := range r.upstreams {
		c.Upstreams = append(c.Upstreams, e.Upstream)
	}
	slices.SortFunc(c.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return c
}

// markChanged records a change that became known at a revision of the store.
func (r *Registry) markChanged(revision Revision) {
	r.freshness.Changed = max(r.freshness.Changed, revision)
	r.content = nil
}

// Replace applies a read of the whole store and reports whether anything changed. It ignores a read
// that is older than the registry.
func (r *Registry) Replace(s Snapshot) bool {
	if s.Revision < r.freshness.Revision {
		return false
	}
	if s.Revision > r.freshness.Revision {
		// A whole read does not show entries that were added and removed since the last one. Peers may
		// know of them.
		r.completeSince = s.Revision
		r.freshness.Changed = s.Revision
	}
	r.readFailed = r.readFailed || s.Unreadable
	r.confirm(s.Revision, s.Confirmed)
	before := r.content
	switch {
	case r.configuration == nil && s.FirstConfiguration:
		r.history.since = s.Confirmed - r.config.RouteRetention
	case r.configuration.version() < s.Configuration.version():
		// Other configurations may have been in force between the known one and the one that was read.
		r.history.since = s.Confirmed
	}
	r.adoptConfiguration(s.Configuration, s.Revision, s.Confirmed)
	present := make(map[string]bool, len(s.Upstreams))
	for i := range s.Upstreams {
		present[s.Upstreams[i].ID] = true
		r.putFromWhole(&s.Upstreams[i], s.Revision, r.settling())
	}
	for id := range r.upstreams {
		if !present[id] {
			r.handleMissing(id, s.Revision)
		}
	}
	if r.evacuations.replace(s.Evacuations, s.Revision, s.Confirmed) {
		r.markChanged(s.Revision)
	}
	return before == nil || r.content == nil
}

// Apply applies changes of the store and reports whether the content changed. It returns ErrGap if the
// changes start after the revision of the registry, or end before it because a newer state has already
// been fetched from a peer.
func (r *Registry) Apply(c Changes) (bool, error) {
	if c.After > r.freshness.Revision || c.Revision < r.freshness.Revision {
		return false, ErrGap
	}
	r.confirm(c.Revision, c.Confirmed)
	before := r.content
	for _, superseded := range c.Superseded {
		r.adoptConfiguration(superseded, c.Revision, c.Confirmed)
	}
	r.adoptConfiguration(c.Configuration, c.Revision, c.Confirmed)
	for i := range c.Upstreams {
		r.putUpstream(&c.Upstreams[i], c.Revision)
	}
	for _, id := range c.Removed {
		r.handleMissing(id, c.Revision)
	}
	for _, e := range c.Evacuations {
		if r.evacuations.put(e, c.Revision, c.Confirmed) {
			r.markChanged(c.Revision)
		}
	}
	return before == nil || r.content == nil, nil
}

// entersEra reports whether the store of a state was restored since the registry last heard of it. The requests that
// the store may have lost are then kept for a while.
func (r *Registry) entersEra(revision Revision) bool {
	return r.freshness.Revision > 0 && revision.Era() > r.freshness.Revision.Era()
}

// confirm records that the store reported its revision to this process.
func (r *Registry) confirm(revision Revision, at time.Duration) {
	f := &r.freshness
	switch {
	case f.Revision == 0:
		f.ContinuousSince, f.Interrupted = at, r.readFailed
	case r.entersEra(revision):
		// The store was restored from a copy, which lacks the entries written after it was taken.
		r.evacuations.enterEra(at)
		f.ContinuousSince, f.Interrupted = at, true
	case at-f.Confirmed > r.config.InterruptedAfter:
		f.ContinuousSince, f.Interrupted = at, true
	}
	f.Revision = revision
	f.Confirmed = max(f.Confirmed, at)
	f.Reader = r.config.Self
}

// adoptConfiguration puts a configuration into force that was confirmed at the given time, unless it is older than the
// current one.
func (r *Registry) adoptConfiguration(c *Configuration, revision Revision, at time.Duration) {
	if c == nil || r.configuration != nil && c.Version <= r.configuration.Version {
		return
	}
	r.history.replace(r.configuration, c, at)
	r.configuration = c
	r.configurationChanged = revision
	r.markChanged(revision)
}

// settling reports whether servers may not have written their entries again since the store was restored.
func (r *Registry) settling() bool {
	return r.freshness.Revision.Era() > 0 && !r.freshness.MissingMeansRemoved(r.config)
}

// putFromWhole adds or replaces an entry of a whole state or of a peer. A store that was restored may state a removed
// server or, while it is settling, an earlier run of a server; the next write of the server decides.
func (r *Registry) putFromWhole(u *Upstream, revision Revision, settling bool) {
	if gone, ok := r.removed[u.ID]; ok && gone.changed.Era() < revision.Era() &&
		(u.Incarnation == gone.incarnation && u.Sequence <= gone.sequence || settling && u.Incarnation < gone.incarnation) {
		return
	}
	if e := r.upstreams[u.ID]; settling && e != nil && e.Created.Era() < revision.Era() && u.Incarnation < e.Incarnation {
		u = &e.Upstream
	}
	r.putUpstream(u, revision)
}

// putUpstream adds or replaces an entry, unless the store was restored and a later one of the same run of the server
// is known. A store that was not restored states the writes in their order, and its sequence numbers may come from
// another writer. An entry without a difference still counts as a change, because a peer may have seen a different
// state in between.
func (r *Registry) putUpstream(u *Upstream, revision Revision) {
	restored := revision.Era() > 0
	if gone, ok := r.removed[u.ID]; ok && restored && u.staleAfter(gone.incarnation, gone.sequence) {
		return
	}
	if e := r.upstreams[u.ID]; e != nil {
		if restored && u.staleAfter(e.Incarnation, e.Sequence) {
			u = &e.Upstream
		}
		if !e.lapsed && e.equivalent(u) {
			e.Sequence = u.Sequence
			e.changed = revision
			r.freshness.Changed = max(r.freshness.Changed, revision)
			return
		}
	}
	delete(r.removed, u.ID)
	r.upstreams[u.ID] = &entry{Upstream: *u, changed: revision}
	r.markChanged(revision)
}

// ReadFailed records that the store did not answer. It matters only before the first successful read;
// later, an interruption shows in the age of the last confirmation.
func (r *Registry) ReadFailed() {
	r.readFailed = true
}

// handleMissing removes an upstream that the store no longer has, or marks it as lapsed while the store
// may have lost it in an outage.
func (r *Registry) handleMissing(id string, revision Revision) {
	e := r.upstreams[id]
	switch {
	case e == nil, r.freshness.MissingMeansRemoved(r.config):
		r.removeUpstream(id, revision)
	default:
		r.markLapsed(e, revision)
	}
}

// markLapsed marks an entry as missing in the store but kept for now. Peers must receive the mark,
// because each process expires the entry itself.
func (r *Registry) markLapsed(e *entry, revision Revision) {
	if e.lapsed && e.changed >= revision {
		return
	}
	e.lapsed = true
	e.changed = revision
	r.markChanged(revision)
}

// removeUpstream deletes an upstream. The removal of an unknown upstream is recorded too, because peers
// may know it.
func (r *Registry) removeUpstream(id string, revision Revision) {
	gone := r.removed[id]
	gone.changed, gone.removedAt = revision, r.freshness.Confirmed
	r.freshness.Changed = max(r.freshness.Changed, revision)
	if e := r.upstreams[id]; e != nil {
		gone.incarnation, gone.sequence = e.Incarnation, e.Sequence
		delete(r.upstreams, id)
		r.content = nil
	}
	r.removed[id] = gone
}

// Expire removes lapsed entries that were not registered again, and drops old removals and former routes. It
// reports whether the content changed. Time is measured by confirmations of the store, so that nothing expires
// while the store is unavailable.
func (r *Registry) Expire() bool {
	expired := false
	for id, e := range r.upstreams {
		if e.lapsed && r.freshness.MissingMeansRemoved(r.config) {
			r.removeUpstream(id, r.freshness.Revision)
			expired = true
		}
	}
	if r.history.expire(r.freshness.Confirmed - r.config.RouteRetention) {
		r.content = nil
		expired = true
	}
	differs, forgotten := r.evacuations.expire(r.freshness.Revision, r.freshness.Confirmed, r.config)
	if differs {
		r.markChanged(r.freshness.Revision)
		expired = true
	}
	r.completeSince = max(r.completeSince, forgotten)
	for id, removed := range r.removed {
		if r.freshness.Confirmed-removed.removedAt > r.config.RemovedRetention {
			delete(r.removed, id)
			r.completeSince = max(r.completeSince, removed.changed)
		}
	}
	return expired
}
