package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// FormerShare is a service that an address directed new flows to under an earlier configuration. Flows that are
// still open stay with that service.
type FormerShare struct {
	Address netip.AddrPort
	Service string
	// Until is when the configuration that ended the share was first confirmed.
	Until time.Duration
}

// directedTo identifies the share of a service in the new flows to an address.
type directedTo struct {
	address netip.AddrPort
	service string
}

// routeHistory remembers the shares of earlier configurations. Its size is bounded by the changes of routes within
// Config.RouteRetention.
type routeHistory struct {
	former map[directedTo]time.Duration
	// since is the start of the period whose routes are all known, either in force or as former ones.
	since time.Duration
}

func newRouteHistory() routeHistory {
	return routeHistory{former: map[directedTo]time.Duration{}}
}

// record notes that a share ended at the given time, unless it is in force.
func (h *routeHistory) record(s directedTo, until time.Duration, inForce map[directedTo]bool) (added bool) {
	known, ok := h.former[s]
	if inForce[s] || ok && known >= until {
		return false
	}
	h.former[s] = until
	return true
}

// replace notes that a configuration replaced another one at the given time.
func (h *routeHistory) replace(previous, next *Configuration, at time.Duration) {
	inForce := next.shares()
	for s := range previous.shares() {
		h.record(s, at, inForce)
	}
	for s := range inForce {
		delete(h.former, s)
	}
}

// expire removes the shares that ended before the given time and reports whether there were any.
func (h *routeHistory) expire(before time.Duration) (expired bool) {
	for s, until := range h.former {
		if until < before {
			delete(h.former, s)
			expired = true
		}
	}
	return expired
}

// list returns the former shares, sorted.
func (h *routeHistory) list() []FormerShare {
	var list []FormerShare
	for s, until := range h.former {
		list = append(list, FormerShare{Address: s.address, Service: s.service, Until: until})
	}
	slices.SortFunc(list, func(a, b FormerShare) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Service, b.Service))
	})
	return list
}

// shares returns the services that new flows are directed to, by address.
func (c *Configuration) shares() map[directedTo]bool {
	shares := map[directedTo]bool{}
	if c == nil {
		return shares
	}
	for i := range c.Routes {
		for _, share := range c.Routes[i].Shares {
			if share.Weight > 0 {
				shares[directedTo{c.Routes[i].Address, share.Service}] = true
			}
		}
	}
	return shares
}

// LacksHistoryOf reports whether a peer with the given freshness knows the routes of a longer period, which this
// registry needs because its own is shorter than RouteRetention.
func (r *Registry) LacksHistoryOf(f Freshness) bool {
	own := r.Freshness()
	return r.configuration != nil && f.Revision > 0 &&
		own.Confirmed-own.RoutesKnownSince < r.config.RouteRetention &&
		f.RoutesKnownSince+minHistoryGain < own.RoutesKnownSince && f.Confirmed >= own.RoutesKnownSince
}

// minHistoryGain is the difference between two periods below which fetching the longer one is not worthwhile.
const minHistoryGain = time.Second

// mergeHistory adds the former shares of a peer's delta. It must be called before the delta's confirmation and after
// its configuration were adopted.
func (r *Registry) mergeHistory(d Delta, hadConfiguration bool) {
	if d.Configuration == nil {
		// Only a delta with the configuration holds the former shares.
		return
	}
	inForce := r.configuration.shares()
	changed := false
	for _, s := range d.Former {
		changed = r.history.record(directedTo{s.Address, s.Service}, s.Until, inForce) || changed
	}
	for s := range d.Configuration.shares() {
		changed = r.history.record(s, d.Confirmed, inForce) || changed
	}
	own, peer := r.history.since, d.RoutesKnownSince
	switch {
	case !hadConfiguration:
		r.history.since = peer
	case peer <= r.freshness.Confirmed && own <= d.Confirmed:
		r.history.since = min(own, peer)
	case d.Confirmed > r.freshness.Confirmed:
		r.history.since = peer
	}
	if changed {
		r.content = nil
	}
}
