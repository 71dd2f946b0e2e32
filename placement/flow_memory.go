package placement

import "time"

// decisionCache holds the decisions for flows for a limited time. An entry's lifetime counts from the
// first decision for its flow; replacing the decision does not extend it. A full cache evicts the
// oldest entry.
type decisionCache struct {
	lifetime  time.Duration
	decisions map[uint64]Decision
	queue     []cacheEntry
	head      int
	used      int
}

type cacheEntry struct {
	flow uint64
	at   time.Duration
}

func newDecisionCache(lifetime time.Duration, size int) decisionCache {
	return decisionCache{
		lifetime:  lifetime,
		decisions: map[uint64]Decision{},
		queue:     make([]cacheEntry, max(size, 1)),
	}
}

func (m *decisionCache) get(now time.Duration, flow uint64) (Decision, bool) {
	m.expire(now)
	d, ok := m.decisions[flow]
	return d, ok
}

func (m *decisionCache) put(now time.Duration, flow uint64, d Decision) {
	if _, ok := m.decisions[flow]; ok {
		m.decisions[flow] = d
		return
	}
	if m.used == len(m.queue) {
		m.drop()
	}
	m.decisions[flow] = d
	m.queue[(m.head+m.used)%len(m.queue)] = cacheEntry{flow: flow, at: now}
	m.used++
}

func (m *decisionCache) expire(now time.Duration) {
	for m.used > 0 && now-m.queue[m.head].at > m.lifetime {
		m.drop()
	}
}

func (m *decisionCache) drop() {
	delete(m.decisions, m.queue[m.head].flow)
	m.head = (m.head + 1) % len(m.queue)
	m.used--
}
