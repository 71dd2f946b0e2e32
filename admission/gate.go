// Package admission decides which requests an upstream with few slots runs, in which order, and which
// are refused at once. It is pure: the time and the source of randomness are passed in.
package admission

import (
	"time"
)

// Config bounds a gate.
type Config struct {
	// Slots is how many requests run at once.
	Slots int
	// QueueLength is how many requests wait for a slot. A longer queue absorbs bursts, at the cost of
	// waiting time; requests that cannot meet their deadline never wait.
	QueueLength int
	// InitialServiceTime is the estimate until the first request has finished.
	InitialServiceTime time.Duration
}

// waitShare is the reciprocal of the part of its remaining time that a request may be expected to wait. A
// small part keeps the queue short under overload and leaves room for requests that go ahead.
const waitShare = 4

// Decision is what happens to a request that arrives.
type Decision uint8

const (
	// Run means that the request holds a slot and starts now.
	Run Decision = iota
	// Wait means that the request waits; Done or SetLimits names it later, or Cancel removes it.
	Wait
	// Shed means that the request would wait too long for its deadline, or that the queue is full.
	Shed
)

// Change names the waiting requests that a call to a gate has settled.
type Change struct {
	// Start holds requests that have been given a slot.
	Start []uint64
	// Shed holds requests that can no longer meet their deadline.
	Shed []uint64
}

// Gate gives the slots of one upstream to the request with the earliest deadline and sheds what
// cannot meet its deadline. It is not safe for concurrent use.
type Gate struct {
	slots       int
	queueLength int
	busy        int
	queue       queue
	estimate    estimate
}

// NewGate returns a gate without requests.
func NewGate(config Config) *Gate {
	return &Gate{
		slots:       config.Slots,
		queueLength: config.QueueLength,
		queue:       newQueue(),
		estimate:    estimate{mean: config.InitialServiceTime},
	}
}

// Admit decides about a new request. The ID is unique among the requests of the gate.
func (g *Gate) Admit(now time.Duration, id uint64, deadline time.Duration) Decision {
	if now+g.estimate.high() > deadline {
		return Shed
	}
	if g.free() && g.queue.Len() == 0 {
		g.busy++
		return Run
	}
	if g.queue.Len() >= g.queueLength {
		return Shed
	}
	ahead := g.queue.ahead(deadline)
	wait := g.wait(ahead)
	if wait > (deadline-now)/waitShare || now+wait+g.estimate.high() > deadline {
		return Shed
	}
	g.queue.push(id, deadline)
	return Wait
}

// TryRun gives a slot to a request that must not wait.
func (g *Gate) TryRun(now, deadline time.Duration) bool {
	if !g.free() || g.queue.Len() > 0 || now+g.estimate.high() > deadline {
		return false
	}
	g.busy++
	return true
}

// Done frees the slot of a request that has run for took.
func (g *Gate) Done(now, took time.Duration) Change {
	g.estimate.observe(took)
	return g.Release(now)
}

// Release frees a slot whose request says nothing about the service time, as one that was cut short.
func (g *Gate) Release(now time.Duration) Change {
	g.busy--
	return g.advance(now)
}

// Pop removes the waiting request that would start next.
func (g *Gate) Pop() (id uint64, ok bool) {
	if g.queue.Len() == 0 {
		return 0, false
	}
	id, _ = g.queue.pop()
	return id, true
}

// Free reports whether a request that arrives now would start at once.
func (g *Gate) Free() bool {
	return g.free() && g.queue.Len() == 0
}

// Cancel removes a waiting request and reports whether it was waiting.
func (g *Gate) Cancel(id uint64) bool {
	return g.queue.remove(id)
}

// SetLimits changes the slots and the length of the queue.
func (g *Gate) SetLimits(now time.Duration, slots, queueLength int) Change {
	g.slots = slots
	g.queueLength = queueLength
	return g.advance(now)
}

// Busy returns how many requests hold a slot.
func (g *Gate) Busy() int {
	return g.busy
}

// Slots returns how many requests may hold a slot.
func (g *Gate) Slots() int {
	return g.slots
}

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int {
	return g.queue.Len()
}

// ExpectedWait returns how long a request that arrives now with a late deadline would wait.
func (g *Gate) ExpectedWait() time.Duration {
	if g.free() && g.queue.Len() == 0 {
		return 0
	}
	return g.wait(g.queue.Len())
}

func (g *Gate) free() bool {
	return g.busy < g.slots
}

// wait estimates the time until a slot is free for a request with the given number ahead of it.
func (g *Gate) wait(ahead int) time.Duration {
	return g.estimate.mean * time.Duration(ahead+1) / time.Duration(max(g.slots, 1))
}

func (g *Gate) advance(now time.Duration) Change {
	var change Change
	for g.free() && g.queue.Len() > 0 {
		id, deadline := g.queue.pop()
		if now+g.estimate.high() > deadline {
			change.Shed = append(change.Shed, id)
			continue
		}
		g.busy++
		change.Start = append(change.Start, id)
	}
	return change
}
