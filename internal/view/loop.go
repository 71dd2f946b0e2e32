package view

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/dissemination"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/membership"
	"github.com/bramleyrack/bramleyrack/settings"
)

// event is an input to the event loop. Exactly one field is set.
type event struct {
	// observation is a revision that a message of a peer carried.
	observation *dissemination.Observation
	// heartbeat is a heartbeat request from a peer.
	heartbeat       *receivedHeartbeat
	heartbeatResult *heartbeatResult
	fetchResult     *fetchResult
	// announcement is a revision announced by the parent in the relay tree.
	announcement   *bramleyv1.AnnounceRequest
	platformResult *platformResult
	validation     *validationResult
	// vms is the platform's list of the VMs of this place.
	vms []membership.ListedVM
	// identityChanged reports that the service or server of this process was set.
	identityChanged bool
}

// loop is the event loop that owns the state of a view. Only its goroutine accesses the fields.
type loop struct {
	view      *View
	rnd       *rand.Rand
	table     *membership.Table
	follower  *dissemination.Follower
	relayTree *dissemination.RelayTree
	schedule  heartbeatSchedule
	// highestSeen is the highest revision received so far, accepted or refused.
	highestSeen uint64
	// builtVersion is the version of the membership table that the relay tree was computed from.
	builtVersion uint64
	repairing    bool
	// validating is the number of values under validation. No repair starts meanwhile, since it
	// could fetch the same value again.
	validating int
	// hasList reports whether the platform has returned a list of VMs, even an empty one. Without a
	// list, a process cannot tell whether it is a reader.
	hasList bool
}

func newLoop(v *View, rnd *rand.Rand) *loop {
	follower := dissemination.DefaultFollowerConfig(v.config.FleetSize)
	l := &loop{
		view:     v,
		rnd:      rnd,
		table:    membership.New(v.config.Membership),
		follower: dissemination.NewFollower(follower, 0, rnd),
		schedule: heartbeatSchedule{due: make(map[string]time.Duration), inFlight: make(map[string]bool)},
	}
	l.rebuildRelayTree(0)
	return l
}

func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.view.events:
			l.handle(ctx, e)
		case <-ticker.C:
			l.tick(ctx)
		}
	}
}

func (l *loop) handle(ctx context.Context, e event) {
	now := l.view.now()
	switch {
	case e.identityChanged:
		l.rebuildRelayTree(now)
	case e.observation != nil:
		l.follower.Observe(now, *e.observation)
	case e.heartbeat != nil:
		l.handleHeartbeat(now, e.heartbeat)
	case e.heartbeatResult != nil:
		l.handleHeartbeatResult(now, e.heartbeatResult)
	case e.fetchResult != nil:
		l.handleFetchResult(ctx, now, e.fetchResult)
	case e.announcement != nil:
		l.handleAnnouncement(ctx, now, e.announcement)
	case e.platformResult != nil:
		l.handlePlatformResult(ctx, now, e.platformResult)
	case e.validation != nil:
		l.handleValidation(now, e.validation)
	case e.vms != nil:
		l.handleVMList(now, e.vms)
	}
	l.repair(ctx, now)
	l.publishSummary(now)
}

func (l *loop) tick(ctx context.Context) {
	now := l.view.now()
	verdict := l.table.Tick(now)
	if verdict.Paused {
		l.view.config.Event("view_paused", "gap", verdict.Gap)
		l.follower.Suspect()
	}
	if l.table.Version() != l.builtVersion {
		l.rebuildRelayTree(now)
	}
	l.sendDueHeartbeats(ctx, now)
	l.repair(ctx, now)
	l.publishSummary(now)
}

func (l *loop) handleHeartbeat(now time.Duration, h *receivedHeartbeat) {
	if !l.table.RecordHeartbeat(now, h.heartbeat) {
		return
	}
	l.schedule.postpone(now, h.heartbeat.Address, l.view.config.HeartbeatInterval, l.rnd)
	l.follower.Observe(now, h.observation)
}

func (l *loop) handleHeartbeatResult(now time.Duration, e *heartbeatResult) {
	delete(l.schedule.inFlight, e.address)
	if e.err != nil {
		return
	}
	l.handleHeartbeat(now, e.heartbeat)
	if l.follower.Suspected() {
		l.follower.PeerAnswered(now, e.heartbeat.observation)
	}
}

func (l *loop) handleFetchResult(ctx context.Context, now time.Duration, f *fetchResult) {
	l.repairing = false
	if f.err != nil {
		l.follower.PeerFailed()
		return
	}
	state, revision := f.response.GetState(), f.response.GetRevision()
	value := l.view.valueFrom(f.response)
	l.submit(ctx, receivedValue{revision: revision, value: value, ageMs: f.response.GetRevisionAgeMs(), source: f.address})
	l.follower.PeerAnswered(now, observation(f.address, state, revision, f.response.GetRevisionAgeMs()))
}

func (l *loop) handleAnnouncement(ctx context.Context, now time.Duration, a *bramleyv1.AnnounceRequest) {
	source := a.GetFrom().GetPeerAddress()
	value := l.view.valueFrom(a)
	if len(value) == 0 {
		if a.GetRevision() > l.highestSeen {
			l.follower.Observe(now, dissemination.Observation{Revision: a.GetRevision(), Peer: source})
		}
		return
	}
	l.submit(ctx, receivedValue{revision: a.GetRevision(), value: value, ageMs: a.GetRevisionAgeMs(), source: source, depth: a.GetDepth()})
}

