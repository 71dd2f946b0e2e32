package admission

import (
	"math/rand"
	"time"
)

const (
	// retryBurst is how many retries may be saved up, so that a quiet server can retry at all.
	retryBurst = 10
	// overloadSpread is how many mean retry times the callers of an overload are spread over.
	overloadSpread = 10
)

// Placement says where a request runs next.
type Placement uint8

const (
	// Refused means that the request is refused.
	Refused Placement = iota
	// Local means that the request holds a slot of the upstream.
	Local
	// Delegated means that a peer is asked to run the request.
	Delegated
	// Queued means that the request waits for a slot.
	Queued
)

// Job is what a Dispatcher needs to know about a request.
type Job struct {
	ID       uint64
	Deadline time.Duration
	// Local allows the upstream beside the server.
	Local bool
	// Retry is set when the request has been started before and did not run.
	Retry bool
	// Tried holds the peers that have been asked before.
	Tried map[uint32]bool
}

// Dispatcher decides where the requests of one server run: in a free slot, else at a peer with a free slot,
// else in the queue. It is not safe for concurrent use.
type Dispatcher struct {
	gate        *Gate
	retries     *RetryBudget
	invitations *RetryBudget
	inFlight    map[uint32]int
	// declined holds the time until which a peer that had no free slot is left alone.
	declined map[uint32]time.Duration
	rnd      *rand.Rand
}

// NewDispatcher returns a dispatcher over a gate. The retry share is how many retries each success allows.
func NewDispatcher(gate *Gate, retryShare float64, rnd *rand.Rand) *Dispatcher {
	return &Dispatcher{
		gate:        gate,
		retries:     NewRetryBudget(retryShare, retryBurst),
		invitations: NewRetryBudget(retryShare, retryBurst),
		inFlight:    make(map[uint32]int),
		declined:    make(map[uint32]time.Duration),
		rnd:         rnd,
	}
}

// SetRetryShare changes how many retries each success allows.
func (d *Dispatcher) SetRetryShare(share float64) {
	d.retries.Share = share
	d.invitations.Share = share
}

// Dispatch decides about a job. The peers are those that accept work; their InFlight is filled in here.
func (d *Dispatcher) Dispatch(now time.Duration, j Job, peers []Peer) (Placement, uint32) {
	if j.Local && d.gate.TryRun(now, j.Deadline) {
		return Local, 0
	}
	if server, ok := d.choose(now, j, peers); ok && (!j.Retry || d.retries.Take()) {
		d.inFlight[server]++
		return Delegated, server
	}
	if j.Local && d.gate.Admit(now, j.ID, j.Deadline) == Wait {
		return Queued, 0
	}
	return Refused, 0
}

func (d *Dispatcher) choose(now time.Duration, j Job, peers []Peer) (uint32, bool) {
	candidates := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if j.Tried[peer.Server] || now < d.declined[peer.Server] {
			continue
		}
		peer.InFlight = d.inFlight[peer.Server]
		candidates = append(candidates, peer)
	}
	return Choose(candidates, d.rnd)
}

// Returned tells that a peer has answered, or will not.
func (d *Dispatcher) Returned(server uint32) {
	d.inFlight[server]--
	if d.inFlight[server] <= 0 {
		delete(d.inFlight, server)
	}
}

// Declined tells that a peer had no free slot. It is asked again after the time that one of its slots takes to
// become free.
func (d *Dispatcher) Declined(now time.Duration, server uint32) {
	d.declined[server] = now + d.gate.estimate.mean
}

// Freed tells that a peer that declined has a free slot now. It returns the waiting request to ask it for.
func (d *Dispatcher) Freed(server uint32) (id uint64, ok bool) {
	delete(d.declined, server)
	id, ok = d.gate.Pop()
	if ok {
		d.inFlight[server]++
	}
	return id, ok
}

// Succeeded adds the retries that a success allows.
func (d *Dispatcher) Succeeded() {
	d.retries.Success()
	d.invitations.Success()
}

// RetryAfter returns when a refused caller with the given time left should come back. Only as many callers
// as the retry share allows are invited within that time; the others are sent away beyond it.
func (d *Dispatcher) RetryAfter(left, mean time.Duration) time.Duration {
	wait := RetryAfter(d.gate.ExpectedWait(), mean, d.rnd)
	if wait < left && d.invitations.Take() {
		return wait
	}
	return max(left, 0) + RetryAfter(0, overloadSpread*mean, d.rnd)
}

// RepeatAfter returns when a caller should ask again about work that is not new to the service.
func (d *Dispatcher) RepeatAfter(mean time.Duration) time.Duration {
	return RetryAfter(0, mean, d.rnd)
}
