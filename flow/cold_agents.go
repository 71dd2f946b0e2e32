package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// setColdRates adopts the limits on the new flows of cold servers from a configuration.
func (d *Director) setColdRates(c *registry.Configuration) {
	if c == nil {
		return
	}
	for _, a := range d.agents {
		a.coldRate = 0
		if s := d.byHash[a.service]; s != nil {
			a.coldRate = c.Services[s.name].ColdRate
		}
	}
}

// cold reports whether the server has not warmed up, according to its entry or to its agent, which learns earlier that
// the server has started anew.
func (a *agent) cold(now time.Duration) bool {
	return now < a.warmAt || a.status.coldRate > 0
}

// coldCapacity returns the capacity of a server that has the given number of slots and has not warmed up. If the limit
// on its new flows is known, it is the number of slots that so many flows a second keep busy.
func (a *agent) coldCapacity(slots float64) float64 {
	if a.coldRate > 0 && a.status.serviceTime > 0 {
		return min(slots, a.coldRate*a.status.serviceTime.Seconds())
	}
	return slots / coldFactor
}

// exhausted reports whether the cold server had no budget left for another new flow in its last status, or has none left
// after those sent since then. The budget grows at a known rate, but all balancers share what is added, so only the next
// status shows it. Older statuses than ttl say nothing.
func (a *agent) exhausted(now, ttl time.Duration) bool {
	if a.status.coldRate == 0 || a.coldRate == 0 || now-a.lastHeard > ttl {
		return false
	}
	return a.status.coldRate-a.coldRate-float64(a.sentFlows) < 1
}

// ColdChange is a change in whether a balancer considers a server cold.
type ColdChange struct {
	Agent IP
	Cold  bool
	// Rate is the limit on the new flows per second, or zero if there is none. Remaining is the time until the server
	// is expected to have warmed up, or zero if only its agent knows.
	Rate      float64
	Remaining time.Duration
}

// ColdChanges returns the servers that have become cold or warm since the last call.
func (d *Director) ColdChanges(now time.Duration) []ColdChange {
	var changes []ColdChange
	for _, a := range d.sortedAgents {
		if cold := a.present && a.cold(now); cold != a.reportedCold {
			a.reportedCold = cold
			changes = append(changes, ColdChange{Agent: a.ip, Cold: cold, Rate: a.coldRate, Remaining: max(0, a.warmAt-now)})
		}
	}
	return changes
}