func (l *loop) handlePlatformResult(ctx context.Context, now time.Duration, r *platformResult) {
	if r.repair {
		l.repairing = false
	}
	if r.err != nil {
		return
	}
	l.submit(ctx, receivedValue{revision: r.revision, value: r.value, source: "platform"})
	l.follower.PlatformAnswered(now, r.revision)
}

// receivedValue is a value received from the platform or a peer.
type receivedValue struct {
	revision uint64
	value    []byte
	ageMs    uint64
	source   string
	depth    uint32
}

// validationResult holds the parsed settings of a received value, or the error that refuses it.
type validationResult struct {
	value receivedValue
	tree  *settings.Tree
	err   error
}

// submit starts the validation of a value if its revision is higher than all revisions seen. It
// also relays the value at once, whether valid or not, so that every process of the place reports
// the same findings.
func (l *loop) submit(ctx context.Context, value receivedValue) {
	if value.revision <= l.highestSeen || len(value.value) == 0 {
		return
	}
	l.highestSeen = value.revision
	l.validating++
	l.view.startValidation(ctx, value)
	children := l.relayTree.Children(l.view.config.Identity.GetPeerAddress())
	l.view.enqueueRelay(relayJob{value: value, base: l.view.current.Load(), children: children})
}

// startValidation parses and validates a value outside the event loop, since this takes long for
// large settings.
func (v *View) startValidation(ctx context.Context, value receivedValue) {
	v.workers.Go(func() {
		tree, err := settings.Parse(value.value, value.revision)
		v.deliver(ctx, event{validation: &validationResult{value: value, tree: tree, err: err}})
	})
}

// handleValidation applies a valid revision. An invalid one is refused, and the current revision
// stays.
func (l *loop) handleValidation(now time.Duration, c *validationResult) {
	l.validating--
	if c.err != nil {
		l.refuse(c.value, c.err)
		return
	}
	l.apply(now, c.value, c.tree)
}

func (l *loop) refuse(value receivedValue, err error) {
	r := &refusedRevision{revision: value.revision, findings: []string{err.Error()}}
	var findings *settings.FindingsError
	if errors.As(err, &findings) {
		r.findings = r.findings[:0]
		for _, f := range findings.Findings {
			r.findings = append(r.findings, f.Path+": "+f.Reason)
		}
	}
	l.view.refused.Store(r)
	l.follower.Reject(value.revision)
	l.view.config.Event("revision_refused", "revision", value.revision, "findings", len(r.findings), "source", value.source)
}

func (l *loop) apply(now time.Duration, value receivedValue, tree *settings.Tree) {
	age := time.Duration(value.ageMs) * time.Millisecond
	if !l.follower.Adopt(now, value.revision, age) {
		return
	}
	tree = settings.RetainRemoved(l.view.Current(), tree)
	if c := l.view.current.Load(); c != nil {
		// Deltas need only the value of the previous revision, so its parsed settings are not kept.
		l.view.previous.Store(&appliedRevision{revision: c.revision, value: c.value})
	}
	l.view.current.Store(&appliedRevision{
		revision:   value.revision,
		value:      value.value,
		tree:       tree,
		compressed: sync.OnceValue(func() []byte { return compress(value.value) }),
	})
	l.view.sendUpdate(tree)
	l.rebuildRelayTree(now)
	l.view.config.Event("revision_in_force", "revision", value.revision, "source", value.source, "depth", value.depth)
}

// sendUpdate sends the settings to the updates channel. It replaces an update that has not been
// received yet.
func (v *View) sendUpdate(tree *settings.Tree) {
	for {
		select {
		case v.updates <- tree:
			return
		default:
		}
		select {
		case <-v.updates:
		default:
		}
	}
}

// repair executes the next action that the follower requests, one at a time.
func (l *loop) repair(ctx context.Context, now time.Duration) {
	if l.repairing || l.validating > 0 {
		return
	}
	action := l.follower.Next(now)
	switch action.Kind {
	case dissemination.FetchPeer:
		l.fetchFrom(ctx, action.Peer)
	case dissemination.FetchAnyPeer:
		l.fetchFromRandomPeer(ctx)
	case dissemination.ReadPlatform:
		l.repairing = true
		l.view.startPlatformRead(ctx, l.highestSeen, l.follower.Suspected())
	}
}

func (l *loop) fetchFromRandomPeer(ctx context.Context) {
	address, ok := l.randomPeer()
	if !ok {
		l.follower.PeerFailed()
		return
	}
	l.fetchFrom(ctx, address)
}

func (l *loop) fetchFrom(ctx context.Context, address string) {
	l.repairing = true
	l.view.startFetch(ctx, address, l.view.Revision())
}

// publishSummary stores a summary of the state for handlers and accessors.
func (l *loop) publishSummary(now time.Duration) {
	old := l.view.summary.Load()
	next := &summary{
		unconfirmed: l.follower.Suspected(),
		isolated:    l.table.Isolated(),
		reader:      l.hasList && l.relayTree.IsReader(l.view.Identity().GetPeerAddress()),
		confirmedAt: l.view.start.Add(now - l.follower.Age(now)),
		members:     l.table.Monitored(),
	}
	l.view.summary.Store(next)
	if next.reader && !old.reader {
		l.view.wakeWatcher()
	}
}
