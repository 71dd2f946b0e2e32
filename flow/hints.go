package flow

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bramleyrack/bramleyrack/registry"
)

// hint is the cached owner of a flow at a balancer.
type hint struct {
	owner   IP
	service uint64
	// created is when the owner reported the flow, and seen when its latest packet arrived.
	created, seen time.Duration
	// firstUsed is when the owner was first sent a packet of the open flow. confirmed is set once the owner has
	// been heard after that without returning the packet; until then the flow may be open at another server that
	// received a copy of the opening packet.
	firstUsed time.Duration
	confirmed bool
}

// hints caches the owners of the most recently seen flows. A hint is kept until its flow has been idle for the given time.
type hints struct {
	idle time.Duration
	lru  *simplelru.LRU[Key, *hint]
}

func newHints(size int, idle time.Duration) hints {
	// The constructor fails only for a size below one, which the configuration rules out.
	lru, err := simplelru.NewLRU[Key, *hint](size, nil)
	if err != nil {
		panic(err)
	}
	return hints{idle: idle, lru: lru}
}

// get returns the hint of a flow and marks it as recently used.
func (h *hints) get(now time.Duration, key Key) *hint {
	found, ok := h.lru.Get(key)
	if !ok || now-found.seen > h.idle {
		return nil
	}
	found.seen = now
	return found
}

func (h *hints) put(key Key, added hint) {
	h.lru.Add(key, &added)
}

func (h *hints) remove(key Key) {
	h.lru.Remove(key)
}

// expire removes the hints of flows that have been idle for too long.
func (h *hints) expire(now time.Duration) {
	for {
		key, oldest, ok := h.lru.GetOldest()
		if !ok || now-oldest.seen <= h.idle {
			return
		}
		h.lru.Remove(key)
	}
}

// idleTimeout returns how long the state of an idle flow is kept under a configuration, which may be nil. A configuration
// with a lower time-out than the given least one has no effect, since it only permits to drop the state sooner. Flows older
// than maxAge need not be kept.
func idleTimeout(c *registry.Configuration, least, maxAge time.Duration) time.Duration {
	if c == nil {
		return least
	}
	return max(least, min(c.IdleTimeout, maxAge))
}
