package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
)

// ServerState is the state of the server beside an agent, for operators.
type ServerState struct {
	// Accepting is set if the server takes new flows, apart from evacuation, the cold rate and its load.
	Accepting bool
	// Draining is set if the server drains or is gone from the view, and Evacuated if its place gets no new flows.
	Draining, Evacuated bool
	// Suspect is set if the server fails more of its requests than its peers.
	Suspect bool
	// WarmAt is when the server is expected to be warm, or zero if it is warm. ColdRate is the limit on the new flows per
	// second of a cold server, or zero if there is none.
	WarmAt   time.Duration
	ColdRate float64
	// Busy is the number of requests that are running, waiting, held or expected, and Flows the number of open flows.
	Busy, Slots, Flows int
	// Speed is how fast the server is relative to the median of its service, or zero if that is not known.
	Speed float64
	// Held is the number of requests on open flows that the agent holds until the server has room for them.
	Held int
}

// Status returns the state as it is published. The caller sets its age.
func (s *ServerState) Status(now time.Duration, service string) nodestatus.Server {
	return nodestatus.Server{
		Service:   service,
		Accepting: s.Accepting,
		Draining:  s.Draining,
		Evacuated: s.Evacuated,
		Suspect:   s.Suspect,
		ColdMs:    max(0, (s.WarmAt - now).Milliseconds()),
		ColdRate:  s.ColdRate,
		Speed:     s.Speed,
		Held:      s.Held,
		Busy:      s.Busy,
		Slots:     s.Slots,
		Flows:     s.Flows,
	}
}

// ServerState returns the state of the server. It changes nothing, so unlike Status it also counts reservations that
// have expired since the last decision.
func (t *Tracker) ServerState(now time.Duration) ServerState {
	s := ServerState{
		Accepting: t.Accepting(now),
		Draining:  t.leaving(),
		Evacuated: t.evacuated,
		Suspect:   t.Suspect(),
		Busy:      t.load.busy(),
		Slots:     t.load.slots,
		Flows:     t.load.flows,

		Speed: t.load.speed.latest,
		Held:  t.load.held,
	}
	rate, remaining, cold := t.Cold(now)
	s.ColdRate = rate
	if cold {
		s.WarmAt = now + remaining
	}
	return s
}
