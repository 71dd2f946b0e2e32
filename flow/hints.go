package flow

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
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

// hints caches the owners of the most recently seen flows.
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
