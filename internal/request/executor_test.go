package request_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/internal/request"
	"github.com/bramleyrack/bramleyrack/settings"
)

// fakeUpstream answers requests after a fixed service time and counts the runs of each request.
type fakeUpstream struct {
	bramleyv1connect.UpstreamServiceClient
	serviceTime time.Duration
	// fail may replace the answer of a run. Runs of all requests are numbered together from 1.
	fail func(run int, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error)

	mu        sync.Mutex
	runs      map[string]int
	totalRuns int
}

func (u *fakeUpstream) Call(ctx context.Context, req *connect.Request[bramleyv1.CallRequest]) (*connect.Response[bramleyv1.CallResponse], error) {
	u.mu.Lock()
	u.totalRuns++
	n := u.totalRuns
	if u.runs == nil {
		u.runs = make(map[string]int)
	}
	u.runs[req.Msg.GetRequestId()]++
	u.mu.Unlock()
	select {
	case <-time.After(u.serviceTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if u.fail != nil {
		if answer, err := u.fail(n, req.Msg); answer != nil || err != nil {
			return connect.NewResponse(answer), err
		}
	}
	return connect.NewResponse(answerTo(req.Msg)), nil
}

func (u *fakeUpstream) count(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func answerTo(req *bramleyv1.CallRequest) *bramleyv1.CallResponse {
	body := []byte("answer to " + req.GetRequestId())
	digest := sha256.Sum256(body)
	return &bramleyv1.CallResponse{RequestId: req.GetRequestId(), Body: body, Digest: digest[:]}
}

// fakePeers connects the executors of one test. A server in unreachable cannot be reached; a server in unresponsive
// receives requests and does not answer.
type fakePeers struct {
	self  uint32
	fleet map[uint32]*request.Executor
	// hideLoad makes every peer appear idle, as an outdated heartbeat can.
	hideLoad     bool
	unreachable  map[uint32]bool
	unresponsive map[uint32]bool

	mu     sync.Mutex
	silent map[uint32]bool
	sent   map[uint32]int
}

func (p *fakePeers) setSilent(servers ...uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range servers {
		p.silent[server] = true
	}
}

func (p *fakePeers) isSilent(server uint32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[server]
}

func (p *fakePeers) countSent(server uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[server]++
}

func (p *fakePeers) Execute(ctx context.Context, server uint32, req *bramleyv1.ExecuteRequest) (*bramleyv1.ExecuteResponse, error) {
	peer := p.fleet[server]
	if peer == nil || p.unreachable[server] {
		return nil, fmt.Errorf("dial server %d: %w", server, request.ErrNotDelivered)
	}
	p.countSent(server)
	answer := peer.Execute(ctx, req)
	if p.unresponsive[server] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return answer, nil
}

func (p *fakePeers) Offer(_ context.Context, server uint32, req *bramleyv1.OfferRequest) error {
	if peer := p.fleet[server]; peer != nil {
		peer.Offer(req)
	}
	return nil
}

func (p *fakePeers) Loads() []request.PeerLoad {
	var loads []request.PeerLoad
	for server := uint32(1); server <= 8; server++ {
		peer := p.fleet[server]
		if peer == nil || server == p.self {
			continue
		}
		load := peer.Load()
		if p.hideLoad {
			load = &bramleyv1.Load{Slots: load.GetSlots()}
		}
		loads = append(loads, request.PeerLoad{
			Server:    server,
			Busy:      int(load.GetBusySlots()),
			Slots:     int(load.GetSlots()),
			Queued:    int(load.GetQueued()),
			Accepting: true,
			Silent:    p.isSilent(server),
		})
	}
	return loads
}

func testPolicy() settings.Policy {
	policy := settings.DefaultPolicy()
	policy.Slots = 2
	policy.SlowStart = 0
	return policy
}

func newExecutor(t *testing.T, server uint32, upstream *fakeUpstream, peers request.Peers, change ...func(*request.Config)) *request.Executor {
	t.Helper()
	e := newUnclosedExecutor(t, server, upstream, peers, change...)
	t.Cleanup(e.Close)
	return e
}

// newUnclosedExecutor returns an executor that the caller must close.
func newUnclosedExecutor(t *testing.T, server uint32, upstream *fakeUpstream, peers request.Peers, change ...func(*request.Config)) *request.Executor {
	t.Helper()
	config := request.Config{
		Service:     1,
		Server:      server,
		Incarnation: 100,
		Keys:        [2][]byte{make([]byte, 32), nil},
		Upstream:    upstream,
		Peers:       peers,
		Policy:      testPolicy,
		Now:         time.Now,
		Rand:        rand.New(rand.NewSource(int64(server))),
	}
	for _, f := range change {
		f(&config)
	}
	return request.New(config)
}

// newFleet starts one executor for each server and returns the executors and their peers by server.
func newFleet(t *testing.T, upstream *fakeUpstream, servers ...uint32) (map[uint32]*request.Executor, map[uint32]*fakePeers) {
	fleet := make(map[uint32]*request.Executor)
	peers := make(map[uint32]*fakePeers)
	for _, server := range servers {
		peers[server] = &fakePeers{
			self:         server,
			fleet:        fleet,
			unreachable:  make(map[uint32]bool),
			unresponsive: make(map[uint32]bool),
			silent:       make(map[uint32]bool),
			sent:         make(map[uint32]int),
		}
		fleet[server] = newExecutor(t, server, upstream, peers[server])
	}
	return fleet, peers
}

func orderRequest(id string, ticket []byte) *bramleyv1.CallRequest {
	return &bramleyv1.CallRequest{RequestId: id, Method: "order", Ticket: ticket, Body: []byte(id)}
}

func freshTicket(t *testing.T, e *request.Executor) []byte {
	t.Helper()
	_, refusal := e.Call(t.Context(), orderRequest("first", nil))
	if refusal.GetOutcome() != bramleyv1.Outcome_OUTCOME_NOT_RUN || len(refusal.GetNextTicket()) == 0 {
		t.Fatalf("refusal %v", refusal)
	}
	return refusal.GetNextTicket()
}

func wantOutcome(t *testing.T, refusal *bramleyv1.Refusal, want bramleyv1.Outcome) {
	t.Helper()
	if refusal.GetOutcome() != want {
		t.Fatalf("outcome %v (%s), want %v", refusal.GetOutcome(), refusal.GetReason(), want)
	}
}

func TestRepeatIsAnsweredFromTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: time.Second}
		e := newExecutor(t, 1, upstream, nil)
		req := orderRequest("a", freshTicket(t, e))
		first, refusal := e.Call(t.Context(), req)
		if refusal != nil || first.GetReplayed() || first.GetUpstream() != 1 {
			t.Fatalf("first call: answer %v, refusal %v", first, refusal)
		}
		again, refusal := e.Call(t.Context(), req)
		if refusal != nil || !again.GetReplayed() || string(again.GetBody()) != string(first.GetBody()) {
			t.Fatalf("repeated call: answer %v, refusal %v", again, refusal)
		}
		if upstream.count("a") != 1 {
			t.Fatalf("ran %d times", upstream.count("a"))
		}
	})
}

func TestCopiesJoinTheRunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: time.Second}
		e := newExecutor(t, 1, upstream, nil)
		req := orderRequest("a", freshTicket(t, e))
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				if answer, refusal := e.Call(t.Context(), req); answer == nil {
					t.Errorf("refusal %v", refusal)
				}
			})
		}
		group.Wait()
		if upstream.count("a") != 1 {
			t.Fatalf("ran %d times", upstream.count("a"))
		}
	})
}

func TestRefusedTicketNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{fail: func(run int, _ *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error) {
			if run == 1 {
				return nil, wireRefusal(bramleyv1.Outcome_OUTCOME_NOT_RUN)
			}
			return nil, nil
		}}
		e := newExecutor(t, 1, upstream, nil)
		req := orderRequest("a", freshTicket(t, e))
		for range 2 {
			_, refusal := e.Call(t.Context(), req)
			wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_NOT_RUN)
		}
		if upstream.count("a") != 1 {
			t.Fatalf("sent %d times", upstream.count("a"))
		}
	})
}

func wireRefusal(outcome bramleyv1.Outcome) error {
	err := connect.NewWireError(connect.CodeResourceExhausted, errors.New("refused"))
	detail, _ := connect.NewErrorDetail(&bramleyv1.Refusal{Outcome: outcome})
	err.AddDetail(detail)
	return err
}

func TestCopyAtAnotherServerReachesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: time.Second}
		fleet, peers := newFleet(t, upstream, 1, 2)
		req := orderRequest("a", freshTicket(t, fleet[1]))
		if _, refusal := fleet[2].Call(t.Context(), req); refusal != nil {
			t.Fatal(refusal)
		}
		answer, refusal := fleet[1].Call(t.Context(), req)
		if refusal != nil || !answer.GetReplayed() || upstream.count("a") != 1 {
			t.Fatalf("answer %v, refusal %v, ran %d times", answer, refusal, upstream.count("a"))
		}
		peers[2].unreachable[1] = true
		_, refusal = fleet[2].Call(t.Context(), orderRequest("b", freshTicket(t, fleet[1])))
		wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_NOT_DELIVERED)
	})
}

func TestNotDeliveredIsInTheErrorChain(t *testing.T) {
	cause := errors.New("connection refused")
	err := request.NotDelivered(cause)
	if !errors.Is(err, request.ErrNotDelivered) || !errors.Is(err, cause) {
		t.Fatal(err)
	}
}
