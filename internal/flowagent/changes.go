package flowagent

import "time"

// maxPause is the longest time between two runs of the periodic work after which packets that have waited meanwhile are
// handled as usual. It is well below the bound of 5 s after which an evacuated zone must get no new flow.
const maxPause = time.Second

// detectPause tells the tracker that this process did not run for a while.
func (l *loop) detectPause(now time.Duration) {
	if l.lastTick > 0 && now-l.lastTick > maxPause {
		l.tracker.Resumed(now)
		l.config.Event("resumed_after_pause", "paused", now-l.lastTick)
		l.lastTick = now
	}
}

// logCold logs when the server becomes cold or has warmed up.
func (l *loop) logCold(now time.Duration) {
	rate, remaining, cold := l.tracker.Cold(now)
	if cold == l.cold {
		return
	}
	l.cold = cold
	event := "server_warm"
	if cold {
		event = "server_cold"
	}
	l.config.Event(event, "rate", rate, "remaining", remaining)
}
