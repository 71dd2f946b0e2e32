package ticket

import (
	"container/list"
	"time"
)

type cachedAnswer[A any] struct {
	sequence    uint64
	fingerprint uint64
	answer      A
	size        int
	storedAt    time.Duration
}

// answerCache keeps answers for duplicate requests, up to a total size and a lifetime. It evicts the
// oldest first.
type answerCache[A any] struct {
	limit    int
	lifetime time.Duration
	bytes    int
	order    *list.List
	index    map[uint64]*list.Element
}

func newAnswerCache[A any](limit int, lifetime time.Duration) answerCache[A] {
	return answerCache[A]{limit: limit, lifetime: lifetime, order: list.New(), index: make(map[uint64]*list.Element)}
}

func (a *answerCache[A]) put(age time.Duration, sequence, fingerprint uint64, answer A, size int) {
	a.expire(age)
	if size > a.limit {
		return
	}
	for a.bytes+size > a.limit {
		a.remove(a.order.Front())
	}
	entry := &cachedAnswer[A]{sequence: sequence, fingerprint: fingerprint, answer: answer, size: size, storedAt: age}
	a.index[sequence] = a.order.PushBack(entry)
	a.bytes += size
}

func (a *answerCache[A]) get(age time.Duration, sequence uint64) (*cachedAnswer[A], bool) {
	a.expire(age)
	element, ok := a.index[sequence]
	if !ok {
		return nil, false
	}
	return element.Value.(*cachedAnswer[A]), true
}

func (a *answerCache[A]) expire(age time.Duration) {
	for front := a.order.Front(); front != nil; front = a.order.Front() {
		if age-front.Value.(*cachedAnswer[A]).storedAt <= a.lifetime {
			return
		}
		a.remove(front)
	}
}

func (a *answerCache[A]) remove(element *list.Element) {
	entry := a.order.Remove(element).(*cachedAnswer[A])
	delete(a.index, entry.sequence)
	a.bytes -= entry.size
}
