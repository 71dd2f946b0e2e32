package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"time"
)

const (
	// MaxServiceNumber is the largest number of a service; connection IDs carry 16 bits of it.
	MaxServiceNumber = 1<<16 - 1
	// MaxUpstreamNumber is the largest number of an upstream; connection IDs carry 24 bits of it.
	MaxUpstreamNumber = 1<<24 - 1
	// maxNameLength bounds the names of firms, places, services and upstreams.
	maxNameLength = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

func (p *parser) name(path, name string) {
	if name == "" {
		p.add(path, "missing")
		return
	}
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		p.add(path, "name %q must be 1 to %d of a-z, 0-9 and inner hyphens", name, maxNameLength)
	}
}

func (p *parser) number(path string, number, largest uint32, used map[uint32]string) {
	if number == 0 {
		p.add(path, "missing; must be 1 to %d", largest)
		return
	}
	if number > largest {
		p.add(path, "%d is out of range; must be 1 to %d", number, largest)
	}
	if other, ok := used[number]; ok {
		p.add(path, "%d is used by %s already", number, other)
		return
	}
	used[number] = path
}

func (p *parser) address(path, value string) netip.AddrPort {
	if value == "" {
		p.add(path, "missing; must be an IP number and a port")
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		p.add(path, "%q is not an IP number and a port", value)
		return netip.AddrPort{}
	}
	switch {
	case address.Port() == 0:
		p.add(path, "%s has no port", address)
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		p.add(path, "%s is not the address of one machine", address)
	}
	if other, ok := p.addresses[address]; ok {
		p.add(path, "%s is used by %s already", address, other)
		return address
	}
	p.addresses[address] = path
	return address
}

func (p *parser) url(path, value string) {
	if value == "" {
		p.add(path, "missing; must be an http or https URL")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		p.add(path, "%q is not an http or https URL", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		p.add(path, "host %q is not an IP number", u.Hostname())
	}
}

// policy applies the overrides of one level and checks them and the policy that results.
func (p *parser) policy(path string, base Policy, raw rawPolicy) Policy {
	for _, field := range fields {
		if reason := field.check(raw); reason != "" {
			p.add(path+"."+field.name, "%s", reason)
		}
	}
	policy := apply(base, raw)
	if raw == (rawPolicy{}) {
		return policy
	}
	p.ordered(path, "dead_after", policy.DeadAfter, "reset_after", policy.ResetAfter)
	p.ordered(path, "feed_heartbeat", policy.FeedHeartbeat, "feed_timeout", policy.FeedTimeout)
	return policy
}

func (p *parser) ordered(path, name string, value time.Duration, otherName string, other time.Duration) {
	if value >= other {
		p.add(path, "%s (%v) must be below %s (%v)", name, value, otherName, other)
	}
}
