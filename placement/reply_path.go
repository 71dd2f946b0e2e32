package placement

import (
	"math/rand"
	"net/netip"
	"slices"
	"time"
)

// ReplyPathConfig tunes the choice of the balancer that an agent replies through.
type ReplyPathConfig struct {
	// FreshFor is the age up to which a balancer is preferred over those heard earlier. Short values
	// leave fewer balancers to alternate among; long ones use a dead balancer for longer.
	FreshFor time.Duration
	// ProbeAfter is the silence of a balancer in use after which it is probed. Short values cost
	// more control traffic.
	ProbeAfter time.Duration
	// ProbeInterval is the time between two probes of one balancer.
	ProbeInterval time.Duration
	// SilentAfter is the time without an answer to a probe after which a balancer is not picked.
	// It must exceed the round-trip time with its usual jitter.
	SilentAfter time.Duration
	// ForgetAfter is the silence after which a balancer is not probed any more.
	ForgetAfter time.Duration
	// MaxBalancers bounds the balancers remembered; the ones heard last are kept.
	MaxBalancers int
}

// DefaultReplyPathConfig returns the configuration for balancers a few milliseconds away.
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

// ReplyPath picks the balancer that carries a reply. It is not safe for concurrent use.
type ReplyPath struct {
	config    ReplyPathConfig
	balancers []replyBalancer
	picks     []int
}

type replyBalancer struct {
	address netip.AddrPort
	heard   time.Duration
	// used says that a reply went through the balancer since it was last heard.
	used bool
	// probed is the time of the first probe since the balancer was last heard.
	probed time.Duration
	probes int
	// next is the earliest time of the next probe.
	next time.Duration
}

// NewReplyPath returns a ReplyPath that has heard from no balancer.
func NewReplyPath(config ReplyPathConfig) *ReplyPath {
	return &ReplyPath{config: config}
}

// Heard records a datagram of any kind from a balancer.
func (p *ReplyPath) Heard(now time.Duration, balancer netip.AddrPort) {
	for i := range p.balancers {
		if p.balancers[i].address == balancer {
			p.balancers[i] = replyBalancer{address: balancer, heard: now}
			return
		}
	}
	entry := replyBalancer{address: balancer, heard: now}
	if len(p.balancers) < p.config.MaxBalancers {
		p.balancers = append(p.balancers, entry)
		return
	}
	p.balancers[p.oldest()] = entry
}

func (p *ReplyPath) oldest() int {
	oldest := 0
	for i := range p.balancers {
		if p.balancers[i].heard < p.balancers[oldest].heard {
			oldest = i
		}
	}
	return oldest
}

// Pick returns the balancer for the next reply, and false if none was ever heard. It alternates at
// random among those heard lately, then among those that are not known to be silent, and falls
// back on the one heard last.
func (p *ReplyPath) Pick(now time.Duration, rnd *rand.Rand) (netip.AddrPort, bool) {
	if len(p.balancers) == 0 {
		return netip.AddrPort{}, false
	}
	p.picks = p.picks[:0]
	for i := range p.balancers {
		b := &p.balancers[i]
		if now-b.heard <= p.config.FreshFor && !p.silent(now, b) {
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

// pickStale offers every balancer that is not known to be silent, or else the one heard last.
func (p *ReplyPath) pickStale(now time.Duration) {
	latest := 0
	for i := range p.balancers {
		b := &p.balancers[i]
		if !p.silent(now, b) {
			p.picks = append(p.picks, i)
		}
		if b.heard > p.balancers[latest].heard {
			latest = i
		}
	}
	if len(p.picks) == 0 {
		p.picks = append(p.picks, latest)
	}
}

func (p *ReplyPath) silent(now time.Duration, b *replyBalancer) bool {
	return b.probes > 1 && now-b.probed >= p.config.SilentAfter
}

// Probes returns the balancers to ping now: those that replies went through and that have been
// silent since. It forgets balancers that stay silent.
func (p *ReplyPath) Probes(now time.Duration) []netip.AddrPort {
	latest := time.Duration(0)
	for i := range p.balancers {
		latest = max(latest, p.balancers[i].heard)
	}
	p.balancers = slices.DeleteFunc(p.balancers, func(b replyBalancer) bool {
		return b.used && now-b.heard > p.config.ForgetAfter && b.heard < latest
	})
	var probes []netip.AddrPort
	for i := range p.balancers {
		b := &p.balancers[i]
		if !b.used || now-b.heard < p.config.ProbeAfter || now < b.next {
			continue
		}
		if b.probes == 0 {
			b.probed = now
		}
		b.probes++
		b.next = now + p.probeDelay(b.probes)
		probes = append(probes, b.address)
	}
	return probes
}

// maxProbeBackoff bounds the growth of the time between probes of a silent balancer.
const maxProbeBackoff = 5

// probeDelay doubles the time between probes once a balancer counts as silent.
func (p *ReplyPath) probeDelay(probes int) time.Duration {
	const steady = 4
	backoff := min(max(probes-steady, 0), maxProbeBackoff)
	return p.config.ProbeInterval << backoff
}
