package flow

import (
	"math/rand"
	"time"
)

// seedHeartbeatInterval is the time between two heartbeats of a process to a seed. It is well below the age of a view at
// which a process reads the store itself.
const seedHeartbeatInterval = 250 * time.Millisecond

// SeedHeartbeats decides when a process that knows no other process sends a heartbeat to a seed. The answers confirm its
// view, so that it need not read the store. It is not safe for concurrent use.
type SeedHeartbeats struct {
	rnd  *rand.Rand
	next time.Duration
}

// NewSeedHeartbeats returns a SeedHeartbeats whose first heartbeat is due at once.
func NewSeedHeartbeats(rnd *rand.Rand) *SeedHeartbeats {
	return &SeedHeartbeats{rnd: rnd}
}

// Due returns the index of the seed to which a heartbeat is due, or false if none is. known is the number of other
// processes that the process exchanges heartbeats with.
func (s *SeedHeartbeats) Due(now time.Duration, seeds, known int) (index int, due bool) {
	if seeds == 0 || known > 0 || now < s.next {
		return 0, false
	}
	s.next = now + seedHeartbeatInterval
	return s.rnd.Intn(seeds), true
}
