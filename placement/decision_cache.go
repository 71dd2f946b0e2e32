package placement

import "time"

// decisionCache holds the decisions for flows for a limited time. An entry's lifetime counts from the
// first decision for its flow; replacing the decision does not extend it. A full cache evicts the
// oldest entry.
type decisionCache struct {
	lifetime  time.Duration
	decisions map[uint64]Decision
	queue     []cacheEntry
	oldest    int
	count     int
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
	if m.count == len(m.queue) {
		m.evictOldest()
	}
	m.decisions[flow] = d
	m.queue[(m.oldest+m.count)%len(m.queue)] = cacheEntry{flow: flow, at: now}
	m.count++
}

func (m *decisionCache) expire(now time.Duration) {
	for m.count > 0 && now-m.queue[m.oldest].at > m.lifetime {
		m.evictOldest()
	}
}

func (m *decisionCache) evictOldest() {
	delete(m.decisions, m.queue[m.oldest].flow)
	m.oldest = (m.oldest + 1) % len(m.queue)
	m.count--
}
