package nodeview

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/dissemination"
	"github.com/bramleyrack/bramleyrack/registry"
)

// owner owns the registry and decides what to read and whom to ask.
type owner struct {
	view     *View
	config   Config
	registry *registry.Registry
	pacer    *dissemination.Pacer
	// start runs a call in a goroutine of its own.
	start func(func())
	// reading and fetching say that such a call is under way.
	reading, fetching bool
	// whole says that the next read must take the whole state.
	whole bool
	// lost says that the store did not answer this process last time.
	lost bool
	// started is when the process began to run, and alone says that a seed could not help it.
	started time.Duration
	alone   bool
	// hint is a peer that knows of changes; the zero value names none.
	hint   netip.AddrPort
	seeded time.Duration
	seed   int
	// content is what was last put in force.
	content *registry.Content
}

func (o *owner) run(ctx context.Context) error {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		timer := time.NewTimer(o.act(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case e := <-o.view.events:
			o.handle(e)
		case <-timer.C:
		case <-expire.C:
			if o.registry.Expire() {
				o.publish("expiry", "")
			}
		}
		timer.Stop()
	}
}

// act starts the calls that are due and returns when to look again.
func (o *owner) act(ctx context.Context) time.Duration {
	now := o.config.Clock.Now()
	if !o.fetching {
		o.fetch(ctx, now)
	}
	if o.reading {
		return time.Second
	}
	wait := o.pacer.Next(now, o.confirmed(now))
	if o.registry.Freshness().Revision == 0 && !o.alone {
		wait = max(wait, o.started+seedPatience-now)
	}
	if wait > 0 {
		return min(wait, seedInterval)
	}
	o.read(ctx)
	return seedInterval
}

// confirmed returns when the view was confirmed. One that was never read is as old as it can be.
func (o *owner) confirmed(now time.Duration) time.Duration {
	if o.registry.Freshness().Revision == 0 {
		return now - o.config.Pacer.MinTakeoverAge - o.config.Pacer.TakeoverAgeSpread
	}
	return o.registry.Freshness().Confirmed
}

// fetch asks the peer that knows of changes, or a seed as long as there is no view.
func (o *owner) fetch(ctx context.Context, now time.Duration) {
	peer := o.hint
	o.hint = netip.AddrPort{}
	if !peer.IsValid() && o.registry.Freshness().Revision == 0 && (o.seeded == 0 || now-o.seeded >= seedInterval) {
		o.seeded = now
		if seeds := o.config.Seeds(); len(seeds) > 0 {
			peer = seeds[o.seed%len(seeds)]
			o.seed++
		}
	}
	if !peer.IsValid() {
		return
	}
	o.fetching = true
	revision := o.registry.Freshness().Revision
	o.start(func() {
		timed, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		delta, err := o.config.Fetch(timed, peer, revision)
		o.view.deliver(ctx, event{fetched: &fetchResult{peer: peer, delta: delta, err: err}})
	})
}

// readResult is the end of a read of the store.
type readResult struct {
	snapshot *registry.Snapshot
	changes  *registry.Changes
	took     time.Duration
	err      error
}

// read reads the whole state at first and after a loss of history, and otherwise what changed. The reader
// lets the store wait for news; another process only wants to know.
func (o *owner) read(ctx context.Context) {
	o.reading = true
	after := o.registry.Freshness().Revision
	whole := o.whole || after == 0
	var wait time.Duration
	if o.pacer.Reading() {
		wait = o.config.Pacer.WatchTimeout
	}
	o.start(func() {
		result := o.call(ctx, whole, after, wait)
		o.view.deliver(ctx, event{read: result})
	})
}

func (o *owner) call(ctx context.Context, whole bool, after uint64, wait time.Duration) *readResult {
	started := o.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	result := &readResult{}
	if whole {
		snapshot, err := o.config.Source.ReadAll(ctx)
		snapshot.Confirmed = started
		result.snapshot, result.err = &snapshot, err
	} else {
		changes, err := o.config.Source.Watch(ctx, after, wait)
		changes.Confirmed = started
		if changes.Revision == after {
			// The store held the revision for the whole wait.
			changes.Confirmed += wait
		}
		result.changes, result.err = &changes, err
	}
	result.took = o.config.Clock.Now() - started
	return result
}

