package view

import (
	"context"
	"math/rand"
	"net"
	"slices"
	"sync/atomic"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/membership"
)

const (
	// exchangeTimeout bounds a heartbeat; a link without an answer by then is replaced.
	exchangeTimeout = time.Second
	// fetchTimeout bounds a question to a peer, with the time that its budget may delay the value.
	fetchTimeout = 5 * time.Second
	// fetchTurn bounds how long the budget may delay the answer to a peer.
	fetchTurn = 2 * time.Second
	// announceTimeout bounds an announcement to one child.
	announceTimeout = 5 * time.Second
	// platformTimeout bounds one read of the platform.
	platformTimeout = 3 * time.Second
	// repairWatch is how long a repair waits for the platform to show a newer revision.
	repairWatch = 500 * time.Millisecond
	// platformTrust is how long after an answer of the platform a watch without news counts as
	// confirmation that there are none.
	platformTrust = 30 * time.Second
	// watchRetry is the mean pause after a failed watch.
	watchRetry = 500 * time.Millisecond
	// listBudget is the part of the platform's calls a second that lists of VMs may use.
	listBudget = 400
)

// exchange is the end of a heartbeat.
type exchange struct {
	address string
	heard   *heardPeer
	err     error
}

func (v *View) startExchange(ctx context.Context, address string) {
	v.workers.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		heard, err := v.exchange(callCtx, address)
		v.deliver(ctx, event{exchanged: &exchange{address: address, heard: heard, err: err}})
	})
}

func (v *View) exchange(ctx context.Context, address string) (*heardPeer, error) {
	client, err := v.config.Peers.Client(ctx, address)
	if err != nil {
		return nil, err
	}
	response, err := client.Heartbeat(ctx, &bramleyv1.HeartbeatRequest{
		From:          v.Identity(),
		State:         v.state(),
		Revision:      v.Revision(),
		RevisionAgeMs: v.ageMs(),
		Load:          v.load(),
	})
	if err != nil {
		return nil, err
	}
	return heardFromResponse(response), nil
}

// deliver hands the end of a call to the owner, which must learn of it to start the next.
func (v *View) deliver(ctx context.Context, e event) {
	select {
	case v.events <- e:
	case <-ctx.Done():
	}
}

// fetch is the end of a question to a peer.
type fetch struct {
	address  string
	response *bramleyv1.FetchResponse
	err      error
}

func (v *View) startFetch(ctx context.Context, address string, above uint64) {
	v.workers.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		result := &fetch{address: address}
		client, err := v.config.Peers.Client(callCtx, address)
		if err == nil {
			request := &bramleyv1.FetchRequest{Key: v.config.Key, AboveRevision: above}
			result.response, err = client.Fetch(callCtx, request)
		}
		result.err = err
		v.deliver(ctx, event{fetched: result})
	})
}

// platformRead is the end of a read of the platform.
type platformRead struct {
	revision uint64
	value    []byte
	err      error
	// repair says that the follower asked for the read.
	repair bool
}

// startPlatformRead reads the whole value when the view is suspect, and otherwise only asks for
// what is newer.
func (v *View) startPlatformRead(ctx context.Context, seen uint64, whole bool) {
	v.workers.Go(func() {
		result := v.readPlatform(ctx, seen, whole)
		result.repair = true
		v.deliver(ctx, event{platform: result})
	})
}

