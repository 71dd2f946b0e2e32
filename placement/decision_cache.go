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

func (c *decisionCache) get(now time.Duration, flow uint64) (Decision, bool) {
	c.expire(now)
	d, ok := c.decisions[flow]
	return d, ok
}

func (c *decisionCache) put(now time.Duration, flow uint64, d Decision) {
	if _, ok := c.decisions[flow]; ok {
		c.decisions[flow] = d
		return
	}
	if c.count == len(c.queue) {
		c.evictOldest()
	}
	c.decisions[flow] = d
	c.queue[(c.oldest+c.count)%len(c.queue)] = cacheEntry{flow: flow, at: now}
	c.count++
}

func (c *decisionCache) expire(now time.Duration) {
	for c.count > 0 && now-c.queue[c.oldest].at > c.lifetime {
		c.evictOldest()
	}
}

func (c *decisionCache) evictOldest() {
	delete(c.decisions, c.queue[c.oldest].flow)
	c.oldest = (c.oldest + 1) % len(c.queue)
	c.count--
}
