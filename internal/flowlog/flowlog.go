// Package flowlog logs the changes that the daemons of opaque flows have in common.
package flowlog

import (
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// Evacuations logs which evacuations begin and end. The zero value knows none.
type Evacuations struct {
	logged []registry.Evacuation
}

// Update logs the evacuations that have begun or ended since the last call, with event. Their age is unknown if they were
// found in a read of the whole state.
func (e *Evacuations) Update(now time.Duration, inForce []registry.Evacuation, event func(op string, kv ...any)) {
	begun, ended := flow.EvacuationChanges(e.logged, inForce)
	e.logged = inForce
	for _, b := range begun {
		event("evacuation_begun", "place", b.Place, "revision", b.Revision, "age", flow.EvacuationAge(now, b))
	}
	for _, b := range ended {
		event("evacuation_ended", "place", b.Place, "revision", b.Revision, "age", flow.EvacuationAge(now, b))
	}
}
