package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
)

// watchLimit is the longest time that a watch waits. It then returns the current value, and the reader calls
// again.
const watchLimit = 30 * time.Second

// Service serves a Store by the Connect protocol.
type Service struct {
	Store *Store
}

// Handler serves PlatformService and PlatformControlService.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(bramleyv1connect.NewPlatformServiceHandler(s))
	mux.Handle(bramleyv1connect.NewPlatformControlServiceHandler(s))
	return mux
}

// Get returns the newest value that readers may see.
func (s *Service) Get(ctx context.Context, req *connect.Request[bramleyv1.GetRequest]) (*connect.Response[bramleyv1.GetResponse], error) {
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	v, _, err := s.Store.read(req.Msg.GetKey())
	if err != nil {
		return nil, connectError(err)
	}
	return newGetResponse(req.Msg.GetKey(), v), nil
}

// Watch returns the value once its revision is above after_revision. After watchLimit it returns the current
// value.
func (s *Service) Watch(ctx context.Context, req *connect.Request[bramleyv1.WatchRequest]) (*connect.Response[bramleyv1.GetResponse], error) {
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	s.Store.addWaiting(1)
	defer s.Store.addWaiting(-1)
	limit := time.NewTimer(watchLimit)
	defer limit.Stop()
	for {
		v, changed, err := s.Store.read(req.Msg.GetKey())
		if err != nil && !errors.Is(err, ErrNotFound) {
			return nil, connectError(err)
		}
		if err == nil && v.revision > req.Msg.GetAfterRevision() {
			return newGetResponse(req.Msg.GetKey(), v), nil
		}
		select {
		case <-changed:
		case <-limit.C:
			return newGetResponse(req.Msg.GetKey(), v), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// ListVMs returns the VMs of a place. An empty place selects all VMs.
func (s *Service) ListVMs(ctx context.Context, req *connect.Request[bramleyv1.ListVMsRequest]) (*connect.Response[bramleyv1.ListVMsResponse], error) {
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	vms, err := s.Store.listVMs(req.Msg.GetPlace())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&bramleyv1.ListVMsResponse{Vms: vms}), nil
}

// Publish stores a value under the next revision.
func (s *Service) Publish(_ context.Context, req *connect.Request[bramleyv1.PublishRequest]) (*connect.Response[bramleyv1.PublishResponse], error) {
	revision, err := s.Store.Publish(req.Msg.GetKey(), req.Msg.GetValue())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&bramleyv1.PublishResponse{Revision: revision}), nil
}

// SetVM adds, replaces or removes a VM.
func (s *Service) SetVM(_ context.Context, req *connect.Request[bramleyv1.SetVMRequest]) (*connect.Response[bramleyv1.SetVMResponse], error) {
	s.Store.SetVM(req.Msg.GetVm(), req.Msg.GetRemove())
	return connect.NewResponse(&bramleyv1.SetVMResponse{}), nil
}

// SetFault replaces all injected faults.
func (s *Service) SetFault(_ context.Context, req *connect.Request[bramleyv1.SetFaultRequest]) (*connect.Response[bramleyv1.SetFaultResponse], error) {
	s.Store.SetFault(req.Msg)
	return connect.NewResponse(&bramleyv1.SetFaultResponse{}), nil
}

// Stats returns the counts of the calls that readers made.
func (s *Service) Stats(context.Context, *connect.Request[bramleyv1.StatsRequest]) (*connect.Response[bramleyv1.StatsResponse], error) {
	return connect.NewResponse(s.Store.stats()), nil
}

// admit charges the call budget and applies the injected latency.
func (s *Service) admit(ctx context.Context) error {
	if err := s.Store.charge(); err != nil {
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	latency := s.Store.latency()
	if latency == 0 {
		return nil
	}
	select {
	case <-time.After(latency):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func connectError(err error) error {
	if errors.Is(err, ErrNotFound) {
		return connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

func newGetResponse(key string, v version) *connect.Response[bramleyv1.GetResponse] {
	return connect.NewResponse(&bramleyv1.GetResponse{Key: key, Revision: v.revision, Value: v.value})
}
