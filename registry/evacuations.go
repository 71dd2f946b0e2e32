package registry

import (
	"cmp"
	"slices"
	"time"
)

// Evacuation is an operator's request that the servers in an availability zone get no new flows.
type Evacuation struct {
	Place string
	// Revision is the store's revision of the request or, if it was taken back, of that change.
	Revision Revision
	// Ended is set if the request was taken back.
	Ended bool
	// Requested is the revision of the request also after it was taken back, or zero if that is not known. It shows
	// whether a restored store states the same request again.
	Requested Revision
	// Started is when the request was first seen as a change. It is zero if it was found in a read of the whole state,
	// so that it may be much older.
	Started time.Duration
}

// evacuation is the latest known state of a place's request.
type evacuation struct {
	Evacuation
	// changed is the revision at which this process learned of the state.
	changed Revision
	// since is when the request was taken back, or when a restored store was first read that may have lost it.
	since time.Duration
	// stated is the revision at which a restored store states the request although it was taken back, or zero.
	stated Revision
}

// evacuations holds the requests in force, by place, and those taken back for as long as a peer may not know of it.
type evacuations map[string]*evacuation

// put adopts the state of a request unless a later one is known, and reports whether it did. A state without a difference
// still counts as a change: peers must learn that a restored store has not lost the request.
func (e evacuations) put(next Evacuation, changed Revision, at time.Duration) bool {
	known := e[next.Place]
	if known == nil {
		known = &evacuation{}
		known.Ended = true
		e[next.Place] = known
	}
	if next.Revision <= known.Revision {
		return false
	}
	if known.Ended == next.Ended {
		// The same state read again keeps its start.
		next.Started = known.Started
	}
	switch {
	case !next.Ended:
		next.Requested = next.Revision
	case next.Requested == 0:
		next.Requested = known.Requested
	}
	known.Evacuation, known.changed, known.since, known.stated = next, changed, at, 0
	return true
}

// replace adopts the requests of a whole state at a revision, and reports whether there was a later one than known.
func (e evacuations) replace(found []Evacuation, revision Revision, at time.Duration) (changed bool) {
	present := make(map[string]bool, len(found))
	for _, next := range found {
		// A peer may keep a request that the store has lost. That does not show that the store has it.
		present[next.Place] = next.Ended || next.Revision.Era() == revision.Era()
		changed = e.putFromWhole(next, revision, at) || changed
	}
	for place, known := range e {
		if present[place] {
			continue
		}
		known.stated = 0
		// A store that was restored may have lost a request of an earlier era. The end of one is stated anew, for processes
		// that know the request from the copy.
		earlier := known.Revision.Era() < revision.Era()
		if known.Ended == earlier {
			changed = e.put(Evacuation{Place: place, Revision: max(revision, known.Revision+1), Ended: true}, revision, at) || changed
		}
	}
	return changed
}

// putFromWhole adopts a request of a whole state or of a peer, except one that a restored store states although it was
// taken back in an earlier era. Operators take it back again; only if they have not after the retention, it is in force.
func (e evacuations) putFromWhole(next Evacuation, changed Revision, at time.Duration) bool {
	known := e[next.Place]
	if known != nil && known.Ended && !next.Ended && next.Started == 0 &&
		known.Revision.Era() < next.Revision.Era() && known.Requested.Number() == next.Revision.Number() {
		known.stated = next.Revision
		return false
	}
	return e.put(next, changed, at)
}

// enterEra starts the retention of the requests that the store may have lost when it was restored.
func (e evacuations) enterEra(at time.Duration) {
	for _, known := range e {
		known.since = at
	}
}

// expire lets the statement of a restored store count after EraRetention, and removes the requests that were taken back
// before RemovedRetention. It reports whether the requests in force differ, and the last revision at which a removed one
// became known.
func (e evacuations) expire(revision Revision, now time.Duration, c Config) (differs bool, forgotten Revision) {
	for place, known := range e {
		age := now - known.since
		switch {
		case known.stated > 0 && age > c.EraRetention:
			differs = e.put(Evacuation{Place: place, Revision: known.stated}, revision, now) || differs
		case known.Ended && age > c.RemovedRetention:
			delete(e, place)
			forgotten = max(forgotten, known.changed)
		case !known.Ended && known.Revision.Era() < revision.Era() && age > c.EraRetention:
			differs = e.put(Evacuation{Place: place, Revision: revision, Ended: true}, revision, now) || differs
		}
	}
	return differs, forgotten
}

// list returns the states that changed after a revision, sorted by place, with those taken back if withEnded is set.
func (e evacuations) list(after Revision, withEnded bool) []Evacuation {
	var list []Evacuation
	for _, known := range e {
		if known.changed > after && (withEnded || !known.Ended) {
			list = append(list, known.Evacuation)
		}
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.Place, b.Place) })
	return list
}

// Evacuation returns the request for a place, or false if there is none in force.
func (c *Content) Evacuation(place string) (Evacuation, bool) {
	for _, e := range c.Evacuations {
		if e.Place == place {
			return e, true
		}
	}
	return Evacuation{}, false
}
