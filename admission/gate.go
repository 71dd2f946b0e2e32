// Package admission decides which requests an upstream with a small number of slots runs, in which
// order, and which it sheds immediately. The package has no side effects: the source of randomness and
// the time, as a duration since any fixed start, are passed in.
package admission

import (
	"time"
)

// Config holds the limits of a Gate.
type Config struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// QueueLength is the maximum number of requests that wait for a slot. A longer queue absorbs bursts
	// but increases waiting time. Requests that cannot meet their deadline are never queued.
	QueueLength int
	// InitialServiceTime is the estimated service time until the first request has finished.
	InitialServiceTime time.Duration
}

// maxWaitDivisor limits the expected wait of a request to 1/maxWaitDivisor of its remaining time. A
// small fraction keeps the queue short under overload and leaves time for later requests with earlier
// deadlines, which are served first.
const maxWaitDivisor = 4

// Decision is the outcome for a request that arrives at a Gate.
type Decision uint8

const (
	// Run means that the request has been given a slot and starts now.
	Run Decision = iota
	// Wait means that the request is queued. Done, Release or SetLimits later starts or sheds it,
	// unless Cancel or Pop removes it first.
	Wait
	// Shed means that the queue is full or that the request would wait too long for its deadline.
	Shed
)

// Change lists the requests that a call to a Gate has taken from the queue.
type Change struct {
	// Start holds the IDs of requests that have been given a slot.
	Start []uint64
	// Shed holds the IDs of requests that can no longer meet their deadline.
	Shed []uint64
}

// Gate assigns the slots of one upstream to requests in order of deadline and sheds requests that
// cannot meet theirs. It is not safe for concurrent use.
type Gate struct {
	slots       int
	queueLength int
	busy        int
	queue       queue
	estimate    estimate
}

// NewGate returns a Gate that holds no requests.
func NewGate(config Config) *Gate {
	return &Gate{
		slots:       config.Slots,
		queueLength: config.QueueLength,
		queue:       newQueue(),
		estimate:    estimate{mean: config.InitialServiceTime},
	}
}

// Admit runs, queues or sheds a new request. The ID must be unique among the requests of the gate.
func (g *Gate) Admit(now time.Duration, id uint64, deadline time.Duration) Decision {
	if now+g.estimate.upperBound() > deadline {
		return Shed
	}
	if g.hasFreeSlot() && g.queue.Len() == 0 {
		g.busy++
		return Run
	}
	if g.queue.Len() >= g.queueLength {
		return Shed
	}
	ahead := g.queue.ahead(deadline)
	wait := g.expectedWait(ahead)
	if wait > (deadline-now)/maxWaitDivisor || now+wait+g.estimate.upperBound() > deadline {
		return Shed
	}
	g.queue.push(id, deadline)
	return Wait
}

// TryRun takes a slot for a request and returns true, or returns false if the request would have to
// wait or could not meet its deadline. It never queues the request.
func (g *Gate) TryRun(now, deadline time.Duration) bool {
	if !g.hasFreeSlot() || g.queue.Len() > 0 || now+g.estimate.upperBound() > deadline {
		return false
	}
	g.busy++
	return true
}

// Done frees the slot of a completed request and adds its service time to the estimate.
func (g *Gate) Done(now, serviceTime time.Duration) Change {
	g.estimate.observe(serviceTime)
	return g.Release(now)
}

// Release frees the slot of a request whose duration must not count towards the service time estimate,
// for example because the request was cut short.
func (g *Gate) Release(now time.Duration) Change {
	g.busy--
	return g.fillSlots(now)
}

// Pop removes and returns the waiting request with the earliest deadline.
func (g *Gate) Pop() (id uint64, ok bool) {
	if g.queue.Len() == 0 {
		return 0, false
	}
	id, _ = g.queue.pop()
	return id, true
}

// CanStart reports whether a request that arrives now would start immediately.
func (g *Gate) CanStart() bool {
	return g.hasFreeSlot() && g.queue.Len() == 0
}

// Cancel removes a request from the queue and reports whether it was queued.
func (g *Gate) Cancel(id uint64) bool {
	return g.queue.remove(id)
}

// SetLimits changes the number of slots and the maximum queue length.
func (g *Gate) SetLimits(now time.Duration, slots, queueLength int) Change {
	g.slots = slots
	g.queueLength = queueLength
	return g.fillSlots(now)
}

// Busy returns the number of requests that hold a slot.
func (g *Gate) Busy() int {
	return g.busy
}

// Slots returns the maximum number of requests that hold a slot at once.
func (g *Gate) Slots() int {
	return g.slots
}

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int {
	return g.queue.Len()
}

// ExpectedWait returns the estimated wait of a request that arrives now with a deadline later than
// those of all queued requests.
func (g *Gate) ExpectedWait() time.Duration {
	if g.hasFreeSlot() && g.queue.Len() == 0 {
		return 0
	}
	return g.expectedWait(g.queue.Len())
}

func (g *Gate) hasFreeSlot() bool {
	return g.busy < g.slots
}

// expectedWait estimates the time until a slot is free for a request that has the given number of
// requests ahead of it in the queue.
func (g *Gate) expectedWait(ahead int) time.Duration {
	return g.estimate.mean * time.Duration(ahead+1) / time.Duration(max(g.slots, 1))
}

func (g *Gate) fillSlots(now time.Duration) Change {
	var change Change
	for g.hasFreeSlot() && g.queue.Len() > 0 {
		id, deadline := g.queue.pop()
		if now+g.estimate.upperBound() > deadline {
			change.Shed = append(change.Shed, id)
			continue
		}
		g.busy++
		change.Start = append(change.Start, id)
	}
	return change
}
