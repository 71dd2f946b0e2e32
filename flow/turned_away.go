package flow

import "time"

// TurnedAway counts opening packets that did not go to the server where they would have gone otherwise.
type TurnedAway struct {
	// Evacuated counts those turned away because operators evacuate the server's place, and Cold those because the
	// server has not warmed up and has used up its limit.
	Evacuated, Cold uint64
}

// TurnedAway returns the opening packets that the agent has not given to its server.
func (t *Tracker) TurnedAway() TurnedAway {
	return t.turnedAway
}

// TurnedAway returns the opening packets that the balancer has not sent to the server that ranks first for their flow,
// or that it has refused because an evacuation left no server.
func (d *Director) TurnedAway() TurnedAway {
	return d.turnedAway
}

// backlogTime is how long after a pause an agent may find packets that arrived during it. The loop handles the backlog
// of a socket within milliseconds.
const backlogTime = 100 * time.Millisecond

// Resumed records that the agent continued after a pause. The opening packets that arrived meanwhile may have been sent
// before an evacuation began that the agent does not know yet, so they are passed on.
func (t *Tracker) Resumed(now time.Duration) {
	t.resumed = now
}

func (t *Tracker) justResumed(now time.Duration) bool {
	return t.resumed > 0 && now-t.resumed < backlogTime
}

// passEvacuated passes on an opening packet because the server's place is evacuated. If no agent is left, the flow is
// refused at once: waiting for a copy would not help.
func (t *Tracker) passEvacuated(request Request, p *Packet) Verdict {
	t.turnedAway.Evacuated++
	v := t.pass(request, t.routes[p.Key.Service], "availability zone is evacuated")
	v.Refusal = NotRefused
	return v
}

// passCold passes on an opening packet because the server is cold and has used up its limit.
func (t *Tracker) passCold(request Request, p *Packet) Verdict {
	t.turnedAway.Cold++
	return t.pass(request, t.routes[p.Key.Service], "server is cold")
}

// countTurnedAway counts an opening packet that does not go to the agent that ranks first for its flow. first is the
// class of that agent.
func (d *Director) countTurnedAway(first class) {
	switch first {
	case evacuating:
		d.turnedAway.Evacuated++
	case exhausted:
		d.turnedAway.Cold++
	}
}

// refuseUnplaced refuses a new flow for which there is no agent. If the evacuation of a place is the reason, the flow is
// refused at any age of the view: evacuations stay in force while the store is unavailable, and the flows must not wait
// for its return.
func (d *Director) refuseUnplaced(now time.Duration, p *Packet, s *service) Decision {
	for _, candidate := range s.candidates {
		if d.classify(now, d.agents[ipFromNumber(candidate.Number)], p.Key.Hash()) == evacuating {
			return Decision{Action: Reset, Reason: "every server left is in an evacuated availability zone"}
		}
	}
	if len(s.candidates) == 0 && !d.view.MissingMeansRemoved(d.config.Registry) {
		// All processes and servers may just have started. The client's next copy finds a server that has written its entry.
		return Decision{Reason: "no upstream is known, but the view has not been confirmed for long enough to refuse the flow"}
	}
	return d.refuse(now, p, "no upstream accepts new flows")
}
