package flow

import (
	"math/rand"
	"slices"
	"time"
)

// BalancersConfig holds the intervals of Balancers.
type BalancersConfig struct {
	// Retention is how long after its last heartbeat a balancer is remembered. It bounds how long an outage of a
	// balancer may last after which the agents still find it.
	Retention time.Duration
	// ActiveTTL is how long after its last heartbeat a balancer is notified of changes.
	ActiveTTL time.Duration
	// MinSilence is the shortest time without a heartbeat after which a balancer counts as silent.
	MinSilence time.Duration
	// AnnounceInterval is the mean time between two announcements that a silent balancer receives from all agents
	// together.
	AnnounceInterval time.Duration
}

// DefaultBalancersConfig returns the default configuration.
func DefaultBalancersConfig() BalancersConfig {
	return BalancersConfig{Retention: time.Minute, ActiveTTL: 5 * time.Second, MinSilence: 400 * time.Millisecond, AnnounceInterval: 50 * time.Millisecond}
}

// Balancers tracks the balancers that send heartbeats to an agent. A balancer that restarts while the store is
// unavailable and all its seeds restart too knows no other process, so the agents announce themselves to it. The
// number of announcements does not depend on the size of the fleet. Balancers is not safe for concurrent use.
type Balancers struct {
	config BalancersConfig
	rnd    *rand.Rand
	known  map[IP]*balancerContact
}

// balancerContact is when a balancer sent its last heartbeat, and the time between its last two.
type balancerContact struct {
	last, interval time.Duration
}

// NewBalancers returns a Balancers that knows none.
func NewBalancers(config BalancersConfig, rnd *rand.Rand) *Balancers {
	return &Balancers{config: config, rnd: rnd, known: map[IP]*balancerContact{}}
}

// Expire forgets the balancers whose retention has ended. Call it about once a second.
func (b *Balancers) Expire(now time.Duration) {
	for ip, contact := range b.known {
		if now-contact.last > b.config.Retention {
			delete(b.known, ip)
		}
	}
}

// Heard records a heartbeat.
func (b *Balancers) Heard(now time.Duration, balancer IP) {
	contact := b.known[balancer]
	if contact == nil {
		b.known[balancer] = &balancerContact{last: now, interval: maxHeartbeatInterval}
		return
	}
	contact.last, contact.interval = now, now-contact.last
}

// Active returns the balancers that are notified of changes.
func (b *Balancers) Active(now time.Duration) []IP {
	return b.heardWithin(now, b.config.ActiveTTL)
}

func (b *Balancers) heardWithin(now, limit time.Duration) []IP {
	var list []IP
	for ip, contact := range b.known {
		if now-contact.last <= limit {
			list = append(list, ip)
		}
	}
	slices.SortFunc(list, func(a, b IP) int { return slices.Compare(a[:], b[:]) })
	return list
}

// ToAnnounce returns the silent balancers to which the agent announces itself now. elapsed is the time since the last
// call, and agents is the number of agents in the fleet.
func (b *Balancers) ToAnnounce(now, elapsed time.Duration, agents int) []IP {
	probability := float64(elapsed) / float64(b.config.AnnounceInterval) / float64(max(1, agents))
	var list []IP
	for _, ip := range b.heardWithin(now, b.config.Retention) {
		if b.silent(now, b.known[ip]) && b.rnd.Float64() < probability {
			list = append(list, ip)
		}
	}
	return list
}

// silent reports whether a balancer has missed a heartbeat. The interval of heartbeats depends on its place.
func (b *Balancers) silent(now time.Duration, contact *balancerContact) bool {
	return now-contact.last > max(b.config.MinSilence, min(contact.interval, maxHeartbeatInterval)*3/2)
}

// maxHeartbeatInterval is the longest interval between two heartbeats of a balancer that works.
const maxHeartbeatInterval = time.Second
