package registry

import (
	"maps"
	"slices"
)

// Delta is what changed after a revision, or everything if From is zero.
type Delta struct {
	From uint64
	Freshness
	// Configuration is nil if it did not change.
	Configuration *Configuration
	Upstreams     []Upstream
	// Lapsed says for each upstream whether its entry is missing in the store and kept for a while.
	Lapsed  []bool
	Removed []string
}

// Since returns what changed after a revision. It returns everything if the changes since then are not
// known completely.
func (r *Registry) Since(revision uint64) Delta {
	if revision < r.horizon || revision > r.freshness.Revision {
		revision = 0
	}
	d := Delta{From: revision, Freshness: r.freshness}
	if r.configChanged > revision {
		d.Configuration = r.configuration
	}
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		if e := r.upstreams[id]; e.changed > revision {
			d.Upstreams = append(d.Upstreams, e.Upstream)
			d.Lapsed = append(d.Lapsed, e.lapsed)
		}
	}
	if revision == 0 {
		return d
	}
	for _, id := range slices.Sorted(maps.Keys(r.removed)) {
		if r.removed[id].changed > revision {
			d.Removed = append(d.Removed, id)
		}
	}
	return d
}

// Observe takes in the freshness of a peer. It reports whether the peer knows of changes that this registry
// lacks. If it knows of none, its confirmation counts here as well.
func (r *Registry) Observe(f Freshness) (behind bool) {
	if f.Revision == 0 {
		return false
	}
	if f.Revision < r.freshness.Revision {
		r.suspect(f)
		return false
	}
	if f.Changed > r.freshness.Revision {
		return true
	}
	r.adopt(f)
	return false
}

// suspect takes in the freshness of a peer that lags. If it lost the store long before this process first heard of
// it, the store may have been away in between.
func (r *Registry) suspect(f Freshness) {
	own := &r.freshness
	own.Interrupted = own.Interrupted || own.Continuous-f.Confirmed > r.config.InterruptedAfter
}

// adopt takes over the confirmation of a peer that has the same content.
func (r *Registry) adopt(f Freshness) {
	own := &r.freshness
	if own.Revision == 0 {
		f.Changed = max(f.Changed, own.Changed)
		*own = f
		return
	}
	unknown := f.Confirmed-own.Confirmed > r.config.InterruptedAfter
	switch {
	case unknown && f.Continuous-own.Confirmed > r.config.InterruptedAfter:
		// Nobody is known to have heard the store in between.
		own.Continuous, own.Interrupted = f.Continuous, true
	case unknown || f.Continuous < own.Continuous:
		// Who has heard the store for longer knows better whether it was away.
		own.Continuous, own.Interrupted = f.Continuous, f.Interrupted
	case f.Interrupted && f.Continuous-own.Continuous < r.config.InterruptedAfter:
		// The peer knows of an interruption that ended when this process first heard the store.
		own.Interrupted = true
	}
	own.Revision = f.Revision
	if f.Confirmed > own.Confirmed {
		own.Confirmed = f.Confirmed
		own.Reader = f.Reader
	}
}

// Merge takes over a delta of a peer and reports whether anything changed. A delta that starts after the
// revision of the registry, or ends before it, is ignored.
func (r *Registry) Merge(d Delta) bool {
	if d.Revision == 0 || d.Revision < r.freshness.Revision || d.From > r.freshness.Revision {
		return false
	}
	if d.From == 0 {
		// Everything does not show what came and went before.
		r.horizon = d.Revision
	}
	before := r.content
	r.configure(d.Configuration, d.Changed)
	present := make(map[string]bool, len(d.Upstreams))
	for i := range d.Upstreams {
		present[d.Upstreams[i].ID] = true
		r.put(&d.Upstreams[i], d.Changed)
		if d.Lapsed[i] {
			r.lapse(r.upstreams[d.Upstreams[i].ID], d.Changed)
		}
	}
	r.adopt(d.Freshness)
	for _, id := range d.Removed {
		r.miss(id, d.Changed)
	}
	if d.From == 0 {
		for id := range r.upstreams {
			if !present[id] {
				r.miss(id, d.Changed)
			}
		}
	}
	r.freshness.Changed = max(r.freshness.Changed, d.Changed)
	return before == nil || r.content == nil
}