func (v *View) readPlatform(ctx context.Context, seen uint64, whole bool) *platformRead {
	if !whole && seen > 0 {
		return v.watchOnce(ctx, seen, repairWatch, false)
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	response, err := v.config.Platform.Get(ctx, v.config.Key)
	if err != nil {
		return &platformRead{err: err}
	}
	return &platformRead{revision: response.GetRevision(), value: response.GetValue()}
}

// watchOnce waits for a newer value. With trust, the end of the wait without one counts as an
// answer that the revision seen is the newest.
func (v *View) watchOnce(ctx context.Context, seen uint64, limit time.Duration, trust bool) *platformRead {
	watchCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := v.config.Platform.Watch(watchCtx, v.config.Key, seen)
	if err == nil {
		return &platformRead{revision: response.GetRevision(), value: response.GetValue()}
	}
	if trust && watchCtx.Err() != nil && ctx.Err() == nil {
		return &platformRead{revision: seen}
	}
	return &platformRead{err: err}
}

// platformContact is when the platform last answered any call of this process.
type platformContact struct {
	nanoseconds atomic.Int64
}

func (c *platformContact) note(now time.Duration) {
	c.nanoseconds.Store(int64(now))
}

func (c *platformContact) recent(now time.Duration) bool {
	last := c.nanoseconds.Load()
	return last != 0 && now-time.Duration(last) < platformTrust
}

// runWatcher watches the platform while this process is a reader.
func (v *View) runWatcher(ctx context.Context, rnd *rand.Rand) {
	var seen uint64
	for ctx.Err() == nil {
		if !v.IsReader() {
			select {
			case <-v.read:
			case <-ctx.Done():
			}
			continue
		}
		seen = v.watch(ctx, seen, rnd)
	}
}

// watch waits once for a revision above the one given and all that were seen elsewhere. It returns
// the highest revision read.
func (v *View) watch(ctx context.Context, seen uint64, rnd *rand.Rand) uint64 {
	seen = max(seen, v.highest())
	result := v.watchOnce(ctx, seen, v.config.WatchTimeout, v.contact.recent(v.now()))
	if result.err != nil {
		pause(ctx, watchRetry/2+time.Duration(rnd.Int63n(int64(watchRetry))))
		return seen
	}
	if len(result.value) > 0 {
		v.contact.note(v.now())
	}
	v.deliver(ctx, event{platform: result})
	return max(seen, result.revision)
}

// highest returns the highest revision seen, accepted or refused.
func (v *View) highest() uint64 {
	highest := v.Revision()
	if r := v.refused.Load(); r != nil {
		highest = max(highest, r.revision)
	}
	return highest
}

func (v *View) wakeWatcher() {
	select {
	case v.read <- struct{}{}:
	default:
	}
}

// runLister reads the list of the VMs of this place, as often as the shared budget allows.
func (v *View) runLister(ctx context.Context, rnd *rand.Rand) {
	fleet := v.config.FleetSize
	pause(ctx, time.Duration(rnd.Int63n(int64(listInterval(0, fleet))+1)))
	for ctx.Err() == nil {
		if count := v.list(ctx); count > 0 {
			fleet = max(count*v.places(), 1)
		}
		interval := listInterval(v.config.ListInterval, fleet)
		pause(ctx, interval*3/4+time.Duration(rnd.Int63n(int64(interval)/2+1)))
	}
}

func listInterval(least time.Duration, fleet int) time.Duration {
	return max(least, time.Duration(fleet)*time.Second/listBudget)
}

func (v *View) places() int {
	if tree := v.Current(); tree != nil {
		return max(1, len(tree.Places))
	}
	return 1
}

func (v *View) list(ctx context.Context) int {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := v.config.Platform.ListVMs(callCtx, v.Identity().GetPlace())
	if err != nil {
		return 0
	}
	v.contact.note(v.now())
	listed := make([]membership.ListedVM, 0, len(vms))
	for _, vm := range vms {
		listed = append(listed, membership.ListedVM{
			Name:    vm.GetName(),
			Place:   vm.GetPlace(),
			Address: v.peerAddress(vm.GetAddress()),
			Role:    role(vm.GetRole()),
			Leaving: vm.GetState() == bramleyv1.VMState_VM_STATE_LEAVING,
		})
	}
	v.leaving.Store(v.listedLeaving(listed))
	v.deliver(ctx, event{listed: listed})
	return len(listed)
}

// listedLeaving reports whether the list names this VM as leaving.
func (v *View) listedLeaving(listed []membership.ListedVM) bool {
	own := v.Identity().GetPeerAddress()
	return slices.ContainsFunc(listed, func(vm membership.ListedVM) bool { return vm.Leaving && vm.Address == own })
}

// peerAddress completes an address without a port by the port that this process serves peers at.
func (v *View) peerAddress(address string) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return address
	}
	_, port, err := net.SplitHostPort(v.Identity().GetPeerAddress())
	if err != nil {
		return address
	}
	return net.JoinHostPort(address, port)
}

// relayJob is a value on its way to the children of this process.
type relayJob struct {
	value offered
	// base is the revision that was in force before; children that hold it need only a delta.
	base     *inForce
	children []string
}

func (v *View) enqueueRelay(job relayJob) {
	if len(job.children) == 0 {
		return
	}
	select {
	case v.relay <- job:
	default:
		v.dropped.Add(1)
	}
}

// runRelay hands values down the relay tree.
func (v *View) runRelay(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-v.relay:
			request := v.announcement(job)
			for _, child := range job.children {
				v.workers.Go(func() { v.announce(ctx, child, request) })
			}
		}
	}
}

// announcement returns what the children are told: a delta if it is small, or else a value that is
// small, or else only the revision, so that a child fetches the value when this node's budget allows.
func (v *View) announcement(job relayJob) *bramleyv1.AnnounceRequest {
	request := &bramleyv1.AnnounceRequest{
		From:          v.Identity(),
		Key:           v.config.Key,
		Revision:      job.value.revision,
		Depth:         job.value.depth + 1,
		RevisionAgeMs: v.ageMs(),
	}
	if delta := deltaTo(job.base, job.value.value); delta != nil && len(delta.GetInserted()) <= inlineBytes {
		request.Delta = delta
		return request
	}
	if compressed := compress(job.value.value); len(compressed) <= inlineBytes {
		request.Compressed = compressed
	}
	return request
}

// announce tells one child. A child that does not hear it learns of the revision by a heartbeat.
func (v *View) announce(ctx context.Context, child string, request *bramleyv1.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	client, err := v.config.Peers.Client(ctx, child)
	if err != nil {
		return
	}
	if _, err := client.Announce(ctx, request); err != nil {
		v.config.Event("announce_failed", "peer", child, "revision", request.GetRevision(), "error", err)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
