package registry

import (
	"net/netip"
	"time"
)

// Share is the share of a route's new flows that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight uint32
}

// Route maps an address to the services that take its new flows.
type Route struct {
	Address netip.AddrPort
	Shares  []Share
	// Repeatable is set if running a request of the route twice does no harm.
	Repeatable bool
	// Target is the latency that clients expect, and Timeout how long they wait at most; zero if it is not known.
	Target, Timeout time.Duration
	// Priority decides which routes of a service go first when there is not enough capacity for all.
	// Lower values go first, and zero is the highest priority.
	Priority int
}

// Configuration is one version of the configuration that operators publish. It is immutable.
type Configuration struct {
	Version uint64
	// Revision is the store's revision at which the configuration was written, or zero if it is not known.
	Revision Revision
	Routes   []Route
	// IdleTimeout is the time after which the state of an idle flow may be dropped.
	IdleTimeout time.Duration
	// Services holds the settings of the services by name. A service without settings may be missing.
	Services map[string]Service
}

// Service holds the settings of a service that concern servers that have just started.
type Service struct {
	// ColdStart is how long a server is cold after its start, or zero if it is not known.
	ColdStart time.Duration
	// ColdRate is the number of new flows a second that a cold server may get, or zero if there is no limit.
	ColdRate float64
}

// version returns the version, or zero if there is no configuration.
func (c *Configuration) version() uint64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// Limits of an Upstream. Entries beyond them do not come from servers.
const (
	// MaxSlots is the highest number of slots.
	MaxSlots = 1 << 16
	// MaxWarmUp is the longest remaining warm-up time.
	MaxWarmUp = 24 * time.Hour
)

// Upstream is a registered server.
type Upstream struct {
	// ID is the name under which the server registered. A restarted server may use the same ID.
	ID      string
	Service string
	// Address is where the server receives packets from the agent on the same VM.
	Address netip.AddrPort
	Place   string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining is set if the server must not get new flows.
	Draining bool
	// WarmAt is the time at which the server is expected to be warmed up.
	WarmAt time.Duration
	// Incarnation distinguishes the runs of a server. It comes from the clock of the server's VM, which
	// may step.
	Incarnation uint64
	// Sequence counts the writes of a run of the server.
	Sequence uint64
	// Created is the store's revision at which the entry was created.
	Created Revision
}

// Newer reports whether the entry of u was created after that of other. It decides between two entries
// with the same address.
func (u *Upstream) Newer(other *Upstream) bool {
	if u.Created != other.Created {
		return u.Created > other.Created
	}
	return u.Incarnation > other.Incarnation
}

// staleAfter reports whether the entry was written before the one of the same run with the given incarnation and
// sequence. A store that was restored from a copy returns such entries.
func (u *Upstream) staleAfter(incarnation, sequence uint64) bool {
	return u.Incarnation == incarnation && u.Sequence < sequence
}

// equivalent reports whether two entries have no difference that peers need. The warm-up time is
// estimated anew with each heartbeat, so small differences of it are ignored.
func (u *Upstream) equivalent(other *Upstream) bool {
	a, b := *u, *other
	a.WarmAt, b.WarmAt = 0, 0
	a.Sequence, b.Sequence = 0, 0
	return a == b && (u.WarmAt-other.WarmAt).Abs() < warmUpTolerance
}

// warmUpTolerance is the difference between two warm-up estimates below which the change is not passed
// on to peers.
const warmUpTolerance = 500 * time.Millisecond

// Snapshot is the whole state of the store at a revision.
type Snapshot struct {
	Revision Revision
	// Confirmed is a time at or after which the store held this state.
	Confirmed time.Duration
	// Configuration is nil if operators have not published one yet. FirstConfiguration is set if the store has never held
	// another one.
	Configuration      *Configuration
	FirstConfiguration bool
	Upstreams          []Upstream
	// Unreadable is set if there are entries that name no server. One may have been written over that of a live server,
	// which writes it again.
	Unreadable  bool
	Evacuations []Evacuation
}

// Changes holds the changes of the store after revision After, up to Revision.
type Changes struct {
	After, Revision Revision
	Confirmed       time.Duration
	// Configuration is the latest one, or nil if it did not change. Superseded holds those that it replaced
	// after revision After, in order.
	Configuration *Configuration
	Superseded    []*Configuration
	Upstreams     []Upstream
	// Removed holds the IDs of the servers that are no longer registered.
	Removed []string
	// Evacuations holds the latest state of the requests that were written or taken back.
	Evacuations []Evacuation
}

// Freshness describes how current the view of a process is.
type Freshness struct {
	// Revision is the store's revision of the view. Changed is the revision of the last change in it.
	Revision, Changed Revision
	// ConfigurationVersion is zero if there is no configuration. A store that was restored from a copy may have an older
	// one than the view.
	ConfigurationVersion uint64
	// Confirmed is the last time at which the store is known to have held this state.
	Confirmed time.Duration
	// ContinuousSince is the start of the current period in which the store has confirmed the view without
	// an interruption. Interrupted is set if an interruption preceded it.
	ContinuousSince time.Duration
	Interrupted     bool
	// Reader identifies the process that read the confirmation from the store.
	Reader uint64
	// RoutesKnownSince is the start of the period whose routes are all known, either in force or as former ones.
	RoutesKnownSince time.Duration
}

// MissingMeansRemoved reports whether a missing entry can be treated as removed. Shortly after an
// interruption of the store, the entry may have lapsed although its server is alive. Shortly after the
// first read, a peer may still report an interruption.
func (f Freshness) MissingMeansRemoved(c Config) bool {
	uninterrupted := f.Confirmed - f.ContinuousSince
	return uninterrupted >= c.LapsedRetention || !f.Interrupted && uninterrupted >= c.PeerGracePeriod
}

// RemovalUncertain reports whether a peer with this freshness leaves it uncertain that an entry is
// gone. read is the time at which another process first read the store without the entry. The removal
// is uncertain if the store was unavailable shortly before, or if its last confirmation to the peer was
// then older than InterruptedAfter.
func (f Freshness) RemovalUncertain(c Config, read time.Duration) bool {
	if f.Revision == 0 {
		return false
	}
	return f.Interrupted && !f.MissingMeansRemoved(c) || read-f.Confirmed > c.InterruptedAfter
}

// Content is the immutable content of a view. A changed state gets a new Content.
type Content struct {
	// Configuration is nil before the first one.
	Configuration *Configuration
	// Former holds the services that addresses directed new flows to before.
	Former []FormerShare
	// Upstreams are sorted by ID.
	Upstreams []Upstream
	// Evacuations holds the requests in force, sorted by place.
	Evacuations []Evacuation
}

// Version returns the version of the configuration, or zero if there is none yet.
func (c *Content) Version() uint64 {
	return c.Configuration.version()
}

// View is an immutable snapshot of a Registry.
type View struct {
	Freshness
	*Content
}
