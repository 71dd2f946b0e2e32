package request

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyrack/bramleyrack/admission"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/settings"
	"github.com/bramleyrack/bramleyrack/ticket"
)

// source names the owner incarnation of adopted records.
type source struct {
	server      uint32
	incarnation uint64
}

type (
	ledger  = ticket.Ledger[*bramleyv1.CallResponse]
	archive = ticket.Archive[*bramleyv1.CallResponse]
	verdict = ticket.Verdict[*bramleyv1.CallResponse]
	record  = ticket.Record[*bramleyv1.CallResponse]
)

// adopted is the memory of an owner that has left.
type adopted struct {
	at      time.Time
	records *archive
}

// core is the state of an executor. Only the loop touches it; it starts no goroutine and reads no clock.
type core struct {
	started time.Time
	// now is the one reading of the clock that the command in progress goes by.
	now        time.Time
	policy     settings.Policy
	sealer     *ticket.Sealer
	ledger     *ledger
	archives   map[source]*adopted
	gate       *admission.Gate
	dispatcher *admission.Dispatcher
	// freed is set when the command in progress has freed a slot.
	freed bool
	// asked holds the peers whose requests found no free slot, the earliest first.
	asked    []uint32
	jobs     map[uint64]*job
	bySeq    map[uint64]*job
	nextID   uint64
	draining bool
	// sealed is set when the drain has ended or a successor may have the records: nothing starts from then on.
	sealed    bool
	accepting bool
	suspect   bool
	warmSince time.Time
}

func newCore(c Config, sealer *ticket.Sealer, now time.Time) *core {
	policy := c.Policy()
	gate := admission.NewGate(admission.Config{
		Slots:              admission.SlowStart(policy.Slots, 0, policy.SlowStart),
		QueueLength:        policy.QueueLength,
		InitialServiceTime: defaultServiceTime,
	})
	return &core{
		started: now,
		now:     now,
		policy:  policy,
		sealer:  sealer,
		ledger: ticket.NewLedger[*bramleyv1.CallResponse](ticket.Config{
			Service:        c.Service,
			Server:         c.Server,
			Incarnation:    c.Incarnation,
			Lifetime:       policy.TicketLifetime,
			AnswerLifetime: policy.RecordLifetime,
			AnswerBytes:    policy.RecordBytes,
			Window:         c.Window,
		}),
		archives:   make(map[source]*adopted),
		gate:       gate,
		dispatcher: admission.NewDispatcher(gate, policy.RetryBudget, c.Rand),
		jobs:       make(map[uint64]*job),
		bySeq:      make(map[uint64]*job),
		accepting:  true,
		warmSince:  now,
	}
}

// age returns the time since the start.
func (c *core) age() time.Duration {
	return c.now.Sub(c.started)
}

// since returns a time as an age.
func (c *core) since(at time.Time) time.Duration {
	return at.Sub(c.started)
}

// tick takes a change of policy and the progress of the slow start into account.
func (c *core) tick(policy settings.Policy) {
	c.policy = policy
	c.forget()
	c.dispatcher.SetRetryShare(policy.RetryBudget)
	c.ledger.SetLimits(policy.TicketLifetime, policy.RecordLifetime, policy.RecordBytes)
	slots := admission.SlowStart(policy.Slots, c.now.Sub(c.warmSince), policy.SlowStart)
	c.apply(c.gate.SetLimits(c.age(), slots, policy.QueueLength))
}

// mint returns a sealed ticket, or nil when this owner starts no more requests.
func (c *core) mint() []byte {
	if c.draining || !c.accepting {
		return nil
	}
	return c.sealer.Seal(c.ledger.Mint(c.age()))
}

// retryAfter returns when a refused caller with the given time left should come back. Only a request that
// did not run for want of a slot is new work for this server when it returns.
func (c *core) retryAfter(outcome bramleyv1.Outcome, left time.Duration) time.Duration {
	if outcome == bramleyv1.Outcome_OUTCOME_NOT_RUN && c.accepting && !c.draining {
		return c.dispatcher.RetryAfter(left, c.policy.RetryAfter)
	}
	return c.dispatcher.RepeatAfter(c.policy.RetryAfter)
}

// claim presents a ticket of this owner. The job is set for a fresh ticket, and for a copy of a request
// that is still in progress.
func (c *core) claim(t ticket.Ticket, req *bramleyv1.CallRequest) (verdict, *job) {
	v := c.ledger.Claim(c.age(), t, fingerprint(req))
	switch v.State {
	case ticket.StateFresh:
		if c.sealed {
			c.ledger.NotRun(t.Sequence)
			return verdict{State: ticket.StateNotRun}, nil
		}
		j := c.newJob(req)
		j.ticketed = true
		j.sequence = t.Sequence
		c.bySeq[t.Sequence] = j
		return v, j
	case ticket.StateClaimed:
		j := c.bySeq[t.Sequence]
		j.callers++
		return v, j
	}
	return v, nil
}

func (c *core) newJob(req *bramleyv1.CallRequest) *job {
	c.nextID++
	j := &job{
		id:      c.nextID,
		req:     req,
		callers: 1,
		grant:   make(chan decision, 1),
		done:    make(chan struct{}),
		tried:   make(map[uint32]bool),
	}
	c.jobs[j.id] = j
	return j
}

// leave takes one caller of a job away. The last caller abandons the job: one that has not started never
// will, and one that has started is canceled. It returns what is then true for the caller.
func (c *core) leave(j *job) bramleyv1.Outcome {
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

// finish records how a job ended and wakes its callers.
func (c *core) finish(j *job, r result) {
	delete(c.jobs, j.id)
	if r.answer != nil {
		c.dispatcher.Succeeded()
	}
	if j.ticketed {
		delete(c.bySeq, j.sequence)
		c.settle(j, r)
	}
	j.result = r
	j.finished = true
	close(j.done)
}

func (c *core) settle(j *job, r result) {
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

// apply tells waiting jobs what a change of the gate means for them.
func (c *core) apply(change admission.Change) {
	for _, id := range change.Shed {
		c.jobs[id].grant <- decision{reason: refusalReason(true)}
	}
	for _, id := range change.Start {
		c.start(c.jobs[id])
	}
}

func (c *core) start(j *job) {
	if reason := c.forbidden(j); reason != "" {
		j.grant <- decision{reason: reason}
		c.apply(c.gate.Release(c.age()))
		return
	}
	c.placedHere(j)
	j.grant <- decision{place: admission.Local}
}

// release frees the slot of a job that the upstream has run for took.
func (c *core) release(took time.Duration, whole bool) {
	c.freed = true
	if whole {
		c.apply(c.gate.Done(c.age(), took))
		return
	}
	c.apply(c.gate.Release(c.age()))
}

// cancelAll ends the goroutines of the jobs.
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
