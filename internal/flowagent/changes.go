package flowagent

import "time"

// maxPause is the longest pause of the process after which an opening packet that arrived meanwhile may still reach the
// server. It is well below the bound of 5 s after which an evacuated zone must get no new flow.
const maxPause = time.Second

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
