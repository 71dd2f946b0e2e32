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
	// A connection that does not answer a heartbeat within heartbeatTimeout is replaced.
	heartbeatTimeout = time.Second
	// fetchTimeout limits one fetch from a peer, including the delay by the peer's rate limit.
	fetchTimeout = 5 * time.Second
	// maxFetchDelay limits how long the rate limit may delay the answer to a fetch.
	maxFetchDelay   = 2 * time.Second
	announceTimeout = 5 * time.Second
	// platformTimeout limits one Get or ListVMs call to the platform.
	platformTimeout = 3 * time.Second
	// repairWatchTimeout is how long a repair waits for a newer revision from the platform.
	repairWatchTimeout = 500 * time.Millisecond
	// recentContactWindow is how long after an answer the platform counts as reachable, so that a watch
	// that times out confirms that there is no newer revision.
	recentContactWindow = 30 * time.Second
	// watchRetryDelay is the mean delay after a failed watch.
	watchRetryDelay = 500 * time.Millisecond
	// listCallsPerSecond is the share of the platform's call budget that reads of the list of VMs
	// may use, for all processes together.
	listCallsPerSecond = 400
)

// heartbeatResult is the result of a heartbeat that this process sent.
type heartbeatResult struct {
	address   string
	heartbeat *receivedHeartbeat
	err       error
}

func (v *View) startHeartbeat(ctx context.Context, address string) {
	v.workers.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		heartbeat, err := v.sendHeartbeat(callCtx, address)
		v.deliver(ctx, event{heartbeatResult: &heartbeatResult{address: address, heartbeat: heartbeat, err: err}})
	})
}

func (v *View) sendHeartbeat(ctx context.Context, address string) (*receivedHeartbeat, error) {
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
	return heartbeatFromResponse(response), nil
}

// deliver, unlike post, blocks instead of dropping the event, because the event loop starts the next
// call only after it has the result.
func (v *View) deliver(ctx context.Context, e event) {
	select {
	case v.events <- e:
	case <-ctx.Done():
	}
}

type fetchResult struct {
	address  string
	response *bramleyv1.FetchResponse
	err      error
}

func (v *View) startFetch(ctx context.Context, address string, above uint64) {
	v.workers.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		result := &fetchResult{address: address}
		client, err := v.config.Peers.Client(callCtx, address)
		if err == nil {
			request := &bramleyv1.FetchRequest{Key: v.config.Key, AboveRevision: above}
			result.response, err = client.Fetch(callCtx, request)
		}
		result.err = err
		v.deliver(ctx, event{fetchResult: result})
	})
}

// platformResult is the result of a read or watch of the platform.
type platformResult struct {
	revision uint64
	value    []byte
	err      error
	// repair is set if the follower requested the read.
	repair bool
}

// startPlatformRead reads the whole value if the view is unconfirmed. Otherwise it only asks for a
// newer value.
func (v *View) startPlatformRead(ctx context.Context, seen uint64, whole bool) {
	v.workers.Go(func() {
		result := v.readPlatform(ctx, seen, whole)
		result.repair = true
		v.deliver(ctx, event{platformResult: result})
	})
}

