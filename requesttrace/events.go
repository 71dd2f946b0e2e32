package requesttrace

import (
	"container/heap"
	"time"
)

// event is a function that is scheduled at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// events is a priority queue of events, ordered by time and then by the order in which they were scheduled. It
// implements heap.Interface.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders by time, and events at the same time by their order of scheduling.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event. Only container/heap calls it.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event. Only container/heap calls it.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// clock is the scheduler of a discrete-event simulation: it runs events in order and advances the virtual time to each.
type clock struct {
	now       time.Duration
	traceEnd  time.Duration
	queue     events
	scheduled int
}

func (c *clock) at(when time.Duration, do func()) {
	c.scheduled++
	heap.Push(&c.queue, event{at: max(when, c.now), sequence: c.scheduled, do: do})
}

func (c *clock) after(wait time.Duration, do func()) {
	c.at(c.now+wait, do)
}

// every calls do at once and then once per period, until the last request of the trace has been sent.
func (c *clock) every(period time.Duration, do func()) {
	if c.now > c.traceEnd {
		return
	}
	do()
	c.after(period, func() { c.every(period, do) })
}

func (c *clock) run() {
	for c.queue.Len() > 0 {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.do()
	}
}
