package flow

import "time"

// serverHealth infers the health of a server from whether it answers packets.
type serverHealth struct {
	config TrackerConfig
	// waitingSince is when the wait for the answer to an opening packet began; it begins anew after each
	// AnswerTimeout. unanswered counts these time-outs since the server last sent anything.
	waitingSince time.Duration
	unanswered   int
	// pending counts the packets requiring an answer that were forwarded since the server last sent anything; the
	// first of them was forwarded at pendingSince. checks counts the calls of check since then.
	pending, checks int
	pendingSince    time.Duration
	// down is set if the server is known not to be running, and silent if it has left too many packets unanswered.
	down, silent bool
	// lastTrial is when an unhealthy server was last sent a packet as a trial, and lastHeard when it last sent
	// anything.
	lastTrial, lastHeard time.Duration
}

func newServerHealth(config TrackerConfig) serverHealth {
	return serverHealth{config: config}
}

// healthy reports whether the server may be given new flows.
func (s *serverHealth) healthy() bool {
	return s.responsive() && s.unanswered < s.config.MaxUnanswered
}

// responsive reports whether the server may hold flows.
func (s *serverHealth) responsive() bool {
	return !s.down && !s.silent
}

// allowTrial reports whether an unhealthy server may be sent a packet now as a trial.
func (s *serverHealth) allowTrial(now time.Duration) bool {
	if s.healthy() || now-s.lastTrial < s.config.TrialInterval {
		return false
	}
	s.lastTrial = now
	return true
}

// sentOpening records that an opening packet was forwarded to the server.
func (s *serverHealth) sentOpening(now time.Duration) {
	s.sent(now)
	if s.waitingSince == 0 {
		s.waitingSince = now
		return
	}
	if now-s.waitingSince > s.config.AnswerTimeout {
		s.unanswered++
		s.waitingSince = now
	}
}

// sent records that a packet requiring an answer was forwarded to the server.
func (s *serverHealth) sent(now time.Duration) {
	if s.pending == 0 {
		s.pendingSince, s.checks = now, 0
	}
	s.pending++
}

// check reports whether the server has just become silent. held is the number of requests that wait for its answers.
func (s *serverHealth) check(now time.Duration, held int) bool {
	s.checks++
	if !s.responsive() || s.checks < s.config.MinChecks || s.pending == 0 || s.pending+held < s.config.SilentPackets || now-s.pendingSince < s.config.SilentAfter {
		return false
	}
	s.silent = true
	return true
}

func (s *serverHealth) received(now time.Duration) {
	s.lastHeard = now
	s.waitingSince = 0
	s.unanswered = 0
	s.pending = 0
	s.down, s.silent = false, false
}

func (s *serverHealth) stopped() {
	s.down = true
}

// restarted records that the view shows a new run of the server. What was observed before concerns the run that is over.
// Without this, a server that was down while it had no flows would never get any again: balancers send none to a server
// that takes none, and only a packet from the server shows that it is up.
func (s *serverHealth) restarted() {
	s.waitingSince, s.unanswered, s.pending = 0, 0, 0
	s.down, s.silent = false, false
}

// NeedsProcessCheck reports whether the caller should check if the server process is running. It does so if the server has
// not answered, since only the check can show that its flows are lost. It also does so while the server is down, because
// nothing else may show that it is up again: balancers send no flows to a server that takes none, and its entry may be that
// of the run that was over when the server was found to be down.
func (t *Tracker) NeedsProcessCheck(now time.Duration) bool {
	s := &t.server
	if asked := t.oldestUnanswered(); asked > 0 && now-asked > s.config.AnswerTimeout {
		return true
	}
	return s.down || s.waitingSince > 0 && now-s.waitingSince > s.config.AnswerTimeout || s.silent
}

// HeardSince reports whether the server has sent anything since a time. An earlier finding that it does not run is then wrong.
func (t *Tracker) HeardSince(since time.Duration) bool {
	return t.server.lastHeard >= since
}

// IsServerDown reports whether the server was found not to be running and has not been found to be up since.
func (t *Tracker) IsServerDown() bool {
	return t.server.down
}

// ServerUp records that a server that was down runs again. It counts as cold from now on.
func (t *Tracker) ServerUp(now time.Duration) {
	t.load.advance(now)
	t.cold.answered(now)
	t.cold.update(now)
	t.server.restarted()
}

// Check must be called at regular intervals. It reports whether the server has just become silent.
func (t *Tracker) Check(now time.Duration) (silent bool) {
	t.load.advance(now)
	t.cold.update(now)
	for i := range t.probes {
		t.probes[i].checks++
	}
	t.load.checkLate(now)
	t.held.recheck = true
	return t.server.check(now, t.load.held)
}
