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
	}
}

// ErrGap means that changes start after the revision of the registry or end before it.
var ErrGap = errors.New("changes do not continue from the current revision")

// entry is an upstream with the revision of its last change as known to this process.
type entry struct {
	Upstream
	changed uint64
	// lapsed is set while the entry is missing in the store but not yet treated as removed.
	lapsed bool
}

// removal records that an upstream is no longer registered.
type removal struct {
	changed   uint64
	removedAt time.Duration
}

// Registry merges the state of the store with that of peers. It is not safe for concurrent use.
type Registry struct {
	config    Config
	freshness Freshness
	// completeSince is the lowest revision since which all changes are known.
	completeSince        uint64
	configuration        *Configuration
	configurationChanged uint64
	history              routeHistory
	upstreams            map[string]*entry
	removed              map[string]removal
	// content is nil after a change, until View rebuilds it.
	content *Content
	// readFailed is set if the store did not answer before the first successful read.
	readFailed bool
}

// New returns an empty Registry.
func New(config Config) *Registry {
	return &Registry{config: config, upstreams: map[string]*entry{}, removed: map[string]removal{}, history: newRouteHistory()}
}

// Freshness returns how recently and by whom the registry was confirmed. The revision is zero if the
// registry is empty.
func (r *Registry) Freshness() Freshness {
	f := r.freshness
	f.RoutesKnownSince = r.history.since
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
	c := &Content{Configuration: r.configuration, Former: r.history.list(), Upstreams: make([]Upstream, 0, len(r.upstreams))}
	for _, e := range r.upstreams {
		c.Upstreams = append(c.Upstreams, e.Upstream)
	}
	slices.SortFunc(c.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return c
}

// markChanged records a change that became known at a revision of the store.
func (r *Registry) markChanged(revision uint64) {
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
	r.confirm(s.Revision, s.Confirmed)
	before := r.content
	if r.configuration.version() != s.Configuration.version() {
		// Other configurations may have been in force between the known one and the one that was read.
		r.history.since = s.Confirmed
	}
	r.adoptConfiguration(s.Configuration, s.Revision, s.Confirmed)
	present := make(map[string]bool, len(s.Upstreams))
	for i := range s.Upstreams {
		present[s.Upstreams[i].ID] = true
		r.putUpstream(&s.Upstreams[i], s.Revision)
	}
	for id := range r.upstreams {
		if !present[id] {
			r.handleMissing(id, s.Revision)
		}
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
	return before == nil || r.content == nil, nil
}

// confirm records that the store reported its revision to this process.
func (r *Registry) confirm(revision uint64, at time.Duration) {
	f := &r.freshness
	switch {
	case f.Revision == 0:
		f.ContinuousSince, f.Interrupted = at, r.readFailed
	case at-f.Confirmed > r.config.InterruptedAfter:
		f.ContinuousSince, f.Interrupted = at, true
	}
	f.Revision = revision
	f.Confirmed = max(f.Confirmed, at)
	f.Reader = r.config.Self
}

// adoptConfiguration puts a configuration into force that was confirmed at the given time, unless it is older than the
// current one.
func (r *Registry) adoptConfiguration(c *Configuration, revision uint64, at time.Duration) {
	if c == nil || r.configuration != nil && c.Version <= r.configuration.Version {
		return
	}
	r.history.replace(r.configuration, c, at)
	r.configuration = c
	r.configurationChanged = revision
	r.markChanged(revision)
}

// putUpstream adds or replaces an entry. An entry without a difference still counts as a change,
// because a peer may have seen a different state in between.
func (r *Registry) putUpstream(u *Upstream, revision uint64) {
	if e := r.upstreams[u.ID]; e != nil && !e.lapsed && e.equivalent(u) {
		e.changed = revision
		r.freshness.Changed = max(r.freshness.Changed, revision)
		return
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
func (r *Registry) handleMissing(id string, revision uint64) {
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
func (r *Registry) markLapsed(e *entry, revision uint64) {
	if e.lapsed && e.changed >= revision {
		return
	}
	e.lapsed = true
	e.changed = revision
	r.markChanged(revision)
}

// removeUpstream deletes an upstream. The removal of an unknown upstream is recorded too, because peers
// may know it.
func (r *Registry) removeUpstream(id string, revision uint64) {
	r.removed[id] = removal{changed: revision, removedAt: r.freshness.Confirmed}
	r.freshness.Changed = max(r.freshness.Changed, revision)
	if r.upstreams[id] != nil {
		delete(r.upstreams, id)
		r.content = nil
	}
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
	for id, removed := range r.removed {
		if r.freshness.Confirmed-removed.removedAt > r.config.RemovedRetention {
			delete(r.removed, id)
			r.completeSince = max(r.completeSince, removed.changed)
		}
	}
	return expired
}
