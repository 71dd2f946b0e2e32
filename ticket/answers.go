package ticket

import (
	"container/list"
	"time"
)

// held is one answer kept for repeats.
type held[A any] struct {
	sequence    uint64
	fingerprint uint64
	answer      A
	size        int
	at          time.Duration
}

// answers keeps answers in order of arrival and evicts the oldest first.
type answers[A any] struct {
	limit    int
	lifetime time.Duration
	bytes    int
	order    *list.List
	index    map[uint64]*list.Element
}

func newAnswers[A any](limit int, lifetime time.Duration) answers[A] {
	return answers[A]{limit: limit, lifetime: lifetime, order: list.New(), index: make(map[uint64]*list.Element)}
}

func (a *answers[A]) put(age time.Duration, sequence, fingerprint uint64, answer A, size int) {
	a.expire(age)
	if size > a.limit {
		return
	}
	for a.bytes+size > a.limit {
		a.remove(a.order.Front())
	}
	entry := &held[A]{sequence: sequence, fingerprint: fingerprint, answer: answer, size: size, at: age}
	a.index[sequence] = a.order.PushBack(entry)
	a.bytes += size
}

func (a *answers[A]) get(age time.Duration, sequence uint64) (*held[A], bool) {
	a.expire(age)
	element, ok := a.index[sequence]
	if !ok {
		return nil, false
	}
	return element.Value.(*held[A]), true
}

func (a *answers[A]) expire(age time.Duration) {
	for front := a.order.Front(); front != nil; front = a.order.Front() {
		if age-front.Value.(*held[A]).at <= a.lifetime {
			return
		}
		a.remove(front)
	}
}

func (a *answers[A]) remove(element *list.Element) {
	entry := a.order.Remove(element).(*held[A])
	delete(a.index, entry.sequence)
	a.bytes -= entry.size
}
