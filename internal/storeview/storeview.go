// Package storeview maintains one process's view of the store, where operators and upstreams publish routes
// and registrations. Normally one process, the reader, reads the store on behalf of all, and the others fetch
// the changes from peers over ViewService. Package view does the same for the settings tree of the platform,
// over PeerService.
package storeview

import (
	"context"
	"math/rand"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramleyrack/bramleyrack/dissemination"
	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/registry"
)

// Errors of a Source.
const (
	// ErrHistoryLost means that the store has discarded the changes since the given revision, or was restored from a
	// copy since.
	ErrHistoryLost = errors.ConstError("store has discarded the changes since the requested revision")
	// ErrRestored means that the store was restored from a copy during a read of the whole state.
	ErrRestored = errors.ConstError("store was restored from a copy during the read")
)

// Source reads the store. The caller sets the time of confirmation in its results, since it knows when it
// sent the request.
type Source interface {
	// ReadAll returns the whole state.
	ReadAll(ctx context.Context) (registry.Snapshot, error)
	// Watch returns the changes after a revision, as soon as there are any or after the wait.
	Watch(ctx context.Context, after registry.Revision, wait time.Duration) (registry.Changes, error)
}

// Config configures a View.
type Config struct {
	Source Source
	Clock  *clock.Clock
	// ProcessID identifies this process among the readers of the store.
	ProcessID uint64
	// Fetch fetches the changes after a revision from the peer at an address.
	Fetch func(ctx context.Context, peer netip.AddrPort, revision registry.Revision) (registry.Delta, error)
	// Seeds returns the peers to fetch from before any other peer is known. IsSeed is set if this process is one of
	// those that others ask.
	Seeds  func() []netip.AddrPort
	IsSeed bool
	// FirstStart is set if all processes start for the first time. A process that is not a seed then leaves the first
	// read of the store to the seeds for bootstrapWait.
	FirstStart bool
	Pacer      dissemination.PacerConfig
	// Registry holds the retention limits of the registry.
	Registry registry.Config
	Rand     *rand.Rand
	// Event logs an event with alternating keys and values.
	Event func(op string, kv ...any)
	// Failure logs a failed operation with alternating keys and values.
	Failure func(op string, err error, kv ...any)
}

const (
	// readTimeout limits a read of the store, and the time by which a watch may exceed its wait. The store
	// normally answers within a few milliseconds, and within a few hundred when it is slow.
	readTimeout = 700 * time.Millisecond
	// fetchTimeout limits a fetch from a peer. A peer answers within a few milliseconds, or about ten on a
	// small VM.
	fetchTimeout = 250 * time.Millisecond
	// seedInterval is the time between two fetches from seeds while there is no view.
	seedInterval = 200 * time.Millisecond
	// seedWait is how long a new process waits for a seed before it reads the store itself. A live seed
	// answers within milliseconds.
	seedWait = 25 * time.Millisecond
	// bootstrapWait is how long a process waits for a seed when all processes start for the first time, and
	// bootstrapInterval the time between two fetches from seeds then. The platform starts all VMs within 0.3 s.
	bootstrapWait     = time.Second
	bootstrapInterval = 50 * time.Millisecond
	// fetchHold is how long a process without a view keeps the fetch of a peer waiting for the first one. It leaves the peer
	// the time to receive the answer within fetchTimeout. maxWaitingFetches bounds the fetches that wait, each of which takes
	// a connection and about 20 KB.
	fetchHold         = 150 * time.Millisecond
	maxWaitingFetches = 64
	// blindReadInterval is the time between two reads by a seed that has no view, and maxBlindReads bounds those in flight.
	// Other processes depend on the seeds: without a view nothing is served.
	blindReadInterval = 100 * time.Millisecond
	maxBlindReads     = 8
	// minSecondRead and secondReadSpread bound the random time after which a process that no seed answers starts a second
	// read beside one that hangs. The attempts of many processes are then spread over time.
	minSecondRead    = 150 * time.Millisecond
	secondReadSpread = 500 * time.Millisecond
	// seedTTL is how long after the last answer of a seed a process relies on the seeds to read the store.
	seedTTL = time.Second
	// expireInterval is the time between two checks for expired entries.
	expireInterval = 250 * time.Millisecond
	eventQueueSize = 256
)

// View maintains the view of one process. It is safe for concurrent use.
type View struct {
	config  Config
	current atomic.Pointer[registry.View]
	updates chan struct{}
	events  chan event
	dropped atomic.Uint64
	// first is closed once there is a view. waiting is the number of fetches that wait for it.
	first   chan struct{}
	waiting atomic.Int32
}

// event is an input to the event loop. Exactly one field is set.
type event struct {
	readResult  *readResult
	fetchResult *fetchResult
	observation *observation
	command     func(*registry.Registry)
}

type observation struct {
	freshness registry.Freshness
	peer      netip.AddrPort
}

// New returns a View that stays empty until Run is called.
func New(config Config) *View {
	return &View{config: config, updates: make(chan struct{}, 1), events: make(chan event, eventQueueSize), first: make(chan struct{})}
}

// Current returns the current view, or nil before the first one.
func (v *View) Current() *registry.View {
	return v.current.Load()
}

// Updates returns a channel that receives a value after the content of the view has changed.
func (v *View) Updates() <-chan struct{} {
	return v.updates
}

// Observe records the freshness that a peer reported. The address is where the peer answers fetches. Observe
// never blocks: it drops the observation if the event queue is full.
func (v *View) Observe(f registry.Freshness, peer netip.AddrPort) {
	select {
	case v.events <- event{observation: &observation{freshness: f, peer: peer}}:
	default:
		v.dropped.Add(1)
	}
}

// Counters returns the counters to publish as metrics, by name.
func (v *View) Counters() map[string]uint64 {
	return map[string]uint64{"dropped_observations": v.dropped.Load()}
}

// Run maintains the view until ctx ends.
func (v *View) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	l := &loop{
		view:      v,
		config:    v.config,
		registry:  registry.New(v.config.Registry),
		pacer:     dissemination.NewPacer(v.config.Pacer, v.config.ProcessID, v.config.Rand),
		started:   v.config.Clock.Now(),
		skipSeeds: v.config.IsSeed || len(v.config.Seeds()) == 0,
		spawn:     func(f func()) { group.Go(func() error { f(); return nil }) },
	}
	group.Go(func() error { return l.run(ctx) })
	return group.Wait()
}

// Since returns the changes after a revision. While there is no view, it waits for the first one for up to fetchHold, so
// that a peer that fetches it gets it at once.
func (v *View) Since(ctx context.Context, revision registry.Revision) (registry.Delta, error) {
	v.awaitFirst(ctx)
	answer := make(chan registry.Delta, 1)
	select {
	case v.events <- event{command: func(r *registry.Registry) { answer <- r.Since(revision) }}:
	case <-ctx.Done():
		return registry.Delta{}, ctx.Err()
	}
	select {
	case delta := <-answer:
		return delta, nil
	case <-ctx.Done():
		return registry.Delta{}, ctx.Err()
	}
}

// awaitFirst waits for the first view for up to fetchHold.
func (v *View) awaitFirst(ctx context.Context) {
	if v.Current() != nil {
		return
	}
	defer v.waiting.Add(-1)
	if v.waiting.Add(1) > maxWaitingFetches {
		return
	}
	timer := time.NewTimer(fetchHold)
	defer timer.Stop()
	select {
	case <-v.first:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (v *View) deliver(ctx context.Context, e event) {
	select {
	case v.events <- e:
	case <-ctx.Done():
	}
}