func (v *View) readPlatform(ctx context.Context, seen uint64, whole bool) *platformResult {
	if !whole && seen > 0 {
		return v.watchOnce(ctx, seen, repairWatchTimeout, false)
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	response, err := v.config.Platform.Get(ctx, v.config.Key)
	if err != nil {
		return &platformResult{err: err}
	}
	return &platformResult{revision: response.GetRevision(), value: response.GetValue()}
}

// watchOnce waits for a newer value. If timeoutConfirms is set, a timeout counts as the answer that
// the highest seen revision is the newest one.
func (v *View) watchOnce(ctx context.Context, seen uint64, timeout time.Duration, timeoutConfirms bool) *platformResult {
	watchCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := v.config.Platform.Watch(watchCtx, v.config.Key, seen)
	if err == nil {
		return &platformResult{revision: response.GetRevision(), value: response.GetValue()}
	}
	if timeoutConfirms && watchCtx.Err() != nil && ctx.Err() == nil {
		return &platformResult{revision: seen}
	}
	return &platformResult{err: err}
}

// lastContact is the time at which the platform last returned a list of VMs, or a value to a watch.
type lastContact struct {
	nanoseconds atomic.Int64
}

func (c *lastContact) record(now time.Duration) {
	c.nanoseconds.Store(int64(now))
}

func (c *lastContact) recent(now time.Duration) bool {
	last := c.nanoseconds.Load()
	return last != 0 && now-time.Duration(last) < recentContactWindow
}

// runWatcher watches the platform while this process is a reader.
func (v *View) runWatcher(ctx context.Context, rnd *rand.Rand) {
	var seen uint64
	for ctx.Err() == nil {
		if !v.IsReader() {
			select {
			case <-v.readerWake:
			case <-ctx.Done():
			}
			continue
		}
		seen = v.watch(ctx, seen, rnd)
	}
}

// watch waits once for a revision above seen and above every revision received from elsewhere. It
// returns the highest revision read.
func (v *View) watch(ctx context.Context, seen uint64, rnd *rand.Rand) uint64 {
	seen = max(seen, v.highestValidated())
	result := v.watchOnce(ctx, seen, v.config.WatchTimeout, v.platformContact.recent(v.now()))
	if result.err != nil {
		sleep(ctx, watchRetryDelay/2+time.Duration(rnd.Int63n(int64(watchRetryDelay))))
		return seen
	}
	if len(result.value) > 0 {
		v.platformContact.record(v.now())
	}
	v.deliver(ctx, event{platformResult: result})
	return max(seen, result.revision)
}

// highestValidated returns the higher of the current and the refused revision.
func (v *View) highestValidated() uint64 {
	highest := v.Revision()
	if r := v.refused.Load(); r != nil {
		highest = max(highest, r.revision)
	}
	return highest
}

func (v *View) wakeWatcher() {
	select {
	case v.readerWake <- struct{}{}:
	default:
	}
}

// runLister periodically reads the list of the VMs of this place, as often as the shared call
// budget allows.
func (v *View) runLister(ctx context.Context, rnd *rand.Rand) {
	fleet := v.config.FleetSize
	sleep(ctx, time.Duration(rnd.Int63n(int64(listInterval(0, fleet))+1)))
	for ctx.Err() == nil {
		if count := v.listVMs(ctx); count > 0 {
			fleet = max(count*v.places(), 1)
		}
		interval := listInterval(v.config.ListInterval, fleet)
		sleep(ctx, interval*3/4+time.Duration(rnd.Int63n(int64(interval)/2+1)))
	}
}

func listInterval(minimum time.Duration, fleet int) time.Duration {
	return max(minimum, time.Duration(fleet)*time.Second/listCallsPerSecond)
}

func (v *View) places() int {
	if tree := v.Current(); tree != nil {
		return max(1, len(tree.Places))
	}
	return 1
}

func (v *View) listVMs(ctx context.Context) int {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := v.config.Platform.ListVMs(callCtx, v.Identity().GetPlace())
	if err != nil {
		return 0
	}
	v.platformContact.record(v.now())
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
	v.deliver(ctx, event{vms: listed})
	return len(listed)
}

func (v *View) listedLeaving(listed []membership.ListedVM) bool {
	own := v.Identity().GetPeerAddress()
	return slices.ContainsFunc(listed, func(vm membership.ListedVM) bool { return vm.Leaving && vm.Address == own })
}

// peerAddress returns the address with a port. If the address has none, it adds the port on which
// this process serves peers.
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

// relayJob is a value to announce to the children of this process.
type relayJob struct {
	received receivedValue
	// base is the revision that was current when the value was received. Children that hold it need
	// only a delta.
	base     *appliedRevision
	children []string
}

func (v *View) enqueueRelay(job relayJob) {
	if len(job.children) == 0 {
		return
	}
	select {
	case v.relayJobs <- job:
	default:
		v.dropped.Add(1)
	}
}

func (v *View) runRelay(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-v.relayJobs:
			request := v.announcement(job)
			for _, child := range job.children {
				v.workers.Go(func() { v.announce(ctx, child, request) })
			}
		}
	}
}

// announcement returns the message for the children. It carries a delta if one is small enough, or
// else the compressed value if that is small enough. Otherwise it carries only the revision, and
// each child fetches the value when the rate limit of this process allows.
func (v *View) announcement(job relayJob) *bramleyv1.AnnounceRequest {
	request := &bramleyv1.AnnounceRequest{
		From:          v.Identity(),
		Key:           v.config.Key,
		Revision:      job.received.revision,
		Depth:         job.received.depth + 1,
		RevisionAgeMs: v.ageMs(),
	}
	if delta := newDelta(job.base, job.received.value); delta != nil && len(delta.GetInserted()) <= maxInlineBytes {
		request.Delta = delta
		return request
	}
	if compressed := compress(job.received.value); len(compressed) <= maxInlineBytes {
		request.Compressed = compressed
	}
	return request
}

// announce does not retry: a child that misses the announcement learns of the revision from a heartbeat.
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
