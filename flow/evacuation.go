package flow

import (
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// evacuationRamp is the time over which the new flows of a place move elsewhere after its evacuation began. The servers
// of the other places then do not get the whole share at once. It is short against the bound of some seconds, which
// includes the time until the view shows the evacuation.
const evacuationRamp = time.Second

// evacuated reports whether the evacuation of a place applies to the new flow with the given hash.
func evacuated(now time.Duration, e registry.Evacuation, hash uint64) bool {
	elapsed := now - e.Started
	if e.Started == 0 || elapsed >= evacuationRamp {
		return true
	}
	// The upper bits of the hash select the service of a route; the remainder depends on all bits.
	return time.Duration(hash%uint64(evacuationRamp)) < elapsed
}

// EvacuationChanges returns the evacuations that have begun and ended between two views.
func EvacuationChanges(before, after []registry.Evacuation) (begun, ended []registry.Evacuation) {
	return evacuationsWithout(after, before), evacuationsWithout(before, after)
}

// evacuationsWithout returns the evacuations of a list whose places are not in another list.
func evacuationsWithout(list, others []registry.Evacuation) []registry.Evacuation {
	var rest []registry.Evacuation
	for _, e := range list {
		if !slices.ContainsFunc(others, func(other registry.Evacuation) bool { return other.Place == e.Place }) {
			rest = append(rest, e)
		}
	}
	return rest
}

// EvacuationAge returns the time since an evacuation began as text, or "unknown".
func EvacuationAge(now time.Duration, e registry.Evacuation) string {
	if e.Started == 0 {
		return "unknown"
	}
	return (now - e.Started).String()
}
