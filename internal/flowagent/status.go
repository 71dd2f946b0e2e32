package flowagent

import (
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
)

// serverSnapshot is the state of the server at a time.
type serverSnapshot struct {
	flow.ServerState
	taken time.Duration
}

// publishServer makes the state of the server available to ServerStatus.
func (l *loop) publishServer(now time.Duration) {
	s := &serverSnapshot{ServerState: l.tracker.ServerState(now), taken: now}
	l.agent.state.Store(s)
}

// ServerStatus returns the state of the server as the event loop last published it, about once a second. It is nil
// before the first time. It may be called from any goroutine.
func (a *Agent) ServerStatus() *nodestatus.Server {
	s := a.state.Load()
	if s == nil {
		return nil
	}
	now := a.config.Clock.Now()
	status := s.Status(now, a.config.Tracker.Service)
	status.AgeMs = (now - s.taken).Milliseconds()
	return &status
}
