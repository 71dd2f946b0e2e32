package flow

import "time"

// maxDeferral is how long a search waits at most until the balancer may ask the agents of all other services. While it waits,
// further packets of the flow are not sent to the servers that have denied it: a flow must not send several packets within
// seconds to other servers and none to its own.
const maxDeferral = 1500 * time.Millisecond

// deferSearch lets a search wait until the balancer may ask the agents of all other services.
func (d *Director) deferSearch(s *search) Decision {
	s.deferred = true
	d.searches.lru.Add(s.packet.Key, s)
	d.searches.deferred = append(d.searches.deferred, s)
	return Decision{Reason: "too many searches of all services"}
}

// resumeDeferred removes and returns the next deferred search that may ask the agents of all other services, or nil. It
// gives up those that have waited for too long.
func (d *Director) resumeDeferred(now time.Duration) *search {
	for len(d.searches.deferred) > 0 {
		s := d.searches.deferred[0]
		current, _ := d.searches.lru.Peek(s.packet.Key)
		switch {
		case current != s:
		case now-s.started > maxDeferral:
			d.searches.lru.Remove(s.packet.Key)
		case !d.wideMessages.allows(now, s.messages):
			return nil
		default:
			d.searches.deferred = d.searches.deferred[1:]
			s.deferred = false
			return s
		}
		d.searches.deferred = d.searches.deferred[1:]
	}
	return nil
}
