package agent

import (
	"context"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/request"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/internal/tracing"
	"github.com/bramleyrack/bramleyrack/internal/view"
)

// peerService answers other processes: the view keeps the settings, the executor the requests.
type peerService struct {
	*view.View
	executor *request.Executor
	load     func() *bramleyv1.Load
}

// Execute runs a request for a peer.
func (s *peerService) Execute(ctx context.Context, req *bramleyv1.ExecuteRequest) (*bramleyv1.ExecuteResponse, error) {
	ctx, span := tracing.StartSpan(tracing.ExtractPeer(ctx), tracing.SpanPeerAgent)
	defer tracing.EndSpan(span, nil)
	return s.executor.Execute(ctx, req), nil
}

// Offer takes the offer of a free slot at a peer.
func (s *peerService) Offer(_ context.Context, req *bramleyv1.OfferRequest) (*bramleyv1.OfferResponse, error) {
	return s.executor.Offer(req), nil
}

// HandOver takes the request records of a leaving agent.
func (s *peerService) HandOver(_ context.Context, req *bramleyv1.HandOverRequest) (*bramleyv1.HandOverResponse, error) {
	answer := s.executor.Adopt(req)
	telemetry.Event("hand_over_received", "from", req.GetFrom().GetVm(), "records", len(req.GetRecords()), "accepted", answer.GetAccepted())
	return answer, nil
}

// Status describes the process.
func (s *peerService) Status(context.Context, *bramleyv1.StatusRequest) (*bramleyv1.StatusResponse, error) {
	status := s.View.Status()
	status.Load = s.load()
	return status, nil
}
