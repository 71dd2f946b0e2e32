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

// event is one thing that happened; exactly one field is set.
type event struct {
	// observed is the revision that a message of a peer carried.
	observed *dissemination.Observation
	// heard is a heartbeat that a peer sent.
	heard *heardPeer
	// exchanged is the end of a heartbeat that this process sent.
	exchanged *exchange
	// fetched is the end of a question to a peer.
	fetched *fetch
	// announced is a revision from the parent in the relay tree.
	announced *bramleyv1.AnnounceRequest
	// platform is the end of a read of the platform.
	platform *platformRead
	// checked is a value that has been checked.
	checked *checked
	// listed is the platform's list of the VMs of this place.
	listed []membership.ListedVM
	// identified says that the identity of this process has changed.
	identified bool
}

// owner holds the state of a view. Only its goroutine touches it.
type owner struct {
	view     *View
	rnd      *rand.Rand
	table    *membership.Table
	follower *dissemination.Follower
	tree     *dissemination.Tree
	contacts contacts
	// seen is the highest revision read so far, accepted or not.
	seen uint64
	// built is the version of the table that the relay tree was computed from.
	built     uint64
	repairing bool
	// checking counts the values that are being checked; what they hold needs no second fetch.
	checking int
	// hasList says that the platform has returned its list of VMs, if only an empty one. Without it
	// a process does not know whether it is a reader.
	hasList bool
}

func newOwner(v *View, rnd *rand.Rand) *owner {
	follower := dissemination.DefaultFollowerConfig(v.config.FleetSize)
	o := &owner{
		view:     v,
		rnd:      rnd,
		table:    membership.New(v.config.Membership),
		follower: dissemination.NewFollower(follower, 0, rnd),
		contacts: contacts{due: make(map[string]time.Duration), busy: make(map[string]bool)},
	}
	o.rebuild(0)
	return o
}

func (o *owner) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-o.view.events:
			o.handle(ctx, e)
		case <-ticker.C:
			o.tick(ctx)
		}
	}
}

func (o *owner) handle(ctx context.Context, e event) {
	now := o.view.now()
	switch {
	case e.identified:
		o.rebuild(now)
	case e.observed != nil:
		o.follower.Observe(now, *e.observed)
	case e.heard != nil:
		o.heard(now, e.heard)
	case e.exchanged != nil:
		o.exchanged(now, e.exchanged)
	case e.fetched != nil:
		o.fetched(ctx, now, e.fetched)
	case e.announced != nil:
		o.announced(ctx, now, e.announced)
	case e.platform != nil:
		o.platformRead(ctx, now, e.platform)
	case e.checked != nil:
		o.checked(now, e.checked)
	case e.listed != nil:
		o.listed(now, e.listed)
	}
	o.repair(ctx, now)
	o.publish(now)
}

func (o *owner) tick(ctx context.Context) {
	now := o.view.now()
	verdict := o.table.Tick(now)
	if verdict.Paused {
		o.view.config.Event("view_paused", "gap", verdict.Gap)
		o.follower.Suspect()
	}
	if o.table.Version() != o.built {
		o.rebuild(now)
	}
	o.heartbeat(ctx, now)
	o.repair(ctx, now)
	o.publish(now)
}

func (o *owner) heard(now time.Duration, h *heardPeer) {
	if !o.table.RecordHeartbeat(now, h.beat) {
		return
	}
	o.contacts.heard(now, h.beat.Address, o.view.config.HeartbeatInterval, o.rnd)
	o.follower.Observe(now, h.observation)
}

func (o *owner) exchanged(now time.Duration, e *exchange) {
	delete(o.contacts.busy, e.address)
	if e.err != nil {
		return
	}
	o.heard(now, e.heard)
	if o.follower.Suspected() {
		o.follower.PeerAnswered(now, e.heard.observation)
	}
}

func (o *owner) fetched(ctx context.Context, now time.Duration, f *fetch) {
	o.repairing = false
	if f.err != nil {
		o.follower.PeerFailed()
		return
	}
	state, revision := f.response.GetState(), f.response.GetRevision()
	value := o.view.valueOf(f.response)
	o.offer(ctx, offered{revision: revision, value: value, ageMs: f.response.GetRevisionAgeMs(), source: f.address})
	o.follower.PeerAnswered(now, observation(f.address, state, revision, f.response.GetRevisionAgeMs()))
}

func (o *owner) announced(ctx context.Context, now time.Duration, a *bramleyv1.AnnounceRequest) {
	source := a.GetFrom().GetPeerAddress()
	value := o.view.valueOf(a)
	if len(value) == 0 {
		if a.GetRevision() > o.seen {
			o.follower.Observe(now, dissemination.Observation{Revision: a.GetRevision(), Peer: source})
		}
		return
	}
	o.offer(ctx, offered{revision: a.GetRevision(), value: value, ageMs: a.GetRevisionAgeMs(), source: source, depth: a.GetDepth()})
}

