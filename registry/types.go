package registry

import (
	"net/netip"
	"time"
)

// Share is the part of the new flows of a route that one service takes.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight uint32
}

// Route says which services take the new flows to an address.
type Route struct {
	Address netip.AddrPort
	Shares  []Share
	// Repeatable says that the requests of the route do no harm when they run twice.
	Repeatable bool
	// Target is the time in which clients want an answer; zero if it is not known.
	Target time.Duration
	// Priority orders the routes of a service when there is no room for all; zero goes first.
	Priority int
}

// Configuration is one version of what operators publish. It never changes.
type Configuration struct {
	Version uint64
	Routes  []Route
	// IdleTimeout is the time after which a silent flow may be forgotten.
	IdleTimeout time.Duration
}

// Upstream is a registered server.
type Upstream struct {
	// ID is the name under which the server registered. A server may start again under the same one.
	ID      string
	Service string
	// Address is where the server receives packets from the agent on the same VM.
	Address netip.AddrPort
	Place   string
	// Slots is how many requests the server runs at once.
	Slots int
	// Draining says that the server must get no new flow.
	Draining bool
	// WarmAt is when the server is expected to have warmed up.
	WarmAt time.Duration
	// Incarnation tells the runs of a server apart. It comes from the clock of the server's VM, which may step.
	Incarnation uint64
	// Created is the store's revision at which the entry came into being.
	Created uint64
}

// Newer reports whether an entry came into being after another one, as when an address is used again.
func (u *Upstream) Newer(other *Upstream) bool {
	if u.Created != other.Created {
		return u.Created > other.Created
	}
	return u.Incarnation > other.Incarnation
}

// same reports whether two entries differ in nothing that needs to be passed on. The time at which a server
// has warmed up is estimated anew with each heartbeat, so small differences do not count.
func (u *Upstream) same(other *Upstream) bool {
	a, b := *u, *other
	a.WarmAt, b.WarmAt = 0, 0
	return a == b && (u.WarmAt-other.WarmAt).Abs() < warmTolerance
}

// warmTolerance is the difference between two estimates of the warm-up that is not passed on.
const warmTolerance = 500 * time.Millisecond

// Snapshot is the whole state of the store at a revision.
type Snapshot struct {
	Revision uint64
	// Confirmed is a time at or after which the store held this state.
	Confirmed time.Duration
	// Configuration is nil before operators have published one.
	Configuration *Configuration
	Upstreams     []Upstream
}

// Changes is what happened in the store between two revisions.
type Changes struct {
	After, Revision uint64
	Confirmed       time.Duration
	// Configuration is nil if it did not change.
	Configuration *Configuration
	Upstreams     []Upstream
	// Removed names the servers that are registered no more.
	Removed []string
}

// Freshness is what a process says of the age of its view.
type Freshness struct {
	// Revision is the store's revision that the view shows, and Changed that of the last change in it.
	Revision, Changed uint64
	// Confirmed is the last time at which the store is known to have held this state.
	Confirmed time.Duration
	// Continuous is the time since which the store has confirmed the view without an interruption, and
	// Interrupted says that one came before that.
	Continuous  time.Duration
	Interrupted bool
	// Reader identifies the process that asked the store.
	Reader uint64
}

// Settled reports whether an entry that the view lacks is gone. Shortly after an interruption of the store it may
// have lapsed although its server lives; shortly after the first read a peer may still tell of an interruption.
func (f Freshness) Settled(c Config) bool {
	steady := f.Confirmed - f.Continuous
	return steady >= c.LapsedRetention || !f.Interrupted && steady >= c.PeerGracePeriod
}

// RemovalUncertain reports whether a peer of this freshness leaves it open that an entry is gone which the store lacked when
// another process first read it: the store was away shortly before, or the peer had lost it.
func (f Freshness) RemovalUncertain(c Config, read time.Duration) bool {
	if f.Revision == 0 {
		return false
	}
	return f.Interrupted && !f.Settled(c) || read-f.Confirmed > c.InterruptedAfter
}

// Content is what a view shows. It never changes; another state has another Content.
type Content struct {
	// Configuration is nil before the first one.
	Configuration *Configuration
	// Upstreams are sorted by ID.
	Upstreams []Upstream
}

// Version returns the version of the configuration, zero before the first.
func (c *Content) Version() uint64 {
	if c.Configuration == nil {
		return 0
	}
	return c.Configuration.Version
}

// View is an immutable picture of a Registry.
type View struct {
	Freshness
	*Content
}
