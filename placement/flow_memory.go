package placement

import "time"

// flowMemory remembers the decisions for flows for a bounded time. Decisions expire in the order in
// which they were first made.
type flowMemory struct {
	lifetime  time.Duration
	decisions map[uint64]Decision
	queue     []remembered
	head      int
	used      int
}

type remembered struct {
	flow uint64
	at   time.Duration
}

func newFlowMemory(lifetime time.Duration, size int) flowMemory {
	return flowMemory{
		lifetime:  lifetime,
		decisions: map[uint64]Decision{},
		queue:     make([]remembered, max(size, 1)),
	}
}

func (m *flowMemory) get(now time.Duration, flow uint64) (Decision, bool) {
	m.expire(now)
	d, ok := m.decisions[flow]
	return d, ok
}

func (m *flowMemory) put(now time.Duration, flow uint64, d Decision) {
	if _, ok := m.decisions[flow]; ok {
		m.decisions[flow] = d
		return
	}
	if m.used == len(m.queue) {
		m.drop()
	}
	m.decisions[flow] = d
	m.queue[(m.head+m.used)%len(m.queue)] = remembered{flow: flow, at: now}
	m.used++
}

func (m *flowMemory) expire(now time.Duration) {
	for m.used > 0 && now-m.queue[m.head].at > m.lifetime {
		m.drop()
	}
}

func (m *flowMemory) drop() {
	delete(m.decisions, m.queue[m.head].flow)
	m.head = (m.head + 1) % len(m.queue)
	m.used--
}
