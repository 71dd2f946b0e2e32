package request

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"net"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// result is how a request ended: with an answer, or with an outcome and its reason.
type result struct {
	answer  *bramleyv1.CallResponse
	outcome bramleyv1.Outcome
	reason  string
	// answered is set on a refusal that a peer has sent, and not on one that stands for its silence.
	answered bool
	// immediate is set on a refusal whose caller may come back at once.
	immediate bool
}

func refused(outcome bramleyv1.Outcome, reason string) result {
	return result{outcome: outcome, reason: reason}
}

func notRun(reason string) result {
	return refused(bramleyv1.Outcome_OUTCOME_NOT_RUN, reason)
}

func unknown(reason string) result {
	return refused(bramleyv1.Outcome_OUTCOME_UNKNOWN, reason)
}

// provesNotRun reports whether the request can not have run.
func (r result) provesNotRun() bool {
	return r.answer == nil && r.outcome == bramleyv1.Outcome_OUTCOME_NOT_RUN
}

// verify returns the answer if it is whole and belongs to the request.
func verify(req *bramleyv1.CallRequest, answer *bramleyv1.CallResponse) result {
	if answer.GetRequestId() != req.GetRequestId() {
		return unknown("upstream answered another request")
	}
	digest := sha256.Sum256(answer.GetBody())
	if !bytes.Equal(digest[:], answer.GetDigest()) {
		return unknown("answer does not match its digest")
	}
	return result{answer: answer}
}

// classify says what an error of the upstream proves. Only a refusal of the upstream itself and a failed
// dial prove that the request did not run.
func classify(err error) result {
	if refusal := refusalDetail(err); refusal != nil {
		return fromRefusal(refusal)
	}
	if failedDial(err) {
		return notRun("upstream refused the connection")
	}
	if connect.IsWireError(err) && decided(connect.CodeOf(err)) {
		return refused(bramleyv1.Outcome_OUTCOME_FAILED, "upstream answered "+connect.CodeOf(err).String())
	}
	return unknown("upstream gave no answer")
}

func fromRefusal(refusal *bramleyv1.Refusal) result {
	switch refusal.GetOutcome() {
	case bramleyv1.Outcome_OUTCOME_NOT_RUN, bramleyv1.Outcome_OUTCOME_FAILED:
		return refused(refusal.GetOutcome(), refusal.GetReason())
	default:
		return unknown(refusal.GetReason())
	}
}

func failedDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// decided reports whether a code is the upstream's own verdict on a request that it handled.
func decided(code connect.Code) bool {
	switch code {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists,
		connect.CodePermissionDenied, connect.CodeFailedPrecondition, connect.CodeOutOfRange,
		connect.CodeInternal, connect.CodeDataLoss:
		return true
	}
	return false
}

// abandoned is the result of a started request whose caller has given up.
func abandoned(ctx context.Context) result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return unknown("deadline passed while the request was running")
	}
	return unknown("request was canceled while it was running")
}
