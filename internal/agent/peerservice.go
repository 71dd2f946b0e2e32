package agent

import (
	"context"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/request"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/internal/tracing"
	"github.com/bramleyrack/bramleyrack/internal/view"
)

// peerService implements PeerService for other processes. The embedded view handles the methods for
// settings and membership, and the executor those for requests.
type peerService struct {
	*view.View
	executor *request.Executor
	load     func() *bramleyv1.Load
}

// Execute runs a request for a peer, in a span of the peer's trace.
func (s *peerService) Execute(ctx context.Context, req *bramleyv1.ExecuteRequest) (*bramleyv1.ExecuteResponse, error) {
	ctx, span := tracing.StartSpan(tracing.ExtractPeer(ctx), tracing.SpanPeerAgent)
	defer tracing.EndSpan(span, nil)
	return s.executor.Execute(ctx, req), nil
}

// Offer passes the offer of a peer's free slot on to the executor.
func (s *peerService) Offer(_ context.Context, req *bramleyv1.OfferRequest) (*bramleyv1.OfferResponse, error) {
	return s.executor.Offer(req), nil
}

// HandOver adopts the ticket records of a leaving agent.
func (s *peerService) HandOver(_ context.Context, req *bramleyv1.HandOverRequest) (*bramleyv1.HandOverResponse, error) {
	answer := s.executor.Adopt(req)
	telemetry.Event("hand_over_received", "from", req.GetFrom().GetVm(), "records", len(req.GetRecords()), "accepted", answer.GetAccepted())
	return answer, nil
}

// Status returns the state of the process for operators.
func (s *peerService) Status(context.Context, *bramleyv1.StatusRequest) (*bramleyv1.StatusResponse, error) {
	status := s.View.Status()
	status.Load = s.load()
	return status, nil
}