func (o *owner) platformRead(ctx context.Context, now time.Duration, r *platformRead) {
	if r.repair {
		o.repairing = false
	}
	if r.err != nil {
		return
	}
	o.offer(ctx, offered{revision: r.revision, value: r.value, source: "platform"})
	o.follower.PlatformAnswered(now, r.revision)
}

// offered is a value from any source.
type offered struct {
	revision uint64
	value    []byte
	ageMs    uint64
	source   string
	depth    uint32
}

// checked is a value with the outcome of its check.
type checked struct {
	value offered
	tree  *settings.Tree
	err   error
}

// offer has a value checked if its revision is above all that were seen. It relays the value at
// once and in either case, so that every process of the place reports the same findings.
func (o *owner) offer(ctx context.Context, value offered) {
	if value.revision <= o.seen || len(value.value) == 0 {
		return
	}
	o.seen = value.revision
	o.checking++
	o.view.startCheck(ctx, value)
	children := o.tree.Children(o.view.config.Identity.GetPeerAddress())
	o.view.enqueueRelay(relayJob{value: value, base: o.view.current.Load(), children: children})
}

// startCheck checks a value beside the owner, since a large tree takes long.
func (v *View) startCheck(ctx context.Context, value offered) {
	v.workers.Go(func() {
		tree, err := settings.Parse(value.value, value.revision)
		v.deliver(ctx, event{checked: &checked{value: value, tree: tree, err: err}})
	})
}

// checked puts a revision without findings in force, and keeps the last good one otherwise.
func (o *owner) checked(now time.Duration, c *checked) {
	o.checking--
	if c.err != nil {
		o.refuse(c.value, c.err)
		return
	}
	o.adopt(now, c.value, c.tree)
}

func (o *owner) refuse(value offered, err error) {
	r := &refusal{revision: value.revision, findings: []string{err.Error()}}
	var findings *settings.FindingsError
	if errors.As(err, &findings) {
		r.findings = r.findings[:0]
		for _, f := range findings.Findings {
			r.findings = append(r.findings, f.Path+": "+f.Reason)
		}
	}
	o.view.refused.Store(r)
	o.follower.Reject(value.revision)
	o.view.config.Event("revision_refused", "revision", value.revision, "findings", len(r.findings), "source", value.source)
}

func (o *owner) adopt(now time.Duration, value offered, tree *settings.Tree) {
	age := time.Duration(value.ageMs) * time.Millisecond
	if !o.follower.Adopt(now, value.revision, age) {
		return
	}
	tree = settings.RetainRemoved(o.view.Current(), tree)
	if c := o.view.current.Load(); c != nil {
		// The tree of the previous revision is not kept; deltas need only its text.
		o.view.previous.Store(&inForce{revision: c.revision, value: c.value})
	}
	o.view.current.Store(&inForce{
		revision:   value.revision,
		value:      value.value,
		tree:       tree,
		compressed: sync.OnceValue(func() []byte { return compress(value.value) }),
	})
	o.view.notify(tree)
	o.rebuild(now)
	o.view.config.Event("revision_in_force", "revision", value.revision, "source", value.source, "depth", value.depth)
}

// notify replaces an update that nobody has received yet.
func (v *View) notify(tree *settings.Tree) {
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

// repair carries out the follower's next action, one at a time.
func (o *owner) repair(ctx context.Context, now time.Duration) {
	if o.repairing || o.checking > 0 {
		return
	}
	action := o.follower.Next(now)
	switch action.Kind {
	case dissemination.FetchPeer:
		o.fetch(ctx, action.Peer)
	case dissemination.FetchAnyPeer:
		o.fetchAny(ctx)
	case dissemination.ReadPlatform:
		o.repairing = true
		o.view.startPlatformRead(ctx, o.seen, o.follower.Suspected())
	}
}

func (o *owner) fetchAny(ctx context.Context) {
	address, ok := o.anyPeer()
	if !ok {
		o.follower.PeerFailed()
		return
	}
	o.fetch(ctx, address)
}

func (o *owner) fetch(ctx context.Context, address string) {
	o.repairing = true
	o.view.startFetch(ctx, address, o.view.Revision())
}

// publish shows the owner's state to handlers and accessors.
func (o *owner) publish(now time.Duration) {
	old := o.view.summary.Load()
	next := &summary{
		suspect:   o.follower.Suspected(),
		isolated:  o.table.Isolated(),
		reader:    o.hasList && o.tree.IsReader(o.view.Identity().GetPeerAddress()),
		confirmed: o.view.start.Add(now - o.follower.Age(now)),
		members:   o.table.Monitored(),
	}
	o.view.summary.Store(next)
	if next.reader && !old.reader {
		o.view.wakeWatcher()
	}
}
