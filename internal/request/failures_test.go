package request_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/request"
	"github.com/bramleyrack/bramleyrack/settings"
)

// occupy fills the slots of an executor with idempotent requests, which hold them for the service time of the
// upstream.
func occupy(t *testing.T, e *request.Executor, slots int) {
	t.Helper()
	for range slots {
		go e.Call(t.Context(), &bramleyv1.CallRequest{RequestId: "busy", Idempotent: true})
		synctest.Wait()
	}
}

func TestNothingRunsAfterTheExport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{}
		fleet, _ := newFleet(t, upstream, 1, 2)
		req := orderRequest("a", freshTicket(t, fleet[1]))
		fleet[1].ExportRecords()
		_, refusal := fleet[1].Call(t.Context(), req)
		wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_NOT_RUN)
		if upstream.count("a") != 0 {
			t.Fatal("a request ran after its owner had exported its records")
		}
	})
}

// TestNothingStartsOnceDrainHasReturned guards against a drained server that still starts a request, for example at a
// peer with a free slot: the request would be cut off when the process of the drained server ends.
func TestNothingStartsOnceDrainHasReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: time.Second}
		fleet, _ := newFleet(t, upstream, 1, 2)
		requests := []*bramleyv1.CallRequest{
			orderRequest("a", freshTicket(t, fleet[1])),
			{RequestId: "b", Idempotent: true},
		}
		if err := fleet[1].Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, req := range requests {
			_, refusal := fleet[1].Call(t.Context(), req)
			wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_NOT_RUN)
			if upstream.count(req.GetRequestId()) != 0 {
				t.Errorf("request %s ran after the drain", req.GetRequestId())
			}
		}
	})
}

func TestExpiredCopyLeavesTheTicketUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{}
		e := newExecutor(t, 1, upstream, nil)
		req := orderRequest("a", freshTicket(t, e))
		refusal := e.Execute(t.Context(), &bramleyv1.ExecuteRequest{Call: req}).GetRefusal()
		wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_NOT_DELIVERED)
		if _, refusal := e.Call(t.Context(), req); refusal != nil {
			t.Fatal(refusal)
		}
	})
}

func TestFullServerDelegates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: time.Second}
		fleet, peers := newFleet(t, upstream, 1, 2)
		req := orderRequest("a", freshTicket(t, fleet[1]))
		occupy(t, fleet[1], testPolicy().Slots)
		answer, refusal := fleet[1].Call(t.Context(), req)
		if refusal != nil || answer.GetUpstream() != 2 || peers[1].sent[2] != 1 {
			t.Fatalf("answer %v, refusal %v", answer, refusal)
		}
	})
}

func TestSilentPeerGivesUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: time.Second}
		fleet, peers := newFleet(t, upstream, 1, 2, 3)
		peers[1].unresponsive[2] = true
		peers[1].unresponsive[3] = true
		req := orderRequest("a", freshTicket(t, fleet[1]))
		occupy(t, fleet[1], testPolicy().Slots)
		go func() {
			time.Sleep(500 * time.Millisecond)
			peers[1].setSilent(2, 3)
		}()
		called := time.Now()
		_, refusal := fleet[1].Call(t.Context(), req)
		wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_UNKNOWN)
		if waited := time.Since(called); waited > time.Second {
			t.Fatalf("the caller waited %v for a peer that was reported silent after 500 ms", waited)
		}
		if upstream.count("a") != 1 || peers[1].sent[2]+peers[1].sent[3] != 1 {
			t.Fatalf("ran %d times, sent %v", upstream.count("a"), peers[1].sent)
		}
	})
}

func TestRequestThatCanNotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: time.Second}
		e := newExecutor(t, 1, upstream, nil)
		if _, refusal := e.Call(t.Context(), &bramleyv1.CallRequest{RequestId: "sample", Idempotent: true}); refusal != nil {
			t.Fatal(refusal)
		}
		req := orderRequest("a", freshTicket(t, e))
		occupy(t, e, testPolicy().Slots)
		ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
		defer cancel()
		called := time.Now()
		_, refusal := e.Call(ctx, req)
		wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_NOT_RUN)
		if time.Since(called) != 0 || refusal.GetRetryAfterMs() == 0 || len(refusal.GetNextTicket()) == 0 {
			t.Fatalf("after %v: %v", time.Since(called), refusal)
		}
	})
}

