package request

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/bramleyrack/bramleyrack/admission"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// silencePollInterval is the interval at which a request that waits for a peer checks whether heartbeats of the peer
// still arrive.
const silencePollInterval = 250 * time.Millisecond

// execute runs a job and records its result.
func (e *Executor) execute(ctx context.Context, j *job) {
	defer j.cancel()
	r := e.runAttempts(ctx, j)
	_ = e.do(context.Background(), func(c *core) { c.finish(j, r) })
}

// runAttempts places and runs the job until an attempt gives a final result or no server accepts it, and returns the
// result of the last attempt, if there was one.
func (e *Executor) runAttempts(ctx context.Context, j *job) result {
	last := notRun("server has stopped")
	for first := true; ; first = false {
		d, err := e.placeJob(ctx, j)
		if err != nil {
			return last
		}
		if d.place == admission.Refused {
			if first {
				return notRun(d.reason)
			}
			return last
		}
		last = e.attempt(ctx, j, d)
		if !retryable(j.req, last) {
			return last
		}
	}
}

// retryable reports whether it is safe to run the request again.
func retryable(req *bramleyv1.CallRequest, r result) bool {
	if r.answer != nil || r.outcome == bramleyv1.Outcome_OUTCOME_FAILED {
		return false
	}
	return req.GetIdempotent() || r.provesNotRun()
}

func (e *Executor) attempt(ctx context.Context, j *job, d decision) result {
	if d.place == admission.Delegated {
		return e.delegate(ctx, j, d.server)
	}
	return e.runLocally(ctx, j.req, j.grantedAt)
}

// placeJob decides where the job runs. If the job is queued, it waits for a slot, a peer or a refusal.
func (e *Executor) placeJob(ctx context.Context, j *job) (decision, error) {
	var d decision
	loads := e.config.Peers.Loads()
	err := e.do(ctx, func(c *core) { d = c.place(j, loads) })
	if err != nil || d.place != admission.Queued {
		return d, err
	}
	return e.awaitGrant(ctx, j), nil
}

func (e *Executor) awaitGrant(ctx context.Context, j *job) decision {
	select {
	case d := <-j.grant:
		return d
	case <-e.stopped:
		return decision{reason: "server has stopped"}
	case <-ctx.Done():
	}
	d := decision{reason: "deadline passed in the queue"}
	_ = e.do(context.Background(), func(c *core) {
		c.gate.Cancel(j.id)
		select {
		case d = <-j.grant:
		default:
		}
	})
	return d
}

// runLocally runs a request that holds a slot of the local upstream, and then frees the slot.
func (e *Executor) runLocally(ctx context.Context, req *bramleyv1.CallRequest, grantedAt time.Time) result {
	start := e.config.Now()
	r := e.callUpstream(ctx, req, grantedAt)
	serviceTime := e.config.Now().Sub(start)
	_ = e.do(context.Background(), func(c *core) { c.release(serviceTime, r.answer != nil) })
	return r
}

func (e *Executor) callUpstream(ctx context.Context, req *bramleyv1.CallRequest, grantedAt time.Time) result {
	now := e.config.Now()
	deadline, _ := ctx.Deadline()
	if ctx.Err() != nil || !now.Before(deadline) {
		return notRun("deadline passed before the request started")
	}
	if !req.GetIdempotent() && e.paused(grantedAt, now) {
		return notRun("server was paused before the request started")
	}
	response, err := e.config.Upstream.Call(ctx, connect.NewRequest(upstreamRequest(req)))
	switch {
	case err == nil:
		r := verify(req, response.Msg)
		if r.answer != nil {
			r.answer.Upstream = e.config.Server
		}
		return r
	case ctx.Err() != nil:
		return abandonedResult(ctx)
	}
	return classifyError(err)
}

// upstreamRequest returns a copy of req without the ticket, which only callers and agents use.
func upstreamRequest(req *bramleyv1.CallRequest) *bramleyv1.CallRequest {
	return &bramleyv1.CallRequest{
		RequestId:  req.GetRequestId(),
		Method:     req.GetMethod(),
		Idempotent: req.GetIdempotent(),
		Body:       req.GetBody(),
	}
}

// delegate sends the job to a peer for one attempt. If the peer did not receive the request, the outcome is NOT_RUN, so
// that the job can be tried elsewhere.
func (e *Executor) delegate(ctx context.Context, j *job, server uint32) result {
	r := notRun("caller gave up before the request was sent")
	if ctx.Err() == nil {
		r = e.executeAt(ctx, server, &bramleyv1.ExecuteRequest{Call: j.req, Delegated: true})
	}
	if r.outcome == bramleyv1.Outcome_OUTCOME_NOT_DELIVERED {
		r = notRun(r.reason)
	}
	_ = e.do(context.Background(), func(c *core) { c.delegationEnded(server, r) })
	return r
}

// executeAt sends a request to a peer and waits for the answer until the peer falls silent.
func (e *Executor) executeAt(ctx context.Context, server uint32, req *bramleyv1.ExecuteRequest) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go e.cancelWhenSilent(ctx, cancel, server)
	if deadline, ok := ctx.Deadline(); ok {
		req.DeadlineMs = milliseconds(deadline.Sub(e.config.Now()))
	}
	req.From = e.identity()
	response, err := e.config.Peers.Execute(ctx, server, req)
	if err != nil {
		return peerErrorResult(err)
	}
	return peerResult(req.GetCall(), response)
}

func peerErrorResult(err error) result {
	if errors.Is(err, ErrNotDelivered) {
		return refused(bramleyv1.Outcome_OUTCOME_NOT_DELIVERED, "server was not reached")
	}
	return unknown("server fell silent after the request was sent")
}

func peerResult(req *bramleyv1.CallRequest, response *bramleyv1.ExecuteResponse) result {
	if answer := response.GetAnswer(); answer != nil {
		return verify(req, answer)
	}
	refusal := response.GetRefusal()
	if refusal.GetOutcome() == bramleyv1.Outcome_OUTCOME_UNSPECIFIED {
		return unknown("peer sent an empty answer")
	}
	r := refused(refusal.GetOutcome(), refusal.GetReason())
	r.fromPeer = true
	return r
}

func (e *Executor) cancelWhenSilent(ctx context.Context, cancel context.CancelCauseFunc, server uint32) {
	ticker := time.NewTicker(silencePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if e.isSilent(server) {
				cancel(nil)
				return
			}
		}
	}
}

func (e *Executor) isSilent(server uint32) bool {
	for _, load := range e.config.Peers.Loads() {
		if load.Server == server {
			return load.Silent
		}
	}
	return false
}
