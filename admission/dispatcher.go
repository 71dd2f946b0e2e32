package admission

import (
	"math/rand"
	"time"
)

const (
	// retryBurst is the maximum number of unused retries. Without a burst, a server with little traffic
	// would earn too few retries to retry at all.
	retryBurst = 10
	// overloadSpread is the number of mean retry delays over which the retries of refused callers are
	// spread under overload.
	overloadSpread = 10
)

// Placement is the decision on where a request runs next.
type Placement uint8

const (
	// Refused means that the request is refused.
	Refused Placement = iota
	// Local means that the request holds a slot of the local upstream.
	Local
	// Delegated means that the request is delegated to a peer.
	Delegated
	// Queued means that the request waits for a slot.
	Queued
)

// Job holds the properties of a request that a Dispatcher needs.
type Job struct {
	ID       uint64
	Deadline time.Duration
	// LocalAllowed is set if the request may run on the upstream of this server.
	LocalAllowed bool
	// Retry is set if an earlier attempt of the request gave no final result.
	Retry bool
	// Tried holds the peers that the request has already been sent to.
	Tried map[uint32]bool
}

// Dispatcher decides where the requests of one server run: in a free local slot, otherwise at a peer
// with a free slot, otherwise in the local queue. It is not safe for concurrent use.
type Dispatcher struct {
	gate    *Gate
	retries *RetryBudget
	// earlyRetries limits how many refused callers are told to retry before their deadline.
	earlyRetries *RetryBudget
	inFlight     map[uint32]int
	// declinedUntil holds, for each peer that had no free slot, the time until which it gets no request.
	declinedUntil map[uint32]time.Duration
	rnd           *rand.Rand
}

// NewDispatcher returns a Dispatcher that uses the given gate. retryShare is the number of retries that
// each success earns.
func NewDispatcher(gate *Gate, retryShare float64, rnd *rand.Rand) *Dispatcher {
	return &Dispatcher{
		gate:          gate,
		retries:       NewRetryBudget(retryShare, retryBurst),
		earlyRetries:  NewRetryBudget(retryShare, retryBurst),
		inFlight:      make(map[uint32]int),
		declinedUntil: make(map[uint32]time.Duration),
		rnd:           rnd,
	}
}

// SetRetryShare changes the number of retries that each success earns.
func (d *Dispatcher) SetRetryShare(share float64) {
	d.retries.Share = share
	d.earlyRetries.Share = share
}

// Dispatch decides where a job runs. peers lists the peers that accept requests; Dispatch fills in their
// InFlight.
func (d *Dispatcher) Dispatch(now time.Duration, j Job, peers []Peer) (Placement, uint32) {
	if j.LocalAllowed && d.gate.TryRun(now, j.Deadline) {
		return Local, 0
	}
	if server, ok := d.choose(now, j, peers); ok && (!j.Retry || d.retries.Take()) {
		d.inFlight[server]++
		return Delegated, server
	}
	if j.LocalAllowed && d.gate.Admit(now, j.ID, j.Deadline) == Wait {
		return Queued, 0
	}
	return Refused, 0
}

func (d *Dispatcher) choose(now time.Duration, j Job, peers []Peer) (uint32, bool) {
	candidates := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if j.Tried[peer.Server] || now < d.declinedUntil[peer.Server] {
			continue
		}
		peer.InFlight = d.inFlight[peer.Server]
		candidates = append(candidates, peer)
	}
	return ChoosePeer(candidates, d.rnd)
}

// Returned records that a request sent to a peer has been answered, or that no answer will come.
func (d *Dispatcher) Returned(server uint32) {
	d.inFlight[server]--
	if d.inFlight[server] <= 0 {
		delete(d.inFlight, server)
	}
}

// Declined records that a peer had no free slot. The peer gets no further request for one mean service
// time, the time in which one of its slots is expected to become free.
func (d *Dispatcher) Declined(now time.Duration, server uint32) {
	d.declinedUntil[server] = now + d.gate.estimate.mean
}

// AcceptOffer records that a peer that had declined a request now has a free slot. It takes the next request,
// which is to be sent to that peer, from the queue.
func (d *Dispatcher) AcceptOffer(server uint32) (id uint64, ok bool) {
	delete(d.declinedUntil, server)
	id, ok = d.gate.Pop()
	if ok {
		d.inFlight[server]++
	}
	return id, ok
}

// Succeeded credits both retry budgets with one success.
func (d *Dispatcher) Succeeded() {
	d.retries.Success()
	d.earlyRetries.Success()
}

// RetryAfter returns the delay after which a refused caller should retry, given its remaining time and
// the mean delay. Only as many callers as the retry share allows are told to retry before their
// deadline; the others get a delay beyond it.
func (d *Dispatcher) RetryAfter(remaining, meanDelay time.Duration) time.Duration {
	wait := RetryAfter(d.gate.ExpectedWait(), meanDelay, d.rnd)
	if wait < remaining && d.earlyRetries.Take() {
		return wait
	}
	return max(remaining, 0) + RetryAfter(0, overloadSpread*meanDelay, d.rnd)
}

// RepeatAfter returns the delay after which a caller should repeat a request if that adds no new work to
// this server, for example because the request has already run.
func (d *Dispatcher) RepeatAfter(meanDelay time.Duration) time.Duration {
	return RetryAfter(0, meanDelay, d.rnd)
}