func TestCallerThatLeavesTheQueueIsToldNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: time.Second}
		e := newExecutor(t, 1, upstream, nil)
		req := orderRequest("a", freshTicket(t, e))
		occupy(t, e, testPolicy().Slots)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		_, refusal := e.Call(ctx, req)
		wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_NOT_RUN)
		time.Sleep(3 * time.Second)
		if upstream.count("a") != 0 {
			t.Fatal("a request ran after its caller got the outcome not run")
		}
	})
}

func TestCancelReachesTheUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newExecutor(t, 1, &fakeUpstream{serviceTime: time.Hour}, nil)
		req := orderRequest("a", freshTicket(t, e))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, refusal := e.Call(ctx, req)
		wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_UNKNOWN)
		synctest.Wait()
		if busy := e.Load().GetBusySlots(); busy != 0 {
			t.Fatalf("%d slots are still held", busy)
		}
	})
}

func TestDrainCompletesRunningRequestsAndTheSuccessorAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: time.Second}
		fleet, peers := newFleet(t, upstream, 1, 2, 3)
		leaving := fleet[1]
		running := orderRequest("a", freshTicket(t, leaving))
		unused := orderRequest("b", freshTicket(t, leaving))
		var group sync.WaitGroup
		group.Go(func() {
			if _, refusal := leaving.Call(t.Context(), running); refusal != nil {
				t.Errorf("the drain ended a running request: %v", refusal)
			}
		})
		synctest.Wait()
		if err := leaving.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		group.Wait()
		handOver(t, leaving, fleet[3])
		peers[2].unreachable[1] = true
		answer, refusal := fleet[2].Call(t.Context(), running)
		if refusal != nil || !answer.GetReplayed() {
			t.Fatalf("answer %v, refusal %v", answer, refusal)
		}
		_, refusal = fleet[2].Call(t.Context(), unused)
		wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_NOT_RUN)
		if upstream.count("a") != 1 || upstream.count("b") != 0 {
			t.Fatalf("ran a %d times, b %d times", upstream.count("a"), upstream.count("b"))
		}
	})
}

func handOver(t *testing.T, from, to *request.Executor) {
	t.Helper()
	identity := &bramleyv1.Identity{Service: 1, Server: 1, Incarnation: from.Incarnation()}
	err := from.HandOver(t.Context(), identity, func(_ context.Context, req *bramleyv1.HandOverRequest) (*bramleyv1.HandOverResponse, error) {
		return to.Adopt(req), nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestDrainThatRunsOutOfTimeNeverSaysNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: 5 * time.Second}
		fleet, peers := newFleet(t, upstream, 1, 2)
		running := orderRequest("a", freshTicket(t, fleet[1]))
		go fleet[1].Call(t.Context(), running)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := fleet[1].Drain(ctx); err != request.ErrDrainIncomplete {
			t.Fatal(err)
		}
		handOver(t, fleet[1], fleet[2])
		peers[2].unreachable[1] = true
		_, refusal := fleet[2].Call(t.Context(), running)
		wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_UNKNOWN)
	})
}

func TestPausedServerStartsNothingUntilItsViewIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var jump time.Duration
		jumped := make(chan struct{}, 1)
		upstream := &fakeUpstream{}
		e := newExecutor(t, 1, upstream, nil, func(c *request.Config) {
			c.PauseThreshold = time.Second
			c.OnPause = func() { jumped <- struct{}{} }
			c.Now = func() time.Time {
				mu.Lock()
				defer mu.Unlock()
				return time.Now().Add(jump)
			}
		})
		first := orderRequest("a", freshTicket(t, e))
		second := orderRequest("b", freshTicket(t, e))
		mu.Lock()
		jump = 3 * time.Second
		mu.Unlock()
		_, refusal := e.Call(t.Context(), first)
		wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_NOT_RUN)
		<-jumped
		e.SetViewConfirmed(true)
		if _, refusal := e.Call(t.Context(), second); refusal != nil || upstream.count("a") != 0 {
			t.Fatalf("refusal %v, a ran %d times", refusal, upstream.count("a"))
		}
	})
}

