// Package view keeps one process's view of the world: the settings in force and its peers.
//
// It is the shell around the pure packages membership and dissemination. One goroutine owns their
// state; calls to the platform and to peers run beside it and report back over a bounded channel.
package view

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/dissemination"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
	"github.com/bramleyrack/bramleyrack/membership"
	"github.com/bramleyrack/bramleyrack/settings"
)

// Platform is the part of the platform that a view reads.
type Platform interface {
	Get(ctx context.Context, key string) (*bramleyv1.GetResponse, error)
	Watch(ctx context.Context, key string, after uint64) (*bramleyv1.GetResponse, error)
	ListVMs(ctx context.Context, place string) ([]*bramleyv1.VM, error)
}

// Peers gives clients of other processes.
type Peers interface {
	Client(ctx context.Context, addr string) (bramleyv1.DRPCPeerServiceClient, error)
}

const (
	// defaultKey is the platform's key of the tree of settings.
	defaultKey = "tree"
	// tickInterval is how often silence, hints and heartbeats are looked at.
	tickInterval = 100 * time.Millisecond
	// eventCapacity bounds the events that wait for the owner of the state.
	eventCapacity = 256
	// inlineBytes is the largest value that an announcement carries; a larger one is fetched.
	inlineBytes = 16 << 10
)

// Config holds the settings of a View.
type Config struct {
	// Identity names this run of this process. PeerAddress and Place are required; the service and
	// the server of an agent can follow by Identify.
	Identity *bramleyv1.Identity
	Platform Platform
	Peers    Peers
	// Key is the platform's key of the tree; empty means "tree".
	Key string
	// Seeds are peers to ask before the list of VMs is known, such as while the platform is down.
	Seeds []string
	// FleetSize is the number of processes that share the platform's budget, until the list of VMs
	// tells. Too low a value lets a mass restart exceed the budget; too high a one delays the start.
	FleetSize int
	// Readers is how many processes of a place watch the platform. More of them bear more failures
	// at once and cost more calls. Zero means 3.
	Readers int
	// HeartbeatInterval is the mean time between two exchanges with a peer. Zero means 600 ms.
	HeartbeatInterval time.Duration
	// ListInterval is the least time between two reads of the list of VMs. Zero means 10 s.
	ListInterval time.Duration
	// WatchTimeout bounds one watch, so that a silent connection is replaced and the age of
	// the revision stays low. Zero means 1 s.
	WatchTimeout time.Duration
	// Membership holds the time limits for peers; its zero value takes the default.
	Membership membership.Config
	// Load reports the work of this process for heartbeats; nil reports none.
	Load func() *bramleyv1.Load
	// State reports the life of this process; nil derives it from Ready.
	State func() bramleyv1.ProcessState
	// Seed starts the random source; zero takes the incarnation.
	Seed int64
	// Meter counts control bytes by purpose and delays answers that carry a value; nil does neither.
	Meter *traffic.Meter
	// Event reports what happens, as alternating keys and values; nil reports nothing.
	Event func(op string, kv ...any)
}

// inForce is the newest accepted revision. It never changes once stored.
type inForce struct {
	revision uint64
	value    []byte
	tree     *settings.Tree
	// compressed returns the value in gzip form.
	compressed func() []byte
}

// refusal is the newest revision that was not accepted.
type refusal struct {
	revision uint64
	findings []string
}

// summary is what handlers and accessors see of the owner's state.
type summary struct {
	suspect   bool
	isolated  bool
	reader    bool
	confirmed time.Time
	members   []membership.Member
}

// View is the view of one process. Its methods may be called concurrently.
type View struct {
	bramleyv1.DRPCPeerServiceUnimplementedServer

	config   Config
	start    time.Time
	identity atomic.Pointer[bramleyv1.Identity]
	current  atomic.Pointer[inForce]
	// previous is the revision in force before, for deltas to peers that still hold it.
	previous atomic.Pointer[inForce]
	refused  atomic.Pointer[refusal]
	summary  atomic.Pointer[summary]
	events   chan event
	updates  chan *settings.Tree
	relay    chan relayJob
	read     chan struct{}
	dropped  atomic.Uint64
	// leaving says that the platform's newest list names this VM as leaving.
	leaving atomic.Bool
	contact platformContact
	owner   *owner
	workers sync.WaitGroup
	done    chan struct{}
}

