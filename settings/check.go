package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"time"
)

const (
	// MaxServiceNumber is the largest service number; a connection ID has 16 bits for it.
	MaxServiceNumber = 1<<16 - 1
	// MaxUpstreamNumber is the largest upstream number; a connection ID has 24 bits for it.
	MaxUpstreamNumber = 1<<24 - 1
	// maxNameLength limits the names of firms, places, services and upstreams, in bytes.
	maxNameLength = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

func (p *parser) checkName(path, name string) {
	if name == "" {
		p.addFinding(path, "missing")
		return
	}
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		p.addFinding(path, "name %q must be 1 to %d characters of a-z, 0-9 and hyphens, without a hyphen at either end", name, maxNameLength)
	}
}

func (p *parser) checkNumber(path string, number, maximum uint32, pathByNumber map[uint32]string) {
	if number == 0 {
		p.addFinding(path, "missing; must be 1 to %d", maximum)
		return
	}
	if number > maximum {
		p.addFinding(path, "%d is out of range; must be 1 to %d", number, maximum)
	}
	if other, ok := pathByNumber[number]; ok {
		p.addFinding(path, "%d is already used by %s", number, other)
		return
	}
	pathByNumber[number] = path
}

func (p *parser) parseAddress(path, value string) netip.AddrPort {
	if value == "" {
		p.addFinding(path, "missing; must be an IP address and port")
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		p.addFinding(path, "%q is not an IP address and port", value)
		return netip.AddrPort{}
	}
	switch {
	case address.Port() == 0:
		p.addFinding(path, "%s has no port", address)
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		p.addFinding(path, "%s is not a unicast address", address)
	}
	if other, ok := p.addresses[address]; ok {
		p.addFinding(path, "%s is already used by %s", address, other)
		return address
	}
	p.addresses[address] = path
	return address
}

func (p *parser) checkURL(path, value string) {
	if value == "" {
		p.addFinding(path, "missing; must be an http or https URL")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		p.addFinding(path, "%q is not an http or https URL", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		p.addFinding(path, "host %q is not an IP address", u.Hostname())
	}
}

// applyPolicy applies the overrides of one level to base. It reports invalid overrides and, if the
// level overrides anything, limits that are out of order in the resulting policy.
func (p *parser) applyPolicy(path string, base Policy, raw rawPolicy) Policy {
	for _, f := range policyFields {
		if reason := f.check(raw); reason != "" {
			p.addFinding(path+"."+f.name, "%s", reason)
		}
	}
	policy := applyOverrides(base, raw)
	if raw == (rawPolicy{}) {
		return policy
	}
	p.checkBelow(path, "dead_after", policy.DeadAfter, "reset_after", policy.ResetAfter)
	p.checkBelow(path, "feed_heartbeat", policy.FeedHeartbeat, "feed_timeout", policy.FeedTimeout)
	return policy
}

func (p *parser) checkBelow(path, name string, value time.Duration, otherName string, other time.Duration) {
	if value >= other {
		p.addFinding(path, "%s (%v) must be below %s (%v)", name, value, otherName, other)
	}
}
