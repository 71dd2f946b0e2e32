package request

import (
	"context"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/ticket"
)

// forward sends a request to the owner of its ticket. If the owner cannot be reached, it asks the other peers in turn
// except the silent ones, because one of them may have adopted the owner's records.
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

// holdsRecord reports whether a refusal comes from a successor that holds the owner's records. If a peer does not
// answer, forward can safely ask the next one: only the owner may start the request, so the peer has not started it.
func holdsRecord(r result) bool {
	return r.fromPeer && r.outcome != bramleyv1.Outcome_OUTCOME_NOT_DELIVERED
}

// Execute serves a request from another agent of the service: either a copy that is forwarded to the owner of its
// ticket, or a job that the owner delegates.
func (e *Executor) Execute(ctx context.Context, req *bramleyv1.ExecuteRequest) *bramleyv1.ExecuteResponse {
	remaining := time.Duration(req.GetDeadlineMs()) * time.Millisecond
	if remaining <= 0 {
		return executeResponse(expired(req), false)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	ctx, cancelReply := e.reserveReplyTime(ctx)
	defer cancelReply()
	if req.GetDelegated() {
		return executeResponse(e.runDelegated(ctx, req), false)
	}
	return executeResponse(e.serveCopy(ctx, req.GetCall()))
}

// expired returns the result of a request that arrives after its deadline. A forwarded copy must not report that the
// request did not run: the copy does not change the state of its ticket, so another copy may still run.
func expired(req *bramleyv1.ExecuteRequest) result {
	if req.GetDelegated() {
		return notRun("deadline has passed")
	}
	return refused(bramleyv1.Outcome_OUTCOME_NOT_DELIVERED, "deadline has passed")
}

// serveCopy serves a forwarded request as the owner of its ticket, or answers from the records that it adopted from
// the owner. It never forwards the request again.
func (e *Executor) serveCopy(ctx context.Context, req *bramleyv1.CallRequest) (result, bool) {
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
	return refused(bramleyv1.Outcome_OUTCOME_NOT_DELIVERED, "this server does not own the ticket"), false
}

// runDelegated runs a request that a peer delegates if a slot is free now. It never queues the request.
func (e *Executor) runDelegated(ctx context.Context, req *bramleyv1.ExecuteRequest) result {
	var grantedAt time.Time
	deadline, _ := ctx.Deadline()
	err := e.do(ctx, func(c *core) {
		if c.draining || !c.accepting || c.viewUnconfirmed {
			return
		}
		if c.gate.TryRun(c.age(), c.ageAt(deadline)) {
			grantedAt = c.now
			return
		}
		c.addDeclinedPeer(req.GetFrom().GetServer())
	})
	if err != nil || grantedAt.IsZero() {
		return notRun("peer has no free slot")
	}
	return e.runLocally(ctx, req.GetCall(), grantedAt)
}

func executeResponse(r result, replayed bool) *bramleyv1.ExecuteResponse {
	if r.answer == nil {
		return &bramleyv1.ExecuteResponse{Refusal: &bramleyv1.Refusal{Outcome: r.outcome, Reason: r.reason}}
	}
	if replayed {
		r.answer = replayedCopy(r.answer)
	}
	return &bramleyv1.ExecuteResponse{Answer: r.answer}
}

func replayedCopy(answer *bramleyv1.CallResponse) *bramleyv1.CallResponse {
	return &bramleyv1.CallResponse{
		RequestId: answer.GetRequestId(),
		Body:      answer.GetBody(),
		Digest:    answer.GetDigest(),
		Replayed:  true,
		Upstream:  answer.GetUpstream(),
	}
}