func TestInvalidAnswersOfTheUpstream(t *testing.T) {
	crossed := func(req *bramleyv1.CallRequest) *bramleyv1.CallResponse {
		return answerTo(orderRequest("another", nil))
	}
	half := func(req *bramleyv1.CallRequest) *bramleyv1.CallResponse {
		answer := answerTo(req)
		answer.Body = answer.Body[:3]
		return answer
	}
	for name, wrong := range map[string]func(*bramleyv1.CallRequest) *bramleyv1.CallResponse{"crossed": crossed, "half": half} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := &fakeUpstream{fail: func(run int, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error) {
					if run > 2 {
						return nil, nil
					}
					return wrong(req), nil
				}}
				fleet, _ := newFleet(t, upstream, 1, 2)
				_, refusal := fleet[1].Call(t.Context(), orderRequest("a", freshTicket(t, fleet[1])))
				wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_UNKNOWN)
				idempotent := &bramleyv1.CallRequest{RequestId: "b", Idempotent: true}
				answer, refusal := fleet[1].Call(t.Context(), idempotent)
				if refusal != nil || answer.GetRequestId() != "b" {
					t.Fatalf("answer %v, refusal %v", answer, refusal)
				}
			})
		})
	}
}

func TestUpstreamThatIsDownGetsNoRequestsAndThenSlowStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{serviceTime: time.Second}
		fleet, _ := newFleet(t, upstream, 1, 2)
		e := newExecutor(t, 3, upstream, &fakePeers{self: 3, fleet: fleet, sent: make(map[uint32]int)}, func(c *request.Config) {
			policy := testPolicy()
			policy.Slots = 4
			policy.SlowStart = 20 * time.Second
			c.Policy = func() settings.Policy { return policy }
		})
		e.SetAccepting(false)
		answer, refusal := e.Call(t.Context(), &bramleyv1.CallRequest{RequestId: "a", Idempotent: true})
		if refusal != nil || answer.GetUpstream() == 3 {
			t.Fatalf("answer %v, refusal %v", answer, refusal)
		}
		e.SetAccepting(true)
		e.UpstreamStarted()
		if slots := e.Load().GetSlots(); slots != 1 {
			t.Fatalf("%d slots at the start", slots)
		}
		time.Sleep(21 * time.Second)
		if slots := e.Load().GetSlots(); slots != 4 {
			t.Fatalf("%d slots after the slow start", slots)
		}
	})
}

// steppingClock jumps forward by pauseLength at the given reading after it has been armed.
type steppingClock struct {
	mu    sync.Mutex
	jump  time.Duration
	calls int
}

func (c *steppingClock) arm(calls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = calls
}

func (c *steppingClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls--; c.calls == 0 {
		c.jump = pauseLength
	}
	return time.Now().Add(c.jump)
}

// armingPeers arms the clock when the executor reads the loads of its peers in order to place a request.
type armingPeers struct {
	fakePeers
	arm func()
}

func (p *armingPeers) Loads() []request.PeerLoad {
	p.arm()
	return nil
}

// TestPauseAtAnyMomentBeforeTheStart guards against a request that starts after a pause of the process was missed. It
// simulates a pause at each reading of the clock between the placement and the start of the request.
func TestPauseAtAnyMomentBeforeTheStart(t *testing.T) {
	const readingsBeforeTheStart = 3
	for calls := 1; calls <= readingsBeforeTheStart; calls++ {
		synctest.Test(t, func(t *testing.T) {
			clock := &steppingClock{}
			upstream := &fakeUpstream{}
			peers := &armingPeers{arm: func() { clock.arm(calls) }}
			e := newExecutor(t, 1, upstream, peers, func(c *request.Config) {
				c.Now = clock.now
				c.PauseThreshold = time.Second
			})
			_, refusal := e.Call(t.Context(), orderRequest("a", freshTicket(t, e)))
			wantOutcome(t, refusal, bramleyv1.Outcome_OUTCOME_NOT_RUN)
			if upstream.count("a") != 0 {
				t.Fatalf("a request ran after a pause at reading %d of the clock", calls)
			}
		})
	}
}

func TestPeerThatDeclinedOffersItsNextFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := make(map[uint32]*request.Executor)
		for server, serviceTime := range map[uint32]time.Duration{1: time.Hour, 2: time.Second} {
			peers := &fakePeers{self: server, fleet: fleet, sent: make(map[uint32]int), hideLoad: true}
			fleet[server] = newExecutor(t, server, &fakeUpstream{serviceTime: serviceTime}, peers)
		}
		for _, e := range fleet {
			occupy(t, e, testPolicy().Slots)
		}
		owner := fleet[1]
		called := time.Now()
		answer, refusal := owner.Call(t.Context(), orderRequest("a", freshTicket(t, owner)))
		if refusal != nil || answer.GetUpstream() != 2 {
			t.Fatalf("answer %v, refusal %v", answer, refusal)
		}
		if elapsed := time.Since(called); elapsed != 2*time.Second {
			t.Fatalf("answered after %v, want 2 s: 1 s until the slot is free and 1 s to run", elapsed)
		}
	})
}
