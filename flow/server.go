package flow

import "time"

// serverHealth judges a server by whether it answers.
type serverHealth struct {
	config TrackerConfig
	// waiting is when the first opening packet without an answer was handed over, and unanswered counts those that
	// waited for too long.
	waiting    time.Duration
	unanswered int
	// given counts the packets that ask for an answer since the server last said anything, the first of which was
	// handed over at since. looks counts how often the agent has looked for an answer meanwhile.
	given, looks int
	since        time.Duration
	// down says that the server is known not to run, and silent that it has left too much without an answer.
	down, silent bool
	// tried is when a server that does not answer was last given something, and heard when it last said anything.
	tried, heard time.Duration
}

func newServerHealth(config TrackerConfig) serverHealth {
	return serverHealth{config: config}
}

// answers reports whether new flows may go to the server.
func (s *serverHealth) answers() bool {
	return s.talks() && s.unanswered < s.config.MaxUnanswered
}

// talks reports whether the server may hold flows.
func (s *serverHealth) talks() bool {
	return !s.down && !s.silent
}

// tryAgain reports whether a server that does not answer is to be tried with a packet.
func (s *serverHealth) tryAgain(now time.Duration) bool {
	if s.answers() || now-s.tried < s.config.TrialInterval {
		return false
	}
	s.tried = now
	return true
}

// opened notes that the server was given an opening packet.
func (s *serverHealth) opened(now time.Duration) {
	s.gave(now)
	if s.waiting == 0 {
		s.waiting = now
		return
	}
	if now-s.waiting > s.config.AnswerTimeout {
		s.unanswered++
		s.waiting = now
	}
}

// gave notes that the server was given a packet that asks for an answer.
func (s *serverHealth) gave(now time.Duration) {
	if s.given == 0 {
		s.since, s.looks = now, 0
	}
	s.given++
}

// look reports whether the server has just become silent.
func (s *serverHealth) look(now time.Duration) bool {
	s.looks++
	if !s.talks() || s.looks < s.config.MinChecks || s.given < s.config.SilentPackets || now-s.since < s.config.SilentAfter {
		return false
	}
	s.silent = true
	return true
}

func (s *serverHealth) answered(now time.Duration) {
	s.heard = now
	s.waiting = 0
	s.unanswered = 0
	s.given = 0
	s.down, s.silent = false, false
}

func (s *serverHealth) stopped() {
	s.down = true
}

// NeedsProcessCheck reports whether it is worth asking the system whether the server runs.
func (k *Tracker) NeedsProcessCheck(now time.Duration) bool {
	s := &k.server
	return !s.down && (s.waiting > 0 && now-s.waiting > s.config.AnswerTimeout || s.silent)
}

// Check is to be called at regular times. It reports whether the server has just become silent.
func (k *Tracker) Check(now time.Duration) (silent bool) {
	for i := range k.probes {
		k.probes[i].looks++
	}
	k.load.look(now)
	return k.server.look(now)
}

// EndStalled returns the flows whose server has become silent and owes an answer, with the number that the reset of each
// must carry, and ends them.
func (k *Tracker) EndStalled() map[Key]uint32 {
	stalled := map[Key]uint32{}
	for _, key := range k.flows.Keys() {
		if h, _ := k.flows.Peek(key); h.state == open && h.confirmed && h.owed {
			stalled[key] = h.clientAck
			k.end(h)
		}
	}
	return stalled
}
