package admission

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// Waiter is a piece of work that waits for a slot of an upstream.
type Waiter[K comparable] struct {
	Key      K
	Priority int
	// InTime is the latest start with which the answer is still expected in time. Limit is when the work must leave the
	// backlog, and is not before InTime.
	InTime, Limit time.Duration
	// Admitted is set if the work can't be refused any more.
	Admitted bool
}

// Backlog orders the work that waits for a slot of an upstream. More urgent work goes first. Within a priority, work that
// can still be answered in time goes before work that can't, which would otherwise make all that follows late as well.
// Work in time is ordered by InTime, late work by Limit. The zero value is an empty Backlog. A Backlog is not safe for
// concurrent use.
type Backlog[K comparable] struct {
	classes [Priorities]backlogClass[K]
	count   int
}

// backlogClass holds the work of one priority, as two sorted lists.
type backlogClass[K comparable] struct {
	inTime, late []Waiter[K]
	// lateAdmitted is the number of late waiters that can't be refused.
	lateAdmitted int
}

// Add inserts a piece of work. Its key must not be in the backlog.
func (b *Backlog[K]) Add(now time.Duration, w Waiter[K]) {
	c := &b.classes[Class(w.Priority)]
	b.count++
	w.Limit = max(w.Limit, w.InTime)
	if w.InTime >= now {
		c.inTime = insertSorted(c.inTime, w, byInTime)
		return
	}
	c.addLate(w)
}

// Remove deletes the work with the given key and reports whether there was any.
func (b *Backlog[K]) Remove(key K) bool {
	hasKey := func(w Waiter[K]) bool { return w.Key == key }
	for i := range b.classes {
		c := &b.classes[i]
		if j := slices.IndexFunc(c.inTime, hasKey); j >= 0 {
			c.inTime = slices.Delete(c.inTime, j, j+1)
			b.count--
			return true
		}
		if j := slices.IndexFunc(c.late, hasKey); j >= 0 {
			if c.late[j].Admitted {
				c.lateAdmitted--
			}
			c.late = slices.Delete(c.late, j, j+1)
			b.count--
			return true
		}
	}
	return false
}

// Next returns the first work in order.
func (b *Backlog[K]) Next(now time.Duration) (Waiter[K], bool) {
	if b.count == 0 {
		return Waiter[K]{}, false
	}
	for i := range b.classes {
		c := &b.classes[i]
		c.advance(now)
		switch {
		case len(c.inTime) > 0:
			return c.inTime[0], true
		case len(c.late) > 0:
			return c.late[0], true
		}
	}
	return Waiter[K]{}, false
}

// Overdue returns the most urgent work whose limit has passed.
func (b *Backlog[K]) Overdue(now time.Duration) (Waiter[K], bool) {
	if b.count == 0 {
		return Waiter[K]{}, false
	}
	for i := range b.classes {
		c := &b.classes[i]
		c.advance(now)
		if len(c.late) > 0 && c.late[0].Limit <= now {
			return c.late[0], true
		}
	}
	return Waiter[K]{}, false
}

// Ahead returns how many waiters count as preceding new work of a priority that may still be refused. They include late
// work of the same priority that can't be refused: admitting more would let that wait until its limit.
func (b *Backlog[K]) Ahead(now time.Duration, priority int) int {
	if b.count == 0 {
		return 0
	}
	c := &b.classes[Class(priority)]
	c.advance(now)
	return countWaiters(b.classes[:Class(priority)]) + len(c.inTime) + c.lateAdmitted
}

// Before returns how many waiters are at least as urgent as a priority.
func (b *Backlog[K]) Before(priority int) int {
	return countWaiters(b.classes[:Class(priority)+1])
}

// All returns the waiters in order.
func (b *Backlog[K]) All(now time.Duration) iter.Seq[Waiter[K]] {
	return func(yield func(Waiter[K]) bool) {
		for i := range b.classes {
			c := &b.classes[i]
			c.advance(now)
			for _, list := range [][]Waiter[K]{c.inTime, c.late} {
				for _, w := range list {
					if !yield(w) {
						return
					}
				}
			}
		}
	}
}

// Len returns the number of waiters.
func (b *Backlog[K]) Len() int {
	return b.count
}

// Clone returns a copy that shares no state with the original.
func (b *Backlog[K]) Clone() Backlog[K] {
	c := *b
	for i := range c.classes {
		c.classes[i].inTime = slices.Clone(c.classes[i].inTime)
		c.classes[i].late = slices.Clone(c.classes[i].late)
	}
	return c
}

// advance moves the work that can no longer be answered in time to the late list.
func (c *backlogClass[K]) advance(now time.Duration) {
	expired := 0
	for expired < len(c.inTime) && c.inTime[expired].InTime < now {
		c.addLate(c.inTime[expired])
		expired++
	}
	c.inTime = slices.Delete(c.inTime, 0, expired)
}

func (c *backlogClass[K]) addLate(w Waiter[K]) {
	c.late = insertSorted(c.late, w, byLimit)
	if w.Admitted {
		c.lateAdmitted++
	}
}

func byInTime[K comparable](a, b Waiter[K]) int {
	return cmp.Compare(a.InTime, b.InTime)
}

func byLimit[K comparable](a, b Waiter[K]) int {
	return cmp.Compare(a.Limit, b.Limit)
}

func countWaiters[K comparable](classes []backlogClass[K]) (count int) {
	for i := range classes {
		count += len(classes[i].inTime) + len(classes[i].late)
	}
	return count
}

// insertSorted inserts a waiter after those that compare equal, so that equal ones keep the order of their arrival.
func insertSorted[K comparable](list []Waiter[K], w Waiter[K], compare func(a, b Waiter[K]) int) []Waiter[K] {
	i, _ := slices.BinarySearchFunc(list, w, func(element, target Waiter[K]) int {
		if compare(element, target) <= 0 {
			return -1
		}
		return 1
	})
	return slices.Insert(list, i, w)
}
