package request

import (
	"context"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/ticket"
)

// forward passes a request to the owner of its ticket, or, when the owner can not be reached, to a peer
// that may have adopted the owner's records.
func (e *Executor) forward(ctx context.Context, req *bramleyv1.CallRequest, t ticket.Ticket) (result, bool) {
	message := &bramleyv1.ExecuteRequest{Call: req, Hops: 1}
	if t.Server != e.config.Server {
		r := e.executeAt(ctx, t.Server, message)
		if r.outcome != bramleyv1.Outcome_OUTCOME_NOT_DELIVERED {
			return r, false
		}
	}
	for _, peer := range e.config.Peers.Loads() {
		if peer.Server == t.Server || peer.Silent {
			continue
		}
		r := e.executeAt(ctx, peer.Server, message)
		if r.answer != nil || holdsRecord(r) {
			return r, false
		}
	}
	return refused(bramleyv1.Outcome_OUTCOME_NOT_DELIVERED, "the owner of the ticket was not reached"), false
}

// holdsRecord reports whether a refusal comes from a successor that has the owner's records. A silent peer
// proves nothing, but it can not have started the request, since only the owner may.
func holdsRecord(r result) bool {
	return r.answered && r.outcome != bramleyv1.Outcome_OUTCOME_NOT_DELIVERED
}

// Execute serves a request that another agent of the service has sent: a copy for its owner, or the
// delegated run of a job.
func (e *Executor) Execute(ctx context.Context, req *bramleyv1.ExecuteRequest) *bramleyv1.ExecuteResponse {
	left := time.Duration(req.GetDeadlineMs()) * time.Millisecond
	if left <= 0 {
		return response(expired(req), false)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	ctx, cancelBound := e.bound(ctx)
	defer cancelBound()
	if req.GetDelegated() {
		return response(e.runDelegated(ctx, req), false)
	}
	return response(e.serveCopy(ctx, req.GetCall()))
}

// expired is the result of a request that arrives after its deadline. A copy leaves its ticket as it is, so
// that it must not be told that the request did not run.
func expired(req *bramleyv1.ExecuteRequest) result {
	if req.GetDelegated() {
		return notRun("deadline has passed")
	}
	return refused(bramleyv1.Outcome_OUTCOME_NOT_DELIVERED, "deadline has passed")
}

// serveCopy runs or settles a request as its owner, or settles it as the owner's successor. It never
// passes the request on.
func (e *Executor) serveCopy(ctx context.Context, req *bramleyv1.CallRequest) (result, bool) {
	t, err := e.sealer.Open(req.GetTicket())
	if err != nil || t.Service != e.config.Service {
		return unknown("ticket can not be verified"), false
	}
	if e.owns(t) {
		return e.runOwned(ctx, req, t)
	}
	if v := e.archived(ctx, req, t); v.State != ticket.StateUnknown {
		return fromVerdict(v)
	}
	return refused(bramleyv1.Outcome_OUTCOME_NOT_DELIVERED, "this server does not own the ticket"), false
}

// runDelegated runs a request for the owner of its ticket, only if a slot is free now.
func (e *Executor) runDelegated(ctx context.Context, req *bramleyv1.ExecuteRequest) result {
	var granted time.Time
	deadline, _ := ctx.Deadline()
	err := e.do(ctx, func(c *core) {
		if c.draining || !c.accepting || c.suspect {
			return
		}
		if c.gate.TryRun(c.age(), c.since(deadline)) {
			granted = c.now
			return
		}
		c.declined(req.GetFrom().GetServer())
	})
	if err != nil || granted.IsZero() {
		return notRun("peer has no free slot")
	}
	return e.runHere(ctx, req.GetCall(), granted)
}

func response(r result, replayed bool) *bramleyv1.ExecuteResponse {
	if r.answer == nil {
		return &bramleyv1.ExecuteResponse{Refusal: &bramleyv1.Refusal{Outcome: r.outcome, Reason: r.reason}}
	}
	if replayed {
		r.answer = replay(r.answer)
	}
	return &bramleyv1.ExecuteResponse{Answer: r.answer}
}

func replay(answer *bramleyv1.CallResponse) *bramleyv1.CallResponse {
	return &bramleyv1.CallResponse{
		RequestId: answer.GetRequestId(),
		Body:      answer.GetBody(),
		Digest:    answer.GetDigest(),
		Replayed:  true,
		Upstream:  answer.GetUpstream(),
	}
}
