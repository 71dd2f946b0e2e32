package request

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyrack/bramleyrack/admission"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/settings"
	"github.com/bramleyrack/bramleyrack/ticket"
)

// ownerID identifies an owner of tickets, which is one incarnation of a server.
type ownerID struct {
	server      uint32
	incarnation uint64
}

type (
	ledger  = ticket.Ledger[*bramleyv1.CallResponse]
	archive = ticket.Archive[*bramleyv1.CallResponse]
	verdict = ticket.Verdict[*bramleyv1.CallResponse]
	record  = ticket.Record[*bramleyv1.CallResponse]
)

// adoptedRecords holds the ticket records of an owner that has left.
type adoptedRecords struct {
	adoptedAt time.Time
	archive   *archive
}

// core is the state of an executor. It is accessed only from the loop, starts no goroutine and reads no clock.
type core struct {
	startedAt time.Time
	// now is the time at which the current command started; the loop reads the clock once for each command.
	now        time.Time
	policy     settings.Policy
	sealer     *ticket.Sealer
	ledger     *ledger
	adopted    map[ownerID]*adoptedRecords
	gate       *admission.Gate
	dispatcher *admission.Dispatcher
	// slotFreed is set if the current command has freed a slot.
	slotFreed bool
	// declinedPeers holds the peers whose delegated requests found no free slot here, longest waiting first.
	declinedPeers  []uint32
	jobs           map[uint64]*job
	jobsBySequence map[uint64]*job
	nextID         uint64
	// draining is set once a drain or an export has begun. No further request is admitted to the local upstream.
	draining bool
	// startsBlocked is set once the drain is complete or a successor may hold the records. No further request starts.
	startsBlocked bool
	// accepting is set while the local upstream may receive new requests.
	accepting bool
	// viewUnconfirmed is set after a pause until the view of settings and peers is confirmed.
	viewUnconfirmed   bool
	upstreamStartedAt time.Time
}

func newCore(c Config, sealer *ticket.Sealer, now time.Time) *core {
	policy := c.Policy()
	gate := admission.NewGate(admission.Config{
		Slots:              admission.SlowStart(policy.Slots, 0, policy.SlowStart),
		QueueLength:        policy.QueueLength,
		InitialServiceTime: initialServiceTime,
	})
	return &core{
		startedAt: now,
		now:       now,
		policy:    policy,
		sealer:    sealer,
		ledger: ticket.NewLedger[*bramleyv1.CallResponse](ticket.Config{
			Service:        c.Service,
			Server:         c.Server,
			Incarnation:    c.Incarnation,
			Lifetime:       policy.TicketLifetime,
			AnswerLifetime: policy.RecordLifetime,
			AnswerBytes:    policy.RecordBytes,
			Window:         c.Window,
		}),
		adopted:           make(map[ownerID]*adoptedRecords),
		gate:              gate,
		dispatcher:        admission.NewDispatcher(gate, policy.RetryBudget, c.Rand),
		jobs:              make(map[uint64]*job),
		jobsBySequence:    make(map[uint64]*job),
		accepting:         true,
		upstreamStartedAt: now,
	}
}

// age returns the time since the executor started, which is the time base of tickets and deadlines.
func (c *core) age() time.Duration {
	return c.now.Sub(c.startedAt)
}

// ageAt converts an absolute time to an age of the executor.
func (c *core) ageAt(at time.Time) time.Duration {
	return at.Sub(c.startedAt)
}

// tick applies policy changes and the progress of the slow start, and expires adopted records.
func (c *core) tick(policy settings.Policy) {
	c.policy = policy
	c.expireAdopted()
	c.dispatcher.SetRetryShare(policy.RetryBudget)
	c.ledger.SetLimits(policy.TicketLifetime, policy.RecordLifetime, policy.RecordBytes)
	slots := admission.SlowStart(policy.Slots, c.now.Sub(c.upstreamStartedAt), policy.SlowStart)
	c.applyChange(c.gate.SetLimits(c.age(), slots, policy.QueueLength))
}

// mint returns a sealed ticket, or nil if this owner accepts no new requests.
func (c *core) mint() []byte {
	if c.draining || !c.accepting {
		return nil
	}
	return c.sealer.Seal(c.ledger.Mint(c.age()))
}

