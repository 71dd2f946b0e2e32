package placement

import (
	"math/rand"
	"net/netip"
	"slices"
	"time"
)

// ReplyPathConfig configures how an agent chooses the balancer that a reply goes through.
type ReplyPathConfig struct {
	// FreshFor is how long a balancer is preferred over the others after it was last heard from. Shorter
	// values leave fewer balancers to alternate among; longer ones keep using a dead one for longer.
	FreshFor time.Duration
	// ProbeAfter is the silence after which a balancer in use is probed. Shorter values cost more
	// control traffic.
	ProbeAfter time.Duration
	// ProbeInterval is the time between two probes of one balancer, before any backoff.
	ProbeInterval time.Duration
	// SilentAfter is the time without an answer to a probe after which a balancer is avoided. It must
	// exceed the round-trip time including its usual jitter.
	SilentAfter time.Duration
	// ForgetAfter is the silence after which a balancer in use is removed.
	ForgetAfter time.Duration
	// MaxBalancers bounds the number of tracked balancers. Those heard from last are kept.
	MaxBalancers int
}

// DefaultReplyPathConfig returns a configuration for balancers a few milliseconds away.
func DefaultReplyPathConfig() ReplyPathConfig {
	return ReplyPathConfig{
		FreshFor:      500 * time.Millisecond,
		ProbeAfter:    100 * time.Millisecond,
		ProbeInterval: 100 * time.Millisecond,
		SilentAfter:   200 * time.Millisecond,
		ForgetAfter:   30 * time.Second,
		MaxBalancers:  16,
	}
}

// ReplyPath chooses the balancer that carries a reply. It is not safe for concurrent use.
type ReplyPath struct {
	config    ReplyPathConfig
	balancers []balancerState
	// picks is the buffer in which Pick collects the indexes of the balancers to choose from.
	picks []int
}

type balancerState struct {
	address   netip.AddrPort
	lastHeard time.Duration
	// used is set once a reply went through the balancer since it was last heard from.
	used bool
	// firstProbe is the time of the first probe since the balancer was last heard from.
	firstProbe time.Duration
	probes     int
	nextProbe  time.Duration
}

// NewReplyPath returns a ReplyPath that knows no balancer yet.
func NewReplyPath(config ReplyPathConfig) *ReplyPath {
	return &ReplyPath{config: config}
}

// RecordDatagram records that a datagram of any kind arrived from a balancer.
func (p *ReplyPath) RecordDatagram(now time.Duration, balancer netip.AddrPort) {
	for i := range p.balancers {
		if p.balancers[i].address == balancer {
			p.balancers[i] = balancerState{address: balancer, lastHeard: now}
			return
		}
	}
	entry := balancerState{address: balancer, lastHeard: now}
	if len(p.balancers) < p.config.MaxBalancers {
		p.balancers = append(p.balancers, entry)
		return
	}
	p.balancers[p.leastRecent()] = entry
}

func (p *ReplyPath) leastRecent() int {
	oldest := 0
	for i := range p.balancers {
		if p.balancers[i].lastHeard < p.balancers[oldest].lastHeard {
			oldest = i
		}
	}
	return oldest
}

// Pick returns the balancer for the next reply, or false if none was ever heard from. It picks at
// random among the balancers heard from within FreshFor, then among those not known to be silent, and
// otherwise falls back to the one heard from last.
func (p *ReplyPath) Pick(now time.Duration, rnd *rand.Rand) (netip.AddrPort, bool) {
	if len(p.balancers) == 0 {
		return netip.AddrPort{}, false
	}
	p.picks = p.picks[:0]
	for i := range p.balancers {
		b := &p.balancers[i]
		if now-b.lastHeard <= p.config.FreshFor && !p.silent(now, b) {
			p.picks = append(p.picks, i)
		}
	}
	if len(p.picks) == 0 {
		p.pickStale(now)
	}
	picked := &p.balancers[p.picks[rnd.Intn(len(p.picks))]]
	picked.used = true
	return picked.address, true
}

// pickStale selects every balancer that is not known to be silent, or else the one heard from last.
func (p *ReplyPath) pickStale(now time.Duration) {
	latest := 0
	for i := range p.balancers {
		b := &p.balancers[i]
		if !p.silent(now, b) {
			p.picks = append(p.picks, i)
		}
		if b.lastHeard > p.balancers[latest].lastHeard {
			latest = i
		}
	}
	if len(p.picks) == 0 {
		p.picks = append(p.picks, latest)
	}
}

func (p *ReplyPath) silent(now time.Duration, b *balancerState) bool {
	return b.probes > 1 && now-b.firstProbe >= p.config.SilentAfter
}

// Probes returns the balancers to probe now: those that carried replies and have been silent since.
// It removes balancers that stay silent, except the one heard from last.
func (p *ReplyPath) Probes(now time.Duration) []netip.AddrPort {
	latest := time.Duration(0)
	for i := range p.balancers {
		latest = max(latest, p.balancers[i].lastHeard)
	}
	p.balancers = slices.DeleteFunc(p.balancers, func(b balancerState) bool {
		return b.used && now-b.lastHeard > p.config.ForgetAfter && b.lastHeard < latest
	})
	var probes []netip.AddrPort
	for i := range p.balancers {
		b := &p.balancers[i]
		if !b.used || now-b.lastHeard < p.config.ProbeAfter || now < b.nextProbe {
			continue
		}
		if b.probes == 0 {
			b.firstProbe = now
		}
		b.probes++
		b.nextProbe = now + p.probeDelay(b.probes)
		probes = append(probes, b.address)
	}
	return probes
}

// maxBackoffShift bounds how often the time between probes of a silent balancer is doubled.
const maxBackoffShift = 5

// probeDelay returns the time until the next probe of a balancer. It backs off exponentially after
// probesBeforeBackoff probes, by which time the balancer counts as silent.
func (p *ReplyPath) probeDelay(probes int) time.Duration {
	const probesBeforeBackoff = 4
	backoff := min(max(probes-probesBeforeBackoff, 0), maxBackoffShift)
	return p.config.ProbeInterval << backoff
}