func (o *owner) handle(e event) {
	switch {
	case e.command != nil:
		e.command(o.registry)
	case e.observed != nil:
		o.observe(e.observed)
	case e.read != nil:
		o.finishRead(e.read)
	case e.fetched != nil:
		o.finishFetch(e.fetched)
	}
}

func (o *owner) observe(observed *observation) {
	o.heard(observed.freshness)
	before := o.registry.Freshness()
	if o.registry.Observe(observed.freshness) {
		o.hint = observed.peer
		return
	}
	if o.registry.Freshness() != before {
		o.publish("peer", observed.peer.String())
	}
}

// heard tells the pacer of a confirmation by another process.
func (o *owner) heard(f registry.Freshness) {
	if f.Reader == o.config.Self {
		return
	}
	was := o.pacer.Reading()
	o.pacer.PeerConfirmed(o.config.Clock.Now(), f.Confirmed, f.Reader)
	if was && !o.pacer.Reading() {
		o.config.Event("reader_yielded", "to", f.Reader, "revision", f.Revision)
	}
}

func (o *owner) finishRead(r *readResult) {
	o.reading = false
	now := o.config.Clock.Now()
	if errors.Is(r.err, ErrHistoryLost) {
		o.whole = true
		o.config.Event("store_history_lost", "revision", o.registry.Freshness().Revision)
		return
	}
	if r.err != nil {
		if !o.lost {
			o.config.Failure("store_lost", r.err, "took", r.took, "view_age", now-o.registry.Freshness().Confirmed)
		}
		o.lost = true
		o.registry.ReadFailed()
		// A watch may be stuck although the store answers reads.
		o.whole = o.whole || r.changes != nil
		o.pacer.Failed(now)
		return
	}
	if o.lost {
		o.lost = false
		o.config.Event("store_regained", "took", r.took, "view_age", now-o.registry.Freshness().Confirmed)
	}
	was, confirmed := o.pacer.Reading(), o.confirmed(now)
	if o.registry.Freshness().Revision == 0 {
		// Of many processes that start together, those wait to hear of a reader that have just read.
		confirmed = now
	}
	o.pacer.Succeeded(now, confirmed)
	if !was && o.pacer.Reading() {
		o.config.Event("reader_started", "view_age", now-confirmed)
	}
	o.take(r)
}

// take merges what the store said.
func (o *owner) take(r *readResult) {
	if r.snapshot != nil {
		o.whole = false
		if o.registry.Replace(*r.snapshot) {
			o.publish("store", "")
			return
		}
	} else if _, err := o.registry.Apply(*r.changes); err != nil {
		// A peer was faster; its newer state stands.
		return
	}
	o.publish("store", "")
}

// fetchResult is the end of a question to a peer.
type fetchResult struct {
	peer  netip.AddrPort
	delta registry.Delta
	err   error
}

func (o *owner) finishFetch(f *fetchResult) {
	o.fetching = false
	if f.err != nil {
		o.alone = true
		o.config.Failure("peer_fetch_failed", f.err, "peer", f.peer)
		return
	}
	o.alone = o.alone || f.delta.Revision == 0
	o.heard(f.delta.Freshness)
	o.registry.Merge(f.delta)
	o.publish("peer", f.peer.String())
}

// publish puts the state of the registry in force.
func (o *owner) publish(source, peer string) {
	current := o.registry.View()
	if current == nil {
		return
	}
	o.view.current.Store(current)
	if current.Content == o.content {
		return
	}
	o.content = current.Content
	o.config.Event("view_changed",
		"revision", current.Revision, "version", current.Version(), "upstreams", len(current.Upstreams),
		"age", o.config.Clock.Now()-current.Confirmed, "source", source, "peer", peer)
	select {
	case o.view.updates <- struct{}{}:
	default:
	}
}
