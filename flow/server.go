package flow

import "time"

// serverHealth judges a server by whether it answers opening packets.
type serverHealth struct {
	config KeeperConfig
	// waiting is when the first opening packet without an answer was handed over.
	waiting    time.Duration
	unanswered int
	// down says that the server is known not to run.
	down bool
	// tried is when a silent server was last given a new flow.
	tried time.Duration
}

func newServerHealth(config KeeperConfig) serverHealth {
	return serverHealth{config: config}
}

// answers reports whether new flows may go to the server.
func (s *serverHealth) answers() bool {
	return !s.down && s.unanswered < s.config.MaxUnanswered
}

// tryAgain reports whether a silent server is to be tried with a new flow.
func (s *serverHealth) tryAgain(now time.Duration) bool {
	if s.answers() || now-s.tried < s.config.TryInterval {
		return false
	}
	s.tried = now
	return true
}

// opened notes that the server was given an opening packet.
func (s *serverHealth) opened(now time.Duration) {
	if s.waiting == 0 {
		s.waiting = now
		return
	}
	if now-s.waiting > s.config.AnswerWithin {
		s.unanswered++
		s.waiting = now
	}
}

func (s *serverHealth) answered() {
	s.waiting = 0
	s.unanswered = 0
	s.down = false
}

func (s *serverHealth) stopped() {
	s.down = true
}

// Suspicious reports whether it is worth asking the system whether the server runs.
func (k *Keeper) Suspicious(now time.Duration) bool {
	s := &k.server
	return !s.down && s.waiting > 0 && now-s.waiting > s.config.AnswerWithin
}
