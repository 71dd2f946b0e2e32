package flow

import "time"

// maxAppliedVersions bounds the versions that are remembered. More than that are being distributed at once only for
// fractions of a second.
const maxAppliedVersions = 16

// versionGuard remembers the configuration versions that an agent has applied at a balancer's request before it
// received them itself. Once it has applied a version, it must not keep using an older one for long.
type versionGuard struct {
	applied []appliedVersion
}

type appliedVersion struct {
	version uint64
	since   time.Duration
}

// record notes that the agent has applied a version that it has not received.
func (g *versionGuard) record(now time.Duration, version uint64) {
	for i := range g.applied {
		if g.applied[i].version == version {
			return
		}
	}
	if len(g.applied) < maxAppliedVersions {
		g.applied = append(g.applied, appliedVersion{version: version, since: now})
	}
}

// discardUpTo removes the versions up to the one that the agent has received.
func (g *versionGuard) discardUpTo(version uint64) {
	rest := g.applied[:0]
	for _, v := range g.applied {
		if v.version > version {
			rest = append(rest, v)
		}
	}
	g.applied = rest
}

// forbids reports whether a version must not be used any more because a newer one was applied longer ago than
// limit.
func (g *versionGuard) forbids(now time.Duration, version uint64, limit time.Duration) bool {
	for _, v := range g.applied {
		if v.version > version && now-v.since > limit {
			return true
		}
	}
	return false
}
