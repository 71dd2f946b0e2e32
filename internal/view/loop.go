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
	// identityChanged is set if the service or server of this process was set.
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
	// highestSeen is the highest revision received so far: accepted, refused or under validation.
	highestSeen uint64
	// relayTreeVersion is the version of the membership table that the relay tree was computed from.
	relayTreeVersion uint64
	// repairing is set while a fetch or platform read that the follower requested is in flight.
	repairing bool
	// validating is the number of values under validation. No repair starts meanwhile, since it
	// could fetch the same value again.
	validating int
	// hasList is set once the platform has returned a list of VMs, even an empty one. Without a list,
	// a process cannot tell whether it is a reader.
	hasList bool
}

func newLoop(v *View, rnd *rand.Rand) *loop {
	followerConfig := dissemination.DefaultFollowerConfig(v.config.FleetSize)
	l := &loop{
		view:     v,
		rnd:      rnd,
		table:    membership.New(v.config.Membership),
		follower: dissemination.NewFollower(followerConfig, 0, rnd),
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
	result := l.table.Tick(now)
	if result.Paused {
		l.view.config.Event("view_paused", "gap", result.Gap)
		l.follower.MarkUnconfirmed()
	}
	if l.table.Version() != l.relayTreeVersion {
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
	if l.follower.Unconfirmed() {
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
	// depth is the number of relay hops of an announced value. It is zero for any other value.
	depth uint32
}

// validationResult holds the settings tree parsed from a received value, or the reason to refuse it.
type validationResult struct {
	received receivedValue
	tree     *settings.Tree
	err      error
}

// submit starts the validation of a value if its revision is higher than all revisions seen. It
// also relays the value at once, whether valid or not, so that every process of the place reports
// the same findings.
func (l *loop) submit(ctx context.Context, received receivedValue) {
	if received.revision <= l.highestSeen || len(received.value) == 0 {
		return
	}
	l.highestSeen = received.revision
	l.validating++
	l.view.startValidation(ctx, received)
	children := l.relayTree.Children(l.view.config.Identity.GetPeerAddress())
	l.view.enqueueRelay(relayJob{received: received, base: l.view.current.Load(), children: children})
}

// startValidation parses and validates a value outside the event loop, since this takes long for
// a large tree.
func (v *View) startValidation(ctx context.Context, received receivedValue) {
	v.workers.Go(func() {
		tree, err := settings.Parse(received.value, received.revision)
		v.deliver(ctx, event{validation: &validationResult{received: received, tree: tree, err: err}})
	})
}

func (l *loop) handleValidation(now time.Duration, r *validationResult) {
	l.validating--
	if r.err != nil {
		l.refuse(r.received, r.err)
		return
	}
	l.apply(now, r.received, r.tree)
}

func (l *loop) refuse(received receivedValue, err error) {
	r := &refusedRevision{revision: received.revision, findings: []string{err.Error()}}
	var findings *settings.FindingsError
	if errors.As(err, &findings) {
		r.findings = r.findings[:0]
		for _, f := range findings.Findings {
			r.findings = append(r.findings, f.Path+": "+f.Reason)
		}
	}
	l.view.refused.Store(r)
	l.follower.Reject(received.revision)
	l.view.config.Event("revision_refused", "revision", received.revision, "findings", len(r.findings), "source", received.source)
}

func (l *loop) apply(now time.Duration, received receivedValue, tree *settings.Tree) {
	age := time.Duration(received.ageMs) * time.Millisecond
	if !l.follower.Adopt(now, received.revision, age) {
		return
	}
	tree = settings.RetainRemoved(l.view.Current(), tree)
	if c := l.view.current.Load(); c != nil {
		// Deltas need only the value of the previous revision, so its parsed tree is not kept.
		l.view.previous.Store(&appliedRevision{revision: c.revision, value: c.value})
	}
	l.view.current.Store(&appliedRevision{
		revision:   received.revision,
		value:      received.value,
		tree:       tree,
		compressed: sync.OnceValue(func() []byte { return compress(received.value) }),
	})
	l.view.sendUpdate(tree)
	l.rebuildRelayTree(now)
	l.view.config.Event("revision_in_force", "revision", received.revision, "source", received.source, "depth", received.depth)
}

// sendUpdate replaces an update that has not been received yet.
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
		l.view.startPlatformRead(ctx, l.highestSeen, l.follower.Unconfirmed())
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

func (l *loop) publishSummary(now time.Duration) {
	old := l.view.summary.Load()
	next := &summary{
		unconfirmed: l.follower.Unconfirmed(),
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
