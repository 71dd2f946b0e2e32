// Package nodeview keeps the view of one process current: it reads the store when it is this process's turn,
// and otherwise takes over from peers what changed.
package nodeview

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

// ErrHistoryLost is returned by a Source whose store no longer knows what changed since a revision.
const ErrHistoryLost = errors.ConstError("the store no longer knows what changed since the revision")

// Source reads the store. Its results carry no time; the caller knows when it asked.
type Source interface {
	// ReadAll returns the whole state.
	ReadAll(ctx context.Context) (registry.Snapshot, error)
	// Watch returns what changed after a revision, as soon as anything has or the wait is over.
	Watch(ctx context.Context, after uint64, wait time.Duration) (registry.Changes, error)
}

// Config holds the settings of a View.
type Config struct {
	Source Source
	Clock  *clock.Clock
	// Self identifies the process among the readers of the store.
	Self uint64
	// Fetch asks the peer at an address for what changed after a revision.
	Fetch func(ctx context.Context, peer netip.AddrPort, revision uint64) (registry.Delta, error)
	// Seeds returns the peers to ask before any other is known.
	Seeds func() []netip.AddrPort
	Pacer dissemination.PacerConfig
	// Registry holds the limits of what is kept of the store.
	Registry registry.Config
	Rand     *rand.Rand
	// Event logs what happens, as alternating keys and values.
	Event func(op string, kv ...any)
	// Failure logs what fails.
	Failure func(op string, err error, kv ...any)
}

const (
	// readTimeout bounds a read of the store, or the part of a watch that exceeds its wait. The store
	// answers within some milliseconds; a slow one within some hundred.
	readTimeout = 700 * time.Millisecond
	// fetchTimeout bounds a question to a peer, whose answer takes some milliseconds, on a small VM some ten.
	fetchTimeout = 250 * time.Millisecond
	// seedInterval is the time between two questions to the seeds while there is no view.
	seedInterval = 200 * time.Millisecond
	// seedPatience is how long a new process waits for a seed before it reads the store itself. A seed that lives
	// answers within milliseconds.
	seedPatience = 25 * time.Millisecond
	// expireInterval is the time between two looks for entries that have lapsed for good.
	expireInterval = 250 * time.Millisecond
	// eventBuffer is how many events may wait for the owner; further observations are dropped.
	eventBuffer = 256
)

// View keeps the view of one process. It is safe for concurrent use.
type View struct {
	config  Config
	current atomic.Pointer[registry.View]
	updates chan struct{}
	events  chan event
	dropped atomic.Uint64
}

// event is what the owner of the registry reacts to.
type event struct {
	read     *readResult
	fetched  *fetchResult
	observed *observation
	command  func(*registry.Registry)
}

// observation is the freshness that a peer has told of.
type observation struct {
	freshness registry.Freshness
	peer      netip.AddrPort
}

// New returns a View that holds nothing until Run.
func New(config Config) *View {
	return &View{config: config, updates: make(chan struct{}, 1), events: make(chan event, eventBuffer)}
}

// Current returns the view in force, or nil before the first.
func (v *View) Current() *registry.View {
	return v.current.Load()
}

// Updates receives a value after the content of the view has changed.
func (v *View) Updates() <-chan struct{} {
	return v.updates
}

// Observe takes in the freshness that a peer has told of. The peer answers questions at the address.
func (v *View) Observe(f registry.Freshness, peer netip.AddrPort) {
	select {
	case v.events <- event{observed: &observation{freshness: f, peer: peer}}:
	default:
		v.dropped.Add(1)
	}
}

// Counters returns counts since the start by name.
func (v *View) Counters() map[string]uint64 {
	return map[string]uint64{"dropped_observations": v.dropped.Load()}
}

// Run keeps the view until ctx ends.
func (v *View) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	o := &owner{
		view:     v,
		config:   v.config,
		registry: registry.New(v.config.Registry),
		pacer:    dissemination.NewPacer(v.config.Pacer, v.config.Self, v.config.Rand),
		started:  v.config.Clock.Now(),
		alone:    len(v.config.Seeds()) == 0,
		start:    func(f func()) { group.Go(func() error { f(); return nil }) },
	}
	group.Go(func() error { return o.run(ctx) })
	return group.Wait()
}

// Since returns what changed after a revision.
func (v *View) Since(ctx context.Context, revision uint64) (registry.Delta, error) {
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

// deliver hands the end of a call to the owner.
func (v *View) deliver(ctx context.Context, e event) {
	select {
	case v.events <- e:
	case <-ctx.Done():
	}
}
