package flow

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// hint is what a balancer remembers of a flow. A lost hint costs a search.
type hint struct {
	owner   IP
	service uint64
	// created is when the owner reported the flow, and seen when a packet of it last came.
	created, seen time.Duration
	// used is when the owner was first given a packet of the open flow, and proved says that it was heard after
	// that and did not return the packet. Before that, the flow may be open at another server that took a copy of
	// the opening packet.
	used   time.Duration
	proved bool
}

// hints remembers the owners of the flows that were seen last.
type hints struct {
	idle time.Duration
	lru  *simplelru.LRU[Key, *hint]
}

func newHints(size int, idle time.Duration) hints {
	// The constructor fails only on a size below one, which the configuration excludes.
	lru, err := simplelru.NewLRU[Key, *hint](size, nil)
	if err != nil {
		panic(err)
	}
	return hints{idle: idle, lru: lru}
}

// get returns the hint of a flow and keeps it from being forgotten.
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

// sweep forgets the flows that have been silent for too long.
func (h *hints) sweep(now time.Duration) {
	for {
		key, oldest, ok := h.lru.GetOldest()
		if !ok || now-oldest.seen <= h.idle {
			return
		}
		h.lru.Remove(key)
	}
}
