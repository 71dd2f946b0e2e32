package flowbalancer

import "time"

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
