// Package view maintains one process's copy of the published settings tree and tracks its peers.
//
// It drives the packages membership and dissemination, which do no I/O. One event loop owns their
// state. Calls to the platform and to peers run in their own goroutines and deliver their results
// over a bounded channel.
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

// Platform is the part of the platform's API that a view reads.
type Platform interface {
	Get(ctx context.Context, key string) (*bramleyv1.GetResponse, error)
	Watch(ctx context.Context, key string, after uint64) (*bramleyv1.GetResponse, error)
	ListVMs(ctx context.Context, place string) ([]*bramleyv1.VM, error)
}

// Peers returns clients for other processes.
type Peers interface {
	Client(ctx context.Context, addr string) (bramleyv1.DRPCPeerServiceClient, error)
}

const (
	// defaultKey is the platform key under which the settings tree is published.
	defaultKey = "tree"
	// tickInterval is how often the event loop checks timeouts, pending repairs and due heartbeats.
	tickInterval   = 100 * time.Millisecond
	eventQueueSize = 256
	// maxInlineBytes is the largest compressed value or delta that an announcement carries. Children
	// fetch larger values.
	maxInlineBytes = 16 << 10
)

// Config configures a View.
type Config struct {
	// Identity identifies this run of this process. PeerAddress and Place are required. The service
	// and server of an agent may be set later by Identify.
	Identity *bramleyv1.Identity
	Platform Platform
	Peers    Peers
	// Key is the platform key of the settings tree. Empty means "tree".
	Key string
	// Seeds are peers to contact before the list of VMs is known, such as during a platform outage.
	Seeds []string
	// FleetSize is the number of processes that share the platform's call budget, until the list of VMs
	// is known. If it is too low, a mass restart can exceed the budget. If it is too high, startup
	// is delayed.
	FleetSize int
	// Readers is the number of processes of a place that watch the platform. More readers tolerate
	// more simultaneous failures and cost more calls. Zero means 3.
	Readers int
	// HeartbeatInterval is the mean time between two heartbeats with a peer. Zero means 600 ms.
	HeartbeatInterval time.Duration
	// ListInterval is the minimum time between two reads of the list of VMs. Zero means 10 s.
	ListInterval time.Duration
	// WatchTimeout limits one watch. It bounds how long a dead connection stays in use and how old
	// the confirmation of the revision becomes. Zero means 1 s.
	WatchTimeout time.Duration
	// Membership holds the failure detection timeouts. Its zero value means the defaults.
	Membership membership.Config
	// Load returns the load of this process for heartbeats. If it is nil, heartbeats carry no load.
	Load func() *bramleyv1.Load
	// State returns the lifecycle state of this process. If it is nil, the state is derived from
	// whether the view is ready.
	State func() bramleyv1.ProcessState
	// RandomSeed seeds the random number generators. Zero means the incarnation.
	RandomSeed int64
	// Meter counts control traffic in bytes by purpose and limits the rate of answers that carry a
	// value. Nil disables both.
	Meter *traffic.Meter
	// Event logs an event with alternating keys and values. Nil disables logging.
	Event func(op string, kv ...any)
}

// appliedRevision is an accepted revision of the settings tree. It is immutable once stored.
type appliedRevision struct {
	revision uint64
	// value is the published YAML document, and tree its parsed form.
	value []byte
	tree  *settings.Tree
	// compressed returns the gzip-compressed value. It compresses on the first call.
	compressed func() []byte
}

// refusedRevision is the newest revision that failed validation.
type refusedRevision struct {
	revision uint64
	findings []string
}

// summary is the part of the event loop's state that handlers and accessors read.
type summary struct {
	unconfirmed bool
	isolated    bool
	reader      bool
	confirmedAt time.Time
	members     []membership.Member
}

// View maintains the settings tree and peers of one process. Its methods are safe for concurrent use.
type View struct {
	bramleyv1.DRPCPeerServiceUnimplementedServer

	config   Config
	start    time.Time
	identity atomic.Pointer[bramleyv1.Identity]
	current  atomic.Pointer[appliedRevision]
	// previous is the revision that current replaced. It is the base of deltas for peers that still
	// hold it.
	previous   atomic.Pointer[appliedRevision]
	refused    atomic.Pointer[refusedRevision]
	summary    atomic.Pointer[summary]
	events     chan event
	updates    chan *settings.Tree
	relayJobs  chan relayJob
	readerWake chan struct{}
	dropped    atomic.Uint64
	// leaving is set while the platform's newest list marks this VM as leaving.
	leaving         atomic.Bool
	platformContact lastContact
	loop            *loop
	workers         sync.WaitGroup
	done            chan struct{}
}

