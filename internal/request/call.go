package request

import (
	"context"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/ticket"
)

const (
	// replyTimeDivisor sets the time reserved for returning the answer: one twentieth of the time that remains until
	// the deadline.
	replyTimeDivisor = 20
	// maxReplyTime limits the time reserved for returning the answer.
	maxReplyTime = 50 * time.Millisecond
)

// Call serves a request from a caller and returns either an answer or a refusal. The other value is nil.
func (e *Executor) Call(ctx context.Context, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, *bramleyv1.Refusal) {
	ctx, cancel := e.reserveReplyTime(ctx)
	defer cancel()
	r, replayed := e.serve(ctx, req)
	if r.answer != nil {
		return e.callResponse(r.answer, replayed), nil
	}
	return nil, e.refuse(ctx, r)
}

// reserveReplyTime shortens the deadline of ctx so that the answer can reach the caller before the original deadline.
// A context without a deadline gets the configured default.
func (e *Executor) reserveReplyTime(ctx context.Context) (context.Context, context.CancelFunc) {
	remaining := e.config.Deadline
	if deadline, ok := ctx.Deadline(); ok {
		remaining = deadline.Sub(e.config.Now())
	}
	return context.WithTimeout(ctx, remaining-min(remaining/replyTimeDivisor, maxReplyTime))
}

func (e *Executor) serve(ctx context.Context, req *bramleyv1.CallRequest) (r result, replayed bool) {
	if req.GetIdempotent() {
		return e.runIdempotent(ctx, req), false
	}
	if len(req.GetTicket()) == 0 {
		return result{outcome: bramleyv1.Outcome_OUTCOME_NOT_RUN, reason: "request carries no ticket", retryImmediately: true}, false
	}
	t, err := e.sealer.Open(req.GetTicket())
	if err != nil || t.Service != e.config.Service {
		return unknown("ticket can not be verified"), false
	}
	if e.owns(t) {
		return e.runOwned(ctx, req, t)
	}
	if v := e.findAdopted(ctx, req, t); v.State != ticket.StateUnknown {
		return fromVerdict(v)
	}
	return e.forward(ctx, req, t)
}

func (e *Executor) owns(t ticket.Ticket) bool {
	return t.Server == e.config.Server && t.Incarnation == e.config.Incarnation
}

// runOwned runs a request whose ticket this executor owns. A copy joins the running request or gets the recorded
// result.
func (e *Executor) runOwned(ctx context.Context, req *bramleyv1.CallRequest, t ticket.Ticket) (result, bool) {
	var v verdict
	var j *job
	err := e.do(ctx, func(c *core) {
		v, j = c.claim(t, req)
		if v.State == ticket.StateFresh {
			e.launch(ctx, j)
		}
	})
	switch {
	case err != nil:
		return refused(bramleyv1.Outcome_OUTCOME_NOT_DELIVERED, "server is overloaded or stopping"), false
	case j == nil:
		return fromVerdict(v)
	}
	return e.wait(ctx, j), v.State == ticket.StateClaimed
}

func (e *Executor) runIdempotent(ctx context.Context, req *bramleyv1.CallRequest) result {
	var j *job
	err := e.do(ctx, func(c *core) {
		if c.startsBlocked {
			return
		}
		j = c.newJob(req)
		e.launch(ctx, j)
	})
	if err != nil || j == nil {
		return notRun("server is overloaded or stopping")
	}
	return e.wait(ctx, j)
}

// launch starts the goroutine that executes a job. The job is detached from the first caller's context, so that it
// keeps running, up to that caller's deadline, while other callers wait for the result.
func (e *Executor) launch(ctx context.Context, j *job) {
	j.deadline, _ = ctx.Deadline()
	jobCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	j.cancel = cancel
	go e.execute(jobCtx, j)
}

// wait returns the result of a job. If the caller's context ends first, it returns what is known about the job at
// that moment.
func (e *Executor) wait(ctx context.Context, j *job) result {
	select {
	case <-j.done:
		return j.result
	case <-e.stopped:
		return stoppedResult(j)
	case <-ctx.Done():
		return e.giveUp(ctx, j)
	}
}

func stoppedResult(j *job) result {
	select {
	case <-j.done:
		return j.result
	default:
		return unknown("server has stopped")
	}
}

func (e *Executor) giveUp(ctx context.Context, j *job) result {
	outcome := bramleyv1.Outcome_OUTCOME_UNKNOWN
	finished := false
	_ = e.do(context.Background(), func(c *core) {
		if finished = j.finished; !finished {
			outcome = c.removeCaller(j)
		}
	})
	switch {
	case finished:
		return j.result
	case outcome == bramleyv1.Outcome_OUTCOME_NOT_RUN:
		return notRun("caller gave up before the request started")
	case outcome == bramleyv1.Outcome_OUTCOME_RUNNING:
		return refused(outcome, "a copy of the request is running")
	}
	return abandonedResult(ctx)
}

// fromVerdict converts the recorded state of a ticket to the result of a repeated request.
func fromVerdict(v verdict) (r result, replayed bool) {
	switch v.State {
	case ticket.StateAnswered:
		return result{answer: v.Answer}, true
	case ticket.StateNotRun:
		return notRun("the ticket was refused before"), false
	case ticket.StateRan:
		return refused(bramleyv1.Outcome_OUTCOME_ALREADY_RUN, "the request ran and its answer is no longer held"), false
	case ticket.StateUndecided:
		return unknown("an earlier copy was started and its outcome is not known"), false
	case ticket.StateMismatch:
		return unknown("the ticket was spent on another request"), false
	}
	return unknown("the ticket is no longer remembered"), false
}

// callResponse returns the response for the caller, with a fresh ticket for its next request.
func (e *Executor) callResponse(answer *bramleyv1.CallResponse, replayed bool) *bramleyv1.CallResponse {
	var next []byte
	_ = e.do(context.Background(), func(c *core) { next = c.mint() })
	return &bramleyv1.CallResponse{
		RequestId:  answer.GetRequestId(),
		Body:       answer.GetBody(),
		Digest:     answer.GetDigest(),
		NextTicket: next,
		Replayed:   replayed || answer.GetReplayed(),
		Upstream:   answer.GetUpstream(),
	}
}

// refuse returns the refusal for the caller, with a fresh ticket and the retry delay.
func (e *Executor) refuse(ctx context.Context, r result) *bramleyv1.Refusal {
	var next []byte
	var retryAfter time.Duration
	_ = e.do(context.Background(), func(c *core) {
		next = c.mint()
		if !r.retryImmediately {
			deadline, _ := ctx.Deadline()
			retryAfter = c.retryAfter(r.outcome, deadline.Sub(c.now))
		}
	})
	return &bramleyv1.Refusal{
		Outcome:      r.outcome,
		RetryAfterMs: milliseconds(retryAfter),
		NextTicket:   next,
		Reason:       r.reason,
	}
}
