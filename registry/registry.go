package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Config holds the limits of a Registry.
type Config struct {
	// Self identifies this process as a reader of the store.
	Self uint64
	// InterruptedAfter is the time without a confirmation after which the store counts as having been away.
	// A long one takes entries that lapsed in a short outage for removed ones.
	InterruptedAfter time.Duration
	// LapsedRetention is how long after an interruption an entry that is missing is kept. Servers that live
	// register again within that time.
	LapsedRetention time.Duration
	// PeerGracePeriod is how long after the first read a process waits for peers that may know of an interruption.
	PeerGracePeriod time.Duration
	// RemovedRetention bounds the memory of removed servers, which peers need to learn of the removal.
	RemovedRetention time.Duration
}

// DefaultConfig returns the limits for a store whose servers register again within two seconds.
func DefaultConfig(self uint64) Config {
	return Config{
		Self:             self,
		InterruptedAfter: 1500 * time.Millisecond,
		LapsedRetention:  2200 * time.Millisecond,
		PeerGracePeriod:  300 * time.Millisecond,
		RemovedRetention: time.Minute,
	}
}

// ErrGap says that changes do not follow the revision of the registry.
var ErrGap = errors.New("changes do not follow the revision in force")

// entry is an upstream with the revision at which this process saw it change.
type entry struct {
	Upstream
	changed uint64
	// lapsed is set while the entry is missing in the store and not yet taken for removed.
	lapsed bool
}

// removal is the memory of an upstream that is registered no more.
type removal struct {
	changed uint64
	at      time.Duration
}

// Registry merges what the store and peers say. It is not safe for concurrent use.
type Registry struct {
	config    Config
	freshness Freshness
	// horizon is the lowest revision from which the changes are known completely.
	horizon       uint64
	configuration *Configuration
	configChanged uint64
	upstreams     map[string]*entry
	removed       map[string]removal
	// content is nil after a change, until it is asked for.
	content *Content
	// interrupted says that the store did not answer before the first read.
	interrupted bool
}

// New returns an empty Registry.
func New(config Config) *Registry {
	return &Registry{config: config, upstreams: map[string]*entry{}, removed: map[string]removal{}}
}

// Freshness returns what peers need to know of the age of the registry. Its revision is zero if the registry
// is empty.
func (r *Registry) Freshness() Freshness {
	return r.freshness
}

// View returns the current picture, or nil if the registry is empty.
func (r *Registry) View() *View {
	if r.freshness.Revision == 0 {
		return nil
	}
	if r.content == nil {
		r.content = r.build()
	}
	return &View{Freshness: r.freshness, Content: r.content}
}

