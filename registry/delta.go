package registry

import (
	"maps"
	"slices"
	"time"
)

// Delta holds the changes after revision From, or the whole state if From is zero.
type Delta struct {
	From Revision
	Freshness
	// Configuration is nil if it did not change. Otherwise Former holds all former shares.
	Configuration *Configuration
	Former        []FormerShare
	Upstreams     []Upstream
	// Lapsed runs parallel to Upstreams. It is set while an entry is missing in the store but kept.
	Lapsed  []bool
	Removed []string
	// Evacuations includes requests that were taken back.
	Evacuations []Evacuation
}

// Since returns the changes after a revision, or the whole state if the changes since that revision are
// not completely known.
func (r *Registry) Since(revision Revision) Delta {
	if revision < r.completeSince || revision > r.freshness.Revision {
		revision = 0
	}
	d := Delta{From: revision, Freshness: r.Freshness(), Evacuations: r.evacuations.list(revision, true)}
	if r.configurationChanged > revision {
		d.Configuration = r.configuration
		d.Former = r.history.list()
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

// Observe evaluates the freshness of a peer and reports whether the peer has changes that this registry
// lacks. If it has none, its confirmation applies to this registry too.
func (r *Registry) Observe(f Freshness) (behind bool) {
	if f.Revision == 0 {
		return false
	}
	older := f.Revision < r.freshness.Revision
	if older {
		r.observeOlder(f)
	} else {
		r.observeInterruption(f)
	}
	if f.ConfigurationVersion > r.configuration.version() {
		// This holds for an older revision too: the store may have been restored with an older configuration.
		return true
	}
	if older {
		return false
	}
	if f.Changed > r.freshness.Revision {
		return true
	}
	r.adoptConfirmation(f)
	return false
}

// observeOlder evaluates the freshness of a peer with an older revision. If the peer's last
// confirmation is long before the current period of confirmations of this process, the store may have
// been unavailable in between. If the peer is in an earlier era, the store was restored.
func (r *Registry) observeOlder(f Freshness) {
	own := &r.freshness
	own.Interrupted = own.Interrupted || f.Revision.Era() < own.Revision.Era() || own.ContinuousSince-f.Confirmed > r.config.InterruptedAfter
}

// observeInterruption evaluates the freshness of a peer that knows of an interruption of the store, after which entries of live
// servers may still be missing. That holds at once, although the changes of the peer may have to be fetched first.
func (r *Registry) observeInterruption(f Freshness) {
	own := &r.freshness
	if own.Revision > 0 && f.Interrupted && !f.MissingMeansRemoved(r.config) {
		own.Interrupted = true
	}
}

// adoptConfirmation merges the confirmation of a peer that has the same content.
func (r *Registry) adoptConfirmation(f Freshness) {
	own := &r.freshness
	if own.Revision == 0 {
		f.Changed = max(f.Changed, own.Changed)
		*own = f
		return
	}
	if r.entersEra(f.Revision) {
		r.evacuations.enterEra(f.Confirmed)
		own.Revision, own.Confirmed, own.Reader = f.Revision, max(own.Confirmed, f.Confirmed), f.Reader
		own.ContinuousSince, own.Interrupted = f.ContinuousSince, true
		return
	}
	gap := f.Confirmed-own.Confirmed > r.config.InterruptedAfter
	switch {
	case gap && f.ContinuousSince-own.Confirmed > r.config.InterruptedAfter:
		// No process is known to have reached the store between the two confirmations.
		own.ContinuousSince, own.Interrupted = f.ContinuousSince, true
	case gap || f.ContinuousSince < own.ContinuousSince:
		// The process with the longer period of confirmations knows whether an interruption preceded
		// it. A process that started after a restore of the store does not know of that.
		own.ContinuousSince, own.Interrupted = f.ContinuousSince, f.Interrupted || own.Interrupted && own.Revision.Era() > 0
	case f.Interrupted && f.ContinuousSince-own.ContinuousSince < r.config.InterruptedAfter:
		// The peer knows of an interruption that ended when this process first reached the store.
		own.Interrupted = true
	}
	own.Revision = f.Revision
	if f.Confirmed > own.Confirmed {
		own.Confirmed = f.Confirmed
		own.Reader = f.Reader
	}
}

// Merge applies a delta of a peer and reports whether anything changed. It ignores a delta that starts
// after the revision of the registry or ends before it.
func (r *Registry) Merge(d Delta) bool {
	if d.Revision == 0 || d.From > r.freshness.Revision {
		return false
	}
	before := r.content
	if d.Revision < r.freshness.Revision {
		r.mergeOlder(d)
		return before == nil || r.content == nil
	}
	settling := r.entersEra(d.Revision) || r.settling()
	if d.From == 0 {
		// A whole state does not show entries that were added and removed in between.
		r.completeSince = d.Revision
	}
	hadConfiguration := r.configuration != nil
	r.adoptConfiguration(d.Configuration, d.Changed, d.Confirmed)
	r.mergeHistory(d, hadConfiguration)
	present := make(map[string]bool, len(d.Upstreams))
	for i := range d.Upstreams {
		present[d.Upstreams[i].ID] = true
		r.mergeUpstream(&d.Upstreams[i], d.Lapsed[i], d.Changed, settling)
	}
	r.adoptConfirmation(d.Freshness)
	for _, id := range d.Removed {
		r.handleMissing(id, d.Changed)
	}
	if d.From == 0 {
		for id := range r.upstreams {
			if !present[id] {
				r.handleMissing(id, d.Changed)
			}
		}
	}
	r.mergeEvacuations(d)
	r.freshness.Changed = max(r.freshness.Changed, d.Changed)
	return before == nil || r.content == nil
}

// mergeOlder applies what is valid in a delta with an older revision: the peer may know former routes that this
// registry lacks and, if the store was restored, a configuration and requests that the store has lost.
func (r *Registry) mergeOlder(d Delta) {
	hadConfiguration := r.configuration != nil
	r.adoptConfiguration(d.Configuration, r.freshness.Revision, d.Confirmed)
	r.mergeHistory(d, hadConfiguration)
	r.observeOlder(d.Freshness)
	eraKnownSince := r.freshness.ContinuousSince
	if d.Revision.Era() == r.freshness.Revision.Era() {
		eraKnownSince = min(eraKnownSince, d.ContinuousSince)
	}
	r.putEvacuations(slices.DeleteFunc(slices.Clone(d.Evacuations), func(e Evacuation) bool {
		return e.Revision.Era() == r.freshness.Revision.Era()
	}), eraKnownSince)
	if d.Revision.Era() < r.freshness.Revision.Era() && r.settling() {
		for i := range d.Upstreams {
			r.mergeLost(&d.Upstreams[i])
		}
	}
}

// mergeLost adopts the entry of a peer from before the restore of the store, if the store lacks it or states an earlier
// write or run. The next write of the server decides.
func (r *Registry) mergeLost(u *Upstream) {
	e, revision := r.upstreams[u.ID], r.freshness.Revision
	if _, gone := r.removed[u.ID]; gone {
		return
	}
	switch {
	case e == nil:
		r.putUpstream(u, revision)
		r.markLapsed(r.upstreams[u.ID], revision)
	case e.Incarnation < u.Incarnation, e.staleAfter(u.Incarnation, u.Sequence):
		r.putUpstream(u, revision)
	}
}

// mergeUpstream adds or replaces an entry of a peer. settling is set if servers may not have written to the peer's store
// since it was restored.
func (r *Registry) mergeUpstream(u *Upstream, lapsed bool, changed Revision, settling bool) {
	r.putFromWhole(u, changed, settling)
	if e := r.upstreams[u.ID]; lapsed && e != nil {
		r.markLapsed(e, changed)
	}
}

// mergeEvacuations applies the requests of a delta. A whole state that lacks one shows that it was taken back.
func (r *Registry) mergeEvacuations(d Delta) {
	r.putEvacuations(d.Evacuations, r.freshness.ContinuousSince)
	if d.From == 0 && r.evacuations.replace(d.Evacuations, d.Changed, d.Confirmed) {
		r.markChanged(d.Changed)
	}
}

// putEvacuations adopts the later ones of the requests of a peer. The retention of a request that a restored store may
// have lost counts from eraKnownSince, when the restored store was first read. Otherwise a request would be kept for ever
// if processes that start one after the other learn of it from each other.
func (r *Registry) putEvacuations(list []Evacuation, eraKnownSince time.Duration) {
	for _, e := range list {
		at := r.freshness.Confirmed
		if !e.Ended && e.Revision.Era() < r.freshness.Revision.Era() {
			at = eraKnownSince
		}
		if r.evacuations.putFromWhole(e, r.freshness.Revision, at) {
			r.markChanged(r.freshness.Revision)
		}
	}
}
