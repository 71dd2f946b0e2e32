package flowbalancer

import (
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// logEvacuations logs the evacuations that have begun or ended since the last view. Their age is unknown if they were
// found in a read of the whole state.
func (l *loop) logEvacuations(now time.Duration, evacuations []registry.Evacuation) {
	begun, ended := flow.EvacuationChanges(l.evacuations, evacuations)
	l.evacuations = evacuations
	for _, e := range begun {
		l.config.Event("evacuation_begun", "place", e.Place, "revision", e.Revision, "age", flow.EvacuationAge(now, e))
	}
	for _, e := range ended {
		l.config.Event("evacuation_ended", "place", e.Place, "revision", e.Revision, "age", flow.EvacuationAge(now, e))
	}
}

// logColdChanges logs which servers have become cold or have warmed up.
func (l *loop) logColdChanges(now time.Duration) {
	for _, change := range l.director.ColdChanges(now) {
		event := "server_warm"
		if change.Cold {
			event = "server_cold"
		}
		l.config.Event(event, "agent", change.Agent, "rate", change.Rate, "remaining", change.Remaining)
	}
}
