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
	// Started is when the request was first seen as a change. It is zero if it was found in a read of the whole state,
	// so that it may be much older.
	Started time.Duration
}

// evacuation is the latest known state of a place's request.
type evacuation struct {
	Evacuation
	// requested is the revision of the last request, also after it was taken back.
	requested Revision
	// changed is the revision at which this process learned of the state.
	changed Revision
	// since is when the request was taken back, or when a restored store was first read that may have lost it.
	since time.Duration
}

// evacuations holds the requests in force, by place, and those taken back for as long as a peer may not know of it.
type evacuations map[string]*evacuation

// put adopts the state of a request unless a later one is known, and reports whether the requests in force differ.
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
	differs := known.Ended != next.Ended
	if !differs {
		// The same state read again keeps its start.
		next.Started = known.Started
	}
	if !next.Ended {
		known.requested = next.Revision
	}
	known.Evacuation, known.changed, known.since = next, changed, at
	return differs
}

// replace adopts the requests of a whole state at a revision. It reports whether those in force differ.
func (e evacuations) replace(found []Evacuation, revision Revision, at time.Duration) bool {
	differs := false
	present := make(map[string]bool, len(found))
	for _, next := range found {
		present[next.Place] = true
		if !e.outdated(next) {
			differs = e.put(next, revision, at) || differs
		}
	}
	for place, known := range e {
		// A store that was restored may have lost a request of an earlier era.
		lost := known.Revision.Era() < revision.Era()
		if !known.Ended && !present[place] && !lost {
			differs = e.put(Evacuation{Place: place, Revision: max(revision, known.Revision+1), Ended: true}, revision, at) || differs
		}
	}
	return differs
}

// outdated reports whether a restored store states a request that was taken back in an earlier era.
func (e evacuations) outdated(next Evacuation) bool {
	known := e[next.Place]
	return known != nil && known.Ended && !next.Ended && known.Revision.Era() < next.Revision.Era() && known.requested.Number() == next.Revision.Number()
}

// enterEra starts the retention of the requests that the store may have lost when it was restored.
func (e evacuations) enterEra(at time.Duration) {
	for _, known := range e {
		known.since = at
	}
}

// expire takes back the requests of earlier eras that a restored store did not state within lostRetention, and removes
// those taken back before endedRetention. It reports whether the requests in force differ.
func (e evacuations) expire(revision Revision, now, lostRetention, endedRetention time.Duration) bool {
	differs := false
	for place, known := range e {
		age := now - known.since
		switch {
		case known.Ended && age > endedRetention:
			delete(e, place)
		case !known.Ended && known.Revision.Era() < revision.Era() && age > lostRetention:
			differs = e.put(Evacuation{Place: place, Revision: revision, Ended: true}, revision, now) || differs
		}
	}
	return differs
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
