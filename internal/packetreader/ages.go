package packetreader

import "time"

// maxTurn is the longest time between two turns of an event loop with which datagrams count as read at once. It exceeds the
// interval of the periodic work, and the tenth of a second for which a VM may get no processor time when its allowance is
// used up.
const maxTurn = 200 * time.Millisecond

// Ages estimates how long datagrams have waited in the sockets of a process that was suspended or could not keep up. The
// kernel's receive times would be exact, but not every platform delivers them. An event loop owns its Ages; it calls Turn
// at least once in each run of its periodic work. The zero value is ready for use.
type Ages struct {
	// last is the time of the latest turn.
	last time.Duration
	// backlogs holds the state of each socket by source.
	backlogs [2]backlog
}

// backlog says since when datagrams may have been waiting in a socket.
type backlog struct {
	// since is when the earliest datagram that may still wait arrived at the earliest, if waiting is set.
	since   time.Duration
	waiting bool
	// resumed is when the process was found to run again. Batches that were read before say nothing about the socket.
	resumed time.Duration
	// readOn is when the reader could read on at the latest: when the pause was found to be over, or when the latest full
	// batch was handled.
	readOn time.Duration
}

// Turn records that the loop runs at the given time. It returns how long the process has not run before, or zero if it has
// run all the time.
func (a *Ages) Turn(now time.Duration) (paused time.Duration) {
	paused = now - a.last
	if a.last == 0 || paused <= maxTurn {
		paused = 0
	}
	if paused > 0 {
		for i := range a.backlogs {
			a.backlogs[i].pause(a.last, now)
		}
	}
	a.last = now
	return paused
}

// pause records that the process did not run between two times.
func (b *backlog) pause(from, to time.Duration) {
	b.expire(from)
	if !b.waiting {
		b.since, b.waiting = from, true
	}
	b.resumed, b.readOn = from+maxTurn, to
}

// expire forgets the backlog if the reader has had enough time until now to read it. If no batch came of that, there was none,
// and what arrived later is fresh.
func (b *backlog) expire(now time.Duration) {
	if now-b.readOn > maxTurn {
		b.waiting = false
	}
}

// Age returns the longest time for which the datagrams of a batch may have waited until now. Waits of maxTurn or less count
// as none. Call Turn before, and Age once for each batch of a source, in the order in which they were read.
func (a *Ages) Age(now time.Duration, batch *Batch) time.Duration {
	b := &a.backlogs[batch.Source]
	b.expire(batch.ReadAt)
	since := batch.ReadAt
	if b.waiting {
		since = min(since, b.since)
	}
	full := len(batch.Messages) == BatchSize
	if full {
		b.readOn = now
	}
	switch {
	case full && !b.waiting:
		// The rest of the datagrams arrived after those of this batch.
		b.since, b.waiting = batch.ReadAt, true
	case !full && batch.ReadAt >= b.resumed:
		b.waiting = false
	}
	if age := now - since; age > maxTurn {
		return age
	}
	return 0
}
