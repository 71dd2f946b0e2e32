package storeview

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/dissemination"
	"github.com/bramleyrack/bramleyrack/registry"
)

// loop is the event loop that owns the registry. It decides when to read the store and which peer to fetch
// from.
type loop struct {
	view     *View
	config   Config
	registry *registry.Registry
	pacer    *dissemination.Pacer
	// spawn runs a call in its own goroutine.
	spawn func(func())
	// reads is the number of reads of the store in flight, and lastRead when the last one was started.
	reads    int
	lastRead time.Duration
	// firstReads is the context of the reads that are started while there is no view, and endFirstReads ends it.
	firstReads    context.Context
	endFirstReads context.CancelFunc
	// fetching holds the peers from which fetches are in flight.
	fetching []netip.AddrPort
	// readAll is set if the next read must return the whole state.
	readAll bool
	// storeDown is set if the last read by this process failed.
	storeDown bool
	// started is when Run was called.
	started time.Duration
	// skipSeeds is set if this process is a seed or there are none, or once a fetch has failed or a peer had no view
	// either. The first read of the store then need not wait for a seed.
	skipSeeds bool
	// seedAnswered is when a seed last answered a fetch, or zero.
	seedAnswered time.Duration
	// hintedPeer is a peer that has newer changes. The zero value means none.
	hintedPeer netip.AddrPort
	// fetchAll is set if the next fetch must return the whole state, because the peer knows more of the past than the
	// changes show: former routes, or what a restored store has lost.
	fetchAll bool
	// askPeerAfterRestore is set if the first view of this process comes from a restored store, until a peer that may have
	// known the store before has delivered its whole state, or EraRetention has passed.
	askPeerAfterRestore bool
	lastSeedFetch       time.Duration
	// secondRead is how long after a read that hangs this process starts a second one.
	secondRead       time.Duration
	nextSeed         int
	publishedContent *registry.Content
}

func (l *loop) run(ctx context.Context) error {
	l.firstReads, l.endFirstReads = context.WithCancel(ctx)
	defer l.endFirstReads()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		timer := time.NewTimer(l.startDueCalls(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case e := <-l.view.events:
			l.handle(e)
		case <-timer.C:
		case <-expire.C:
			if l.registry.Expire() {
				l.publish("expiry", "")
			}
		}
		timer.Stop()
	}
}

// startDueCalls starts the calls that are due and returns the time until the next check.
func (l *loop) startDueCalls(ctx context.Context) time.Duration {
	now := l.config.Clock.Now()
	l.fetch(ctx, now)
	wait := l.untilRead(now)
	if wait > 0 {
		return min(wait, l.seedInterval())
	}
	l.read(ctx, now)
	return l.seedInterval()
}

// untilRead returns the time until the next read of the store.
func (l *loop) untilRead(now time.Duration) time.Duration {
	blind := l.blind()
	if blind && l.reads > 0 {
		return l.untilReadBeside(now)
	}
	if l.reads > 0 {
		return time.Second
	}
	wait := l.pacer.Next(now, l.confirmed(now))
	if blind && l.config.IsSeed && l.lastRead > 0 {
		// The others wait for the seeds, so a seed does not back off.
		wait = l.lastRead + blindReadInterval - now
	}
	if blind && !l.skipSeeds {
		wait = max(wait, l.started+l.seedWait()-now)
	}
	return max(0, wait)
}

// blind reports whether the process has no view.
func (l *loop) blind() bool {
	return l.registry.Freshness().Revision == 0
}

// untilReadBeside returns the time until a process without a view reads the store although an earlier read has not ended. A
// call that was sent while the store did not answer hangs even after its return. Only seeds do so, and those that no seed
// answers, so that the number of calls does not grow with the fleet.
func (l *loop) untilReadBeside(now time.Duration) time.Duration {
	switch {
	case l.reads >= maxBlindReads:
		return time.Second
	case l.config.IsSeed:
		return max(0, l.lastRead+blindReadInterval-now)
	case l.reads > 1 || l.seedAnswered > 0 && now-l.seedAnswered < seedTTL:
		return time.Second
	}
	return max(0, l.lastRead+l.secondRead-now)
}