// Start returns a view that runs until the context ends. The caller serves it to peers.
func Start(ctx context.Context, config Config) (*View, error) {
	if config.Identity.GetPeerAddress() == "" || config.Identity.GetPlace() == "" {
		return nil, errors.New("view needs its own peer address and place")
	}
	if config.Platform == nil || config.Peers == nil {
		return nil, errors.New("view needs a platform and peers")
	}
	config = withDefaults(config)
	v := &View{
		config:  config,
		start:   time.Now(),
		events:  make(chan event, eventCapacity),
		updates: make(chan *settings.Tree, 1),
		relay:   make(chan relayJob, 16),
		read:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	v.identity.Store(config.Identity)
	v.summary.Store(&summary{suspect: true, confirmed: v.start})
	v.owner = newOwner(v, rand.New(rand.NewSource(config.Seed)))
	v.workers.Go(func() { v.runWatcher(ctx, rand.New(rand.NewSource(config.Seed+1))) })
	v.workers.Go(func() { v.runLister(ctx, rand.New(rand.NewSource(config.Seed+2))) })
	v.workers.Go(func() { v.runRelay(ctx) })
	go func() {
		defer close(v.done)
		v.owner.run(ctx)
		v.workers.Wait()
	}()
	return v, nil
}

func withDefaults(config Config) Config {
	if config.Key == "" {
		config.Key = defaultKey
	}
	if config.FleetSize == 0 {
		config.FleetSize = 100
	}
	if config.Readers == 0 {
		config.Readers = 3
	}
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = 600 * time.Millisecond
	}
	if config.ListInterval == 0 {
		config.ListInterval = 10 * time.Second
	}
	if config.WatchTimeout == 0 {
		config.WatchTimeout = time.Second
	}
	if config.Membership == (membership.Config{}) {
		config.Membership = membership.DefaultConfig()
	}
	if config.Seed == 0 {
		config.Seed = int64(config.Identity.GetIncarnation())
	}
	if config.Event == nil {
		config.Event = func(string, ...any) {}
	}
	return config
}

// Current returns the settings in force, or nil before the first revision.
func (v *View) Current() *settings.Tree {
	if c := v.current.Load(); c != nil {
		return c.tree
	}
	return nil
}

// Revision returns the revision in force, or zero.
func (v *View) Revision() uint64 {
	if c := v.current.Load(); c != nil {
		return c.revision
	}
	return 0
}

// Ready returns nil once the view is confirmed, and the reason until then.
func (v *View) Ready() error {
	s := v.summary.Load()
	switch {
	case v.current.Load() == nil:
		return errors.New("no settings in force yet")
	case s.suspect:
		return errors.New("settings in force await a confirmation by a peer or the platform")
	default:
		return nil
	}
}

// Leaving reports whether the platform lists this VM as leaving.
func (v *View) Leaving() bool {
	return v.leaving.Load()
}

// Isolated reports that most peers fell silent together, so that this process is likely cut off.
func (v *View) Isolated() bool {
	return v.summary.Load().isolated
}

// IsReader reports whether this process watches the platform for its place.
func (v *View) IsReader() bool {
	return v.summary.Load().reader
}

// Observe takes in the revision that a message of a peer carried. It is cheap when the revision is
// not above the one in force, and never blocks.
func (v *View) Observe(revision uint64, peerAddress string) {
	if revision <= v.Revision() {
		return
	}
	v.post(event{observed: &dissemination.Observation{Revision: revision, Peer: peerAddress}})
}

// Updates returns a channel that holds the newest settings after each change. A slow receiver
// misses intermediate revisions, never the last.
func (v *View) Updates() <-chan *settings.Tree {
	return v.updates
}

// Members returns the peers that this process exchanges heartbeats with.
func (v *View) Members() []membership.Member {
	return v.summary.Load().members
}

// Dropped returns how many events were dropped because the owner of the state was behind.
func (v *View) Dropped() uint64 {
	return v.dropped.Load()
}

// Done returns a channel that is closed when all goroutines of the view have ended.
func (v *View) Done() <-chan struct{} {
	return v.done
}

// now is the time that the pure packages see.
func (v *View) now() time.Duration {
	return time.Since(v.start)
}

func (v *View) post(e event) {
	select {
	case v.events <- e:
	default:
		v.dropped.Add(1)
	}
}
