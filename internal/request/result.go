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

// result is the result of a request: either an answer, or an outcome with its reason.
type result struct {
	answer  *bramleyv1.CallResponse
	outcome bramleyv1.Outcome
	reason  string
	// fromPeer is set if a peer sent this refusal, as opposed to one made here because the peer did not answer.
	fromPeer bool
	// retryImmediately is set if the caller may retry without delay.
	retryImmediately bool
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

// provesNotRun reports whether the result guarantees that the request has not run.
func (r result) provesNotRun() bool {
	return r.answer == nil && r.outcome == bramleyv1.Outcome_OUTCOME_NOT_RUN
}

// verify returns the answer if its request ID and digest are correct, and otherwise an unknown outcome: a wrong or
// truncated answer does not show whether the request ran.
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

// classifyError returns the outcome of an upstream call that failed. Only a refusal by the upstream itself and a
// failed dial prove that the request did not run.
func classifyError(err error) result {
	if refusal := refusalDetail(err); refusal != nil {
		return fromRefusal(refusal)
	}
	if isDialError(err) {
		return notRun("upstream refused the connection")
	}
	if connect.IsWireError(err) && isApplicationError(connect.CodeOf(err)) {
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

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isApplicationError reports whether the upstream returns a code only for a request that it has handled. Any other
// code leaves open whether the request ran.
func isApplicationError(code connect.Code) bool {
	switch code {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists,
		connect.CodePermissionDenied, connect.CodeFailedPrecondition, connect.CodeOutOfRange,
		connect.CodeInternal, connect.CodeDataLoss:
		return true
	}
	return false
}

// abandonedResult returns the result of a request whose context ended after it started. The request may have run.
func abandonedResult(ctx context.Context) result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return unknown("deadline passed while the request was running")
	}
	return unknown("request was canceled while it was running")
}