// seedWait returns how long the process waits for a seed before it reads the store itself.
func (l *loop) seedWait() time.Duration {
	if l.config.FirstStart {
		return bootstrapWait
	}
	return seedWait
}

// seedInterval returns the time between two fetches from seeds while there is no view.
func (l *loop) seedInterval() time.Duration {
	if l.config.FirstStart {
		return bootstrapInterval
	}
	return seedInterval
}

// confirmed returns when the store last confirmed the view. An empty view counts as confirmed so long ago
// that any process may take over reading the store.
func (l *loop) confirmed(now time.Duration) time.Duration {
	if l.registry.Freshness().Revision == 0 {
		return now - l.config.Pacer.MinTakeoverAge - l.config.Pacer.TakeoverAgeSpread
	}
	return l.registry.Freshness().Confirmed
}

// fetch fetches from the hinted peer, or from a seed while there is no view. A seed without a view answers late, so a
// process without one also fetches from a hinted peer meanwhile.
func (l *loop) fetch(ctx context.Context, now time.Duration) {
	if len(l.fetching) > 1 || len(l.fetching) == 1 && (!l.blind() || !l.hintedPeer.IsValid()) {
		return
	}
	peer := l.hintedPeer
	if slices.Contains(l.fetching, peer) {
		return
	}
	l.hintedPeer = netip.AddrPort{}
	if !peer.IsValid() && l.blind() && (l.lastSeedFetch == 0 || now-l.lastSeedFetch >= l.seedInterval()) {
		l.lastSeedFetch = now
		if seeds := l.config.Seeds(); len(seeds) > 0 {
			peer = seeds[l.nextSeed%len(seeds)]
			l.nextSeed++
		}
	}
	if !peer.IsValid() || slices.Contains(l.fetching, peer) {
		return
	}
	l.fetching = append(l.fetching, peer)
	revision := l.registry.Freshness().Revision
	if l.fetchAll {
		l.fetchAll, revision = false, 0
	}
	l.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		delta, err := l.config.Fetch(callCtx, peer, revision)
		l.view.deliver(ctx, event{fetchResult: &fetchResult{peer: peer, delta: delta, err: err}})
	})
}

// readResult is the result of a read or watch of the store.
type readResult struct {
	snapshot *registry.Snapshot
	changes  *registry.Changes
	took     time.Duration
	// first is set if the process had no view when the read was started.
	first bool
	err   error
}

// read reads the whole state if there is none yet or the store has discarded the history. Otherwise it reads
// the changes. A reader waits for a change with a long poll; any other process asks only for the changes so
// far.
func (l *loop) read(ctx context.Context, now time.Duration) {
	l.reads++
	l.lastRead = now
	l.secondRead = minSecondRead + time.Duration(l.config.Rand.Int63n(int64(secondReadSpread)))
	first := l.blind()
	callCtx := ctx
	if first {
		callCtx = l.firstReads
	}
	after := l.registry.Freshness().Revision
	whole := l.readAll || after == 0
	var wait time.Duration
	if l.pacer.IsReader() {
		wait = l.config.Pacer.WatchTimeout
	}
	l.spawn(func() {
		result := l.callStore(callCtx, whole, after, wait)
		result.first = first
		l.view.deliver(ctx, event{readResult: result})
	})
}

func (l *loop) callStore(ctx context.Context, whole bool, after registry.Revision, wait time.Duration) *readResult {
	started := l.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	result := &readResult{}
	if whole {
		snapshot, err := l.config.Source.ReadAll(ctx)
		snapshot.Confirmed = started
		result.snapshot, result.err = &snapshot, err
	} else {
		changes, err := l.config.Source.Watch(ctx, after, wait)
		changes.Confirmed = started
		if changes.Revision == after {
			// The store had no newer revision throughout the wait, which it may have ended early.
			changes.Confirmed += min(wait, l.config.Clock.Now()-started)
		}
		result.changes, result.err = &changes, err
	}
	result.took = l.config.Clock.Now() - started
	return result
}

