package flow

import (
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
	// The upper bits of the hash select the service of a route, so the lower ones are used here.
	return time.Duration(hash%uint64(evacuationRamp)) < elapsed
}
