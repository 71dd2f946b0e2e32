package flow

import "time"

// maxAhead bounds the versions that are remembered; more than some are under way only for fractions of a second.
const maxAhead = 16

// ahead remembers by which versions an agent has acted although it does not have them yet, since a balancer went by
// them. Having shown one, it must not go by an older one for long.
type ahead struct {
	acted []actedVersion
}

type actedVersion struct {
	version uint64
	since   time.Duration
}

// act notes that the agent goes by a version that it does not have.
func (a *ahead) act(now time.Duration, version uint64) {
	for i := range a.acted {
		if a.acted[i].version == version {
			return
		}
	}
	if len(a.acted) < maxAhead {
		a.acted = append(a.acted, actedVersion{version: version, since: now})
	}
}

// reached forgets the versions up to the one that the agent has now.
func (a *ahead) reached(version uint64) {
	rest := a.acted[:0]
	for _, v := range a.acted {
		if v.version > version {
			rest = append(rest, v)
		}
	}
	a.acted = rest
}

// forbids reports whether it is too late to go by a version, since a newer one was acted by longer ago than a limit.
func (a *ahead) forbids(now time.Duration, version uint64, limit time.Duration) bool {
	for _, v := range a.acted {
		if v.version > version && now-v.since > limit {
			return true
		}
	}
	return false
}