func (l *loop) handle(e event) {
	switch {
	case e.command != nil:
		e.command(l.registry)
	case e.observation != nil:
		l.observe(e.observation)
	case e.readResult != nil:
		l.finishRead(e.readResult)
	case e.fetchResult != nil:
		l.finishFetch(e.fetchResult)
	}
}

func (l *loop) observe(observed *observation) {
	l.noteConfirmation(observed.freshness)
	before := l.registry.Freshness()
	if l.registry.LacksHistoryOf(observed.freshness) || l.lacksWhatStoreLost(observed.freshness) {
		l.hintedPeer, l.fetchAll = observed.peer, true
	}
	if l.registry.Observe(observed.freshness) {
		l.hintedPeer = observed.peer
		return
	}
	if l.registry.Freshness() != before {
		l.publish("peer", observed.peer.String())
	}
}

// lacksWhatStoreLost reports whether a peer may know what a restored store has lost and this process does not know: a
// newer configuration, or requests and entries from before the restore.
func (l *loop) lacksWhatStoreLost(peer registry.Freshness) bool {
	own := l.registry.Freshness()
	if own.Revision == 0 || peer.Revision == 0 {
		return false
	}
	l.askPeerAfterRestore = l.askPeerAfterRestore && l.withinEraRetention(own)
	return l.askPeerAfterRestore && l.knowsTimeBeforeRestore(peer) || peer.Revision <= own.Revision && peer.ConfigurationVersion > own.ConfigurationVersion
}

// knowsTimeBeforeRestore reports whether a peer may know the store from before its restore. A peer that has not heard of an
// interruption has started after it.
func (l *loop) knowsTimeBeforeRestore(peer registry.Freshness) bool {
	return peer.Revision > 0 && (peer.Interrupted || peer.Revision.Era() < l.registry.Freshness().Revision.Era())
}

// gotFirstView ends the reads that were started to get a view, and arranges what follows the first one.
func (l *loop) gotFirstView(f registry.Freshness) {
	l.endFirstReads()
	l.askAfterFirstView(f)
}

// askAfterFirstView arranges that a process asks a peer for what a restored store has lost. A store that has answered
// the peers for longer than EraRetention has been written again.
func (l *loop) askAfterFirstView(f registry.Freshness) {
	l.askPeerAfterRestore = f.Revision.Era() > 0 && l.withinEraRetention(f)
}

// withinEraRetention reports whether the store has answered for less than EraRetention.
func (l *loop) withinEraRetention(f registry.Freshness) bool {
	return f.Confirmed-f.ContinuousSince < l.config.Registry.EraRetention
}

// noteConfirmation reports to the pacer by whom the view of a peer was confirmed.
func (l *loop) noteConfirmation(f registry.Freshness) {
	wasReading := l.pacer.IsReader()
	l.pacer.PeerConfirmed(l.config.Clock.Now(), f.Confirmed, f.Reader)
	if wasReading && !l.pacer.IsReader() {
		l.config.Event("reader_yielded", "to", f.Reader, "revision", f.Revision)
	}
}

func (l *loop) finishRead(r *readResult) {
	l.reads--
	if r.first && !l.blind() {
		// Another answer came first.
		return
	}
	now := l.config.Clock.Now()
	if errors.Is(r.err, ErrHistoryLost) || errors.Is(r.err, ErrRestored) {
		if errors.Is(r.err, ErrRestored) {
			l.registry.ReadFailed()
		}
		l.readAll = true
		l.config.Event("store_history_lost", "revision", l.registry.Freshness().Revision, "error", r.err)
		return
	}
	if r.err != nil {
		if !l.storeDown {
			l.config.Failure("store_lost", r.err, "took", r.took, "view_age", now-l.registry.Freshness().Confirmed)
		}
		l.storeDown = true
		l.registry.ReadFailed()
		// A watch can hang although the store answers reads, so the next attempt is a full read.
		l.readAll = l.readAll || r.changes != nil
		l.pacer.Failed(now)
		return
	}
	if l.storeDown {
		l.storeDown = false
		l.config.Event("store_regained", "took", r.took, "view_age", now-l.registry.Freshness().Confirmed)
	}
	wasReading, confirmed := l.pacer.IsReader(), l.confirmed(now)
	if l.blind() && !l.readsOnAtOnce(r) {
		// After its first read, a process does not become a reader at once. When many processes start
		// together, each one first waits to hear from another reader.
		confirmed = now
	}
	l.pacer.Succeeded(now, confirmed)
	if !wasReading && l.pacer.IsReader() {
		l.config.Event("reader_started", "view_age", now-confirmed)
	}
	l.merge(r)
}