// retryAfter returns the retry delay of a refused caller with the given remaining time. The retry budget covers only
// retries that add work: those of a request that did not run, for example for lack of a slot, unless this server accepts
// no new requests. Any other retry gets a random delay around the policy's.
func (c *core) retryAfter(outcome bramleyv1.Outcome, remaining time.Duration) time.Duration {
	if outcome == bramleyv1.Outcome_OUTCOME_NOT_RUN && c.accepting && !c.draining {
		return c.dispatcher.RetryAfter(remaining, c.policy.RetryAfter)
	}
	return c.dispatcher.RepeatAfter(c.policy.RetryAfter)
}

// claim looks up a ticket of this owner and claims it if it is unused. It returns a new job for an unused ticket, the
// existing job for a copy of a request in progress, and otherwise no job.
func (c *core) claim(t ticket.Ticket, req *bramleyv1.CallRequest) (verdict, *job) {
	v := c.ledger.Claim(c.age(), t, fingerprint(req))
	switch v.State {
	case ticket.StateFresh:
		if c.startsBlocked {
			c.ledger.NotRun(t.Sequence)
			return verdict{State: ticket.StateNotRun}, nil
		}
		j := c.newJob(req)
		j.ticketed = true
		j.sequence = t.Sequence
		c.jobsBySequence[t.Sequence] = j
		return v, j
	case ticket.StateClaimed:
		j := c.jobsBySequence[t.Sequence]
		j.callers++
		return v, j
	}
	return v, nil
}

func (c *core) newJob(req *bramleyv1.CallRequest) *job {
	c.nextID++
	j := &job{
		id:         c.nextID,
		req:        req,
		callers:    1,
		grant:      make(chan decision, 1),
		done:       make(chan struct{}),
		triedPeers: make(map[uint32]bool),
	}
	c.jobs[j.id] = j
	return j
}

// removeCaller removes one caller from a job and returns the outcome for that caller. When the last caller leaves,
// the job is canceled, and if it has not started it never starts.
func (c *core) removeCaller(j *job) bramleyv1.Outcome {
	j.callers--
	if j.callers > 0 {
		return bramleyv1.Outcome_OUTCOME_RUNNING
	}
	j.cancel()
	j.abandoned = true
	if j.started {
		return bramleyv1.Outcome_OUTCOME_UNKNOWN
	}
	c.gate.Cancel(j.id)
	return bramleyv1.Outcome_OUTCOME_NOT_RUN
}

// finish records the result of a job and wakes its callers.
func (c *core) finish(j *job, r result) {
	delete(c.jobs, j.id)
	if r.answer != nil {
		c.dispatcher.Succeeded()
	}
	if j.ticketed {
		delete(c.jobsBySequence, j.sequence)
		c.recordResult(j, r)
	}
	j.result = r
	j.finished = true
	close(j.done)
}

func (c *core) recordResult(j *job, r result) {
	switch {
	case r.answer != nil:
		c.ledger.Answer(c.age(), j.sequence, r.answer, proto.Size(r.answer))
	case r.outcome == bramleyv1.Outcome_OUTCOME_NOT_RUN:
		c.ledger.NotRun(j.sequence)
	case r.outcome == bramleyv1.Outcome_OUTCOME_FAILED:
		c.ledger.Ran(j.sequence)
	default:
		c.ledger.Undecided(j.sequence)
	}
}

// applyChange notifies the queued jobs that the gate has started or shed.
func (c *core) applyChange(change admission.Change) {
	for _, id := range change.Shed {
		c.jobs[id].grant <- decision{reason: noSlotReason(true)}
	}
	for _, id := range change.Start {
		c.start(c.jobs[id])
	}
}

func (c *core) start(j *job) {
	if reason := c.startRefusal(j); reason != "" {
		j.grant <- decision{reason: reason}
		c.applyChange(c.gate.Release(c.age()))
		return
	}
	c.markPlacedLocally(j)
	j.grant <- decision{place: admission.Local}
}

// release frees the slot of a job that held it for the given service time. The time of a job without a valid answer
// does not enter the service time estimate.
func (c *core) release(serviceTime time.Duration, answered bool) {
	c.slotFreed = true
	if answered {
		c.applyChange(c.gate.Done(c.age(), serviceTime))
		return
	}
	c.applyChange(c.gate.Release(c.age()))
}

// cancelAll cancels the contexts of all jobs, which ends their goroutines.
func (c *core) cancelAll() {
	for _, j := range c.jobs {
		j.cancel()
	}
}

func (c *core) load() *bramleyv1.Load {
	return &bramleyv1.Load{
		BusySlots: uint32(c.gate.Busy()),
		Slots:     uint32(c.gate.Slots()),
		Queued:    uint32(c.gate.Waiting()),
	}
}