// Start returns a view that runs until ctx ends. The caller registers the view as a service for
// peers.
func Start(ctx context.Context, config Config) (*View, error) {
	if config.Identity.GetPeerAddress() == "" || config.Identity.GetPlace() == "" {
		return nil, errors.New("view config: identity needs a peer address and a place")
	}
	if config.Platform == nil || config.Peers == nil {
		return nil, errors.New("view config: platform and peers are required")
	}
	config = withDefaults(config)
	v := &View{
		config:     config,
		start:      time.Now(),
		events:     make(chan event, eventQueueSize),
		updates:    make(chan *settings.Tree, 1),
		relayJobs:  make(chan relayJob, 16),
		readerWake: make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	v.identity.Store(config.Identity)
	v.summary.Store(&summary{unconfirmed: true, confirmedAt: v.start})
	v.loop = newLoop(v, rand.New(rand.NewSource(config.RandomSeed)))
	v.workers.Go(func() { v.runWatcher(ctx, rand.New(rand.NewSource(config.RandomSeed+1))) })
	v.workers.Go(func() { v.runLister(ctx, rand.New(rand.NewSource(config.RandomSeed+2))) })
	v.workers.Go(func() { v.runRelay(ctx) })
	go func() {
		defer close(v.done)
		v.loop.run(ctx)
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
	if config.RandomSeed == 0 {
		config.RandomSeed = int64(config.Identity.GetIncarnation())
	}
	if config.Event == nil {
		config.Event = func(string, ...any) {}
	}
	return config
}

// Current returns the current settings tree, or nil before the first revision is applied.
func (v *View) Current() *settings.Tree {
	if c := v.current.Load(); c != nil {
		return c.tree
	}
	return nil
}

// Revision returns the current revision, or zero before the first one is applied.
func (v *View) Revision() uint64 {
	if c := v.current.Load(); c != nil {
		return c.revision
	}
	return 0
}

// Ready returns nil once a peer or the platform has confirmed the current settings tree. Until then,
// the error states the reason.
func (v *View) Ready() error {
	s := v.summary.Load()
	switch {
	case v.current.Load() == nil:
		return errors.New("no valid settings tree received yet")
	case s.unconfirmed:
		return errors.New("current settings tree is not yet confirmed by a peer or the platform")
	default:
		return nil
	}
}

// Leaving reports whether the platform's list marks this VM as leaving.
func (v *View) Leaving() bool {
	return v.leaving.Load()
}

// Isolated reports whether most peers fell silent together, which means that this process has
// probably lost its own network connection.
func (v *View) Isolated() bool {
	return v.summary.Load().isolated
}

// IsReader reports whether this process watches the platform on behalf of its place.
func (v *View) IsReader() bool {
	return v.summary.Load().reader
}

// Observe records the revision that a message of a peer carried. It never blocks, and is cheap if
// the revision is not newer than the current one.
func (v *View) Observe(revision uint64, peerAddress string) {
	if revision <= v.Revision() {
		return
	}
	v.post(event{observation: &dissemination.Observation{Revision: revision, Peer: peerAddress}})
}

// Updates returns a channel that receives the newest settings tree after each change. A slow receiver
// may miss intermediate revisions but always gets the last one.
func (v *View) Updates() <-chan *settings.Tree {
	return v.updates
}

// Members returns the peers with which this process exchanges heartbeats.
func (v *View) Members() []membership.Member {
	return v.summary.Load().members
}

// Dropped returns the number of events and relay jobs that were dropped because a queue was full.
func (v *View) Dropped() uint64 {
	return v.dropped.Load()
}

// Done returns a channel that is closed after all goroutines of the view have ended.
func (v *View) Done() <-chan struct{} {
	return v.done
}

// now returns the time since the start of the view, the clock of membership and dissemination.
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
