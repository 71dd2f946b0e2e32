package flow

import (
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// UnusedEntry is an entry of the view that names no server to use. Entries may come from other writers than servers.
type UnusedEntry struct {
	Upstream *registry.Upstream
	Reason   string
}

// The reasons why an entry is not used.
const (
	unnamedService  = "no route or configuration names the service"
	otherServer     = "the agent at the address serves another server"
	supersededEntry = "another entry with the address is preferred"
)

// serverMatch is what is known about whether an entry describes the server beside an agent.
type serverMatch uint8

const (
	// serverDiffers means that the agent has stated another service or port than the entry.
	serverDiffers serverMatch = iota
	// serverUnknown means that the agent has not stated which server it serves.
	serverUnknown
	// serverMatches means that the agent has stated the service and port of the entry.
	serverMatches
)

// serverOf compares an entry with the server that the agent has stated. The agent knows its server from its own settings,
// whereas anyone may write an entry.
func (a *agent) serverOf(u *registry.Upstream) serverMatch {
	switch {
	case a.status.serverPort == 0:
		return serverUnknown
	case a.status.service == ServiceHash(u.Service) && a.status.serverPort == u.Address.Port():
		return serverMatches
	}
	return serverDiffers
}

// serverAt compares an entry with the server that the agent at an address has stated.
func (d *Director) serverAt(ip IP, u *registry.Upstream) serverMatch {
	if a := d.agents[ip]; a != nil {
		return a.serverOf(u)
	}
	return serverUnknown
}

// assignAddresses returns the entry to use for each address, and the entries that are not used. An entry of a service that
// nothing names is never used. Of several entries with one address, that of the server beside the agent is used, or the
// latest one while the agent has not stated its server. An entry that contradicts a recent status of the agent is not
// used; an older status may come from before the address was given to another server.
func (d *Director) assignAddresses(now time.Duration, content *registry.Content) (used map[IP]*registry.Upstream, unused []UnusedEntry) {
	named := namedServices(content)
	used = make(map[IP]*registry.Upstream, len(content.Upstreams))
	for i := range content.Upstreams {
		u := &content.Upstreams[i]
		ip := IP(u.Address.Addr().As4())
		match := d.serverAt(ip, u)
		switch known := used[ip]; {
		case named != nil && !named[u.Service]:
			unused = append(unused, UnusedEntry{u, unnamedService})
		case match == serverDiffers && now-d.agents[ip].lastHeard <= d.config.MaxViewLag:
			unused = append(unused, UnusedEntry{u, otherServer})
		case known == nil:
			used[ip] = u
		case d.preferred(ip, u, known):
			unused = append(unused, UnusedEntry{known, supersededEntry})
			used[ip] = u
		default:
			unused = append(unused, UnusedEntry{u, supersededEntry})
		}
	}
	return used, unused
}

// preferred reports whether the first of two entries with the same address is to be used.
func (d *Director) preferred(ip IP, u, other *registry.Upstream) bool {
	if a, b := d.serverAt(ip, u), d.serverAt(ip, other); a != b {
		return a > b
	}
	return u.Newer(other)
}

// namedServices returns the services that the configuration or a former route names, or nil if there is no configuration.
func namedServices(content *registry.Content) map[string]bool {
	c := content.Configuration
	if c == nil {
		return nil
	}
	named := make(map[string]bool, len(c.Services))
	for name := range c.Services {
		named[name] = true
	}
	for i := range c.Routes {
		for _, share := range c.Routes[i].Shares {
			named[share.Service] = true
		}
	}
	for _, share := range content.Former {
		named[share.Service] = true
	}
	return named
}

// reassignDelay is the time from the status of an agent that contradicts its entry until the entries are assigned again,
// so that many such statuses cause it only once.
const reassignDelay = 50 * time.Millisecond

// reassignmentDue reports whether the entries are to be assigned again although the view has not changed.
func (d *Director) reassignmentDue(now time.Duration) bool {
	return d.reassignAt > 0 && now >= d.reassignAt
}

// UnusedEntries returns the entries of the view that are not used.
func (d *Director) UnusedEntries() []UnusedEntry {
	return d.unused
}
