package requesttrace

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// events orders events by time and then by order of scheduling. It implements heap.Interface.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders by time.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event, for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event, for container/heap.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// clock is the virtual time and what is scheduled in it.
type clock struct {
	now    time.Duration
	length time.Duration
	queue  events
	count  int
}

func (c *clock) at(when time.Duration, do func()) {
	c.count++
	heap.Push(&c.queue, event{at: max(when, c.now), order: c.count, do: do})
}

func (c *clock) after(wait time.Duration, do func()) {
	c.at(c.now+wait, do)
}

// every repeats do until the trace is over.
func (c *clock) every(period time.Duration, do func()) {
	if c.now > c.length {
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