func (r *Registry) build() *Content {
	c := &Content{Configuration: r.configuration, Upstreams: make([]Upstream, 0, len(r.upstreams))}
	for _, e := range r.upstreams {
		c.Upstreams = append(c.Upstreams, e.Upstream)
	}
	slices.SortFunc(c.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return c
}

// touch notes a change that became known at a revision of the store.
func (r *Registry) touch(revision uint64) {
	r.freshness.Changed = max(r.freshness.Changed, revision)
	r.content = nil
}

// Replace takes over a whole read of the store and reports whether anything changed. A read that is older
// than the state of the registry is ignored.
func (r *Registry) Replace(s Snapshot) bool {
	if s.Revision < r.freshness.Revision {
		return false
	}
	if s.Revision > r.freshness.Revision {
		// A whole read does not show what came and went since the last one, and a peer may know of that.
		r.horizon = s.Revision
		r.freshness.Changed = s.Revision
	}
	r.confirm(s.Revision, s.Confirmed)
	before := r.content
	r.configure(s.Configuration, s.Revision)
	present := make(map[string]bool, len(s.Upstreams))
	for i := range s.Upstreams {
		present[s.Upstreams[i].ID] = true
		r.put(&s.Upstreams[i], s.Revision)
	}
	for id := range r.upstreams {
		if !present[id] {
			r.miss(id, s.Revision)
		}
	}
	return before == nil || r.content == nil
}

// Apply takes over changes of the store and reports whether they matter. It returns ErrGap if they begin after
// the revision of the registry, or end before it because a peer was faster.
func (r *Registry) Apply(c Changes) (bool, error) {
	if c.After > r.freshness.Revision || c.Revision < r.freshness.Revision {
		return false, ErrGap
	}
	r.confirm(c.Revision, c.Confirmed)
	before := r.content
	r.configure(c.Configuration, c.Revision)
	for i := range c.Upstreams {
		r.put(&c.Upstreams[i], c.Revision)
	}
	for _, id := range c.Removed {
		r.miss(id, c.Revision)
	}
	return before == nil || r.content == nil, nil
}

// confirm notes that the store told this process its revision.
func (r *Registry) confirm(revision uint64, at time.Duration) {
	f := &r.freshness
	switch {
	case f.Revision == 0:
		f.Continuous, f.Interrupted = at, r.interrupted
	case at-f.Confirmed > r.config.InterruptedAfter:
		f.Continuous, f.Interrupted = at, true
	}
	f.Revision = revision
	f.Confirmed = max(f.Confirmed, at)
	f.Reader = r.config.Self
}

// configure puts a configuration in force if its version is higher.
func (r *Registry) configure(c *Configuration, revision uint64) {
	if c == nil || r.configuration != nil && c.Version <= r.configuration.Version {
		return
	}
	r.configuration = c
	r.configChanged = revision
	r.touch(revision)
}

// put takes over an entry. One that says nothing new is news all the same for a peer that saw what came in
// between.
func (r *Registry) put(u *Upstream, revision uint64) {
	if e := r.upstreams[u.ID]; e != nil && !e.lapsed && e.same(u) {
		e.changed = revision
		r.freshness.Changed = max(r.freshness.Changed, revision)
		return
	}
	delete(r.removed, u.ID)
	r.upstreams[u.ID] = &entry{Upstream: *u, changed: revision}
	r.touch(revision)
}

// ReadFailed notes that the store did not answer. It counts for a registry that has read nothing yet; others
// notice an interruption by the age of their view.
func (r *Registry) ReadFailed() {
	r.interrupted = true
}

// miss notes that the store holds no entry of a server.
func (r *Registry) miss(id string, revision uint64) {
	e := r.upstreams[id]
	switch {
	case e == nil, r.freshness.Settled(r.config):
		r.remove(id, revision)
	default:
		r.lapse(e, revision)
	}
}

// lapse notes that an entry is missing in the store and kept for a while. Peers must learn of it, since each
// expires the entry itself.
func (r *Registry) lapse(e *entry, revision uint64) {
	if e.lapsed && e.changed >= revision {
		return
	}
	e.lapsed = true
	e.changed = revision
	r.touch(revision)
}

// remove forgets an upstream. The removal of one that is not known here is news all the same for a peer that
// knows it.
func (r *Registry) remove(id string, revision uint64) {
	r.removed[id] = removal{changed: revision, at: r.freshness.Confirmed}
	r.freshness.Changed = max(r.freshness.Changed, revision)
	if r.upstreams[id] != nil {
		delete(r.upstreams, id)
		r.content = nil
	}
}

// Expire removes the entries that lapsed and did not come back, and forgets old removals. It reports whether
// an entry was removed. Time passes here only as the store confirms the view, so that nothing expires while
// the store is away.
func (r *Registry) Expire() bool {
	expired := false
	for id, e := range r.upstreams {
		if e.lapsed && r.freshness.Settled(r.config) {
			r.remove(id, r.freshness.Revision)
			expired = true
		}
	}
	for id, removed := range r.removed {
		if r.freshness.Confirmed-removed.at > r.config.RemovedRetention {
			delete(r.removed, id)
			r.horizon = max(r.horizon, removed.changed)
		}
	}
	return expired
}
