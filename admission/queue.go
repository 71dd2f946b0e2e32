package admission

import (
	"container/heap"
	"time"
)

type waiter struct {
	id       uint64
	deadline time.Duration
	index    int
}

// queue is a heap of waiters for container/heap, ordered by deadline and then by ID.
type queue struct {
	waiters []*waiter
	byID    map[uint64]*waiter
}

func newQueue() queue {
	return queue{byID: make(map[uint64]*waiter)}
}

func (q *queue) push(id uint64, deadline time.Duration) {
	w := &waiter{id: id, deadline: deadline}
	q.byID[id] = w
	heap.Push(q, w)
}

func (q *queue) pop() (id uint64, deadline time.Duration) {
	w := heap.Pop(q).(*waiter)
	delete(q.byID, w.id)
	return w.id, w.deadline
}

func (q *queue) remove(id uint64) bool {
	w, ok := q.byID[id]
	if !ok {
		return false
	}
	delete(q.byID, id)
	heap.Remove(q, w.index)
	return true
}

// ahead returns the number of waiters that go before a new request with the given deadline.
func (q *queue) ahead(deadline time.Duration) int {
	count := 0
	for _, w := range q.waiters {
		if w.deadline <= deadline {
			count++
		}
	}
	return count
}

func (q *queue) Len() int {
	return len(q.waiters)
}

func (q *queue) Less(i, j int) bool {
	a, b := q.waiters[i], q.waiters[j]
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.id < b.id
}

func (q *queue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].index = i
	q.waiters[j].index = j
}

// Push appends a waiter. It is called by container/heap only.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.waiters)
	q.waiters = append(q.waiters, w)
}

// Pop removes the last waiter. It is called by container/heap only.
func (q *queue) Pop() any {
	last := len(q.waiters) - 1
	w := q.waiters[last]
	q.waiters[last] = nil
	q.waiters = q.waiters[:last]
	return w
}