// readsOnAtOnce reports whether the process becomes the reader with its first read. A seed does, because that read may show
// an incomplete state: entries lapse during an outage. If the store has been restored, a peer may know more than the store,
// and a process that is ahead of all others could not adopt that.
func (l *loop) readsOnAtOnce(r *readResult) bool {
	return l.config.IsSeed && r.snapshot != nil && r.snapshot.Revision.Era() == 0
}

func (l *loop) merge(r *readResult) {
	if r.snapshot != nil {
		l.readAll = false
		l.noteEra(r.snapshot.Revision)
		first := l.blind()
		l.registry.Replace(*r.snapshot)
		if first {
			l.gotFirstView(l.registry.Freshness())
		}
	} else if _, err := l.registry.Apply(*r.changes); err != nil {
		// A peer has already delivered a newer state, which is kept.
		return
	}
	l.publish("store", "")
}

// noteEra logs that the store is in a new era.
func (l *loop) noteEra(revision registry.Revision) {
	known := l.registry.Freshness().Revision
	if revision.Era() <= known.Era() {
		return
	}
	l.config.Event("store_era", "era", revision.Era(), "previous", known.Era(), "revision", revision, "known_revision", known)
}

type fetchResult struct {
	peer  netip.AddrPort
	delta registry.Delta
	err   error
}

func (l *loop) finishFetch(f *fetchResult) {
	l.fetching = slices.DeleteFunc(l.fetching, func(peer netip.AddrPort) bool { return peer == f.peer })
	if f.err == nil && slices.Contains(l.config.Seeds(), f.peer) {
		l.seedAnswered = l.config.Clock.Now()
	}
	if f.err != nil {
		l.skipSeeds = !l.config.FirstStart
		l.config.Failure("peer_fetch_failed", f.err, "peer", f.peer)
		return
	}
	l.skipSeeds = l.skipSeeds || f.delta.Revision == 0 && !l.config.FirstStart
	if f.delta.From == 0 && l.knowsTimeBeforeRestore(f.delta.Freshness) {
		l.askPeerAfterRestore = false
	}
	l.noteConfirmation(f.delta.Freshness)
	first := l.blind()
	l.registry.Merge(f.delta)
	if first && !l.blind() {
		l.gotFirstView(f.delta.Freshness)
	}
	if f.delta.From > 0 && f.delta.ConfigurationVersion > l.registry.Freshness().ConfigurationVersion {
		// The peer has had the configuration since before the restore, so the changes do not include it.
		l.hintedPeer, l.fetchAll = f.peer, true
	}
	l.publish("peer", f.peer.String())
}

// publish makes the state of the registry the current view and signals an update if the content has changed.
func (l *loop) publish(source, peer string) {
	current := l.registry.View()
	if current == nil {
		return
	}
	if l.view.current.Swap(current) == nil {
		close(l.view.first)
	}
	if current.Content == l.publishedContent {
		return
	}
	l.publishedContent = current.Content
	l.config.Event("view_changed",
		"revision", current.Revision, "version", current.Version(), "upstreams", len(current.Upstreams),
		"evacuations", len(current.Evacuations),
		"age", l.config.Clock.Now()-current.Confirmed, "source", source, "peer", peer)
	select {
	case l.view.updates <- struct{}{}:
	default:
	}
}
