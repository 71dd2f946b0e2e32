package request_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/internal/request"
	"github.com/bramleyrack/bramleyrack/settings"
)

const (
	overloadServers  = 3
	overloadSlots    = 5
	overloadWork     = 100 * time.Millisecond
	overloadLength   = 10 * time.Second
	overloadDeadline = 2 * time.Second
	overloadFactor   = 2
	minGoodput       = 0.95
	maxAttempts      = 1.1
)

// measuredUpstream measures the work that it completes and the peak number of concurrent requests.
type measuredUpstream struct {
	bramleyv1connect.UpstreamServiceClient
	rnd      *lockedRand
	busy     atomic.Int32
	peakBusy atomic.Int32
	// completedWork is the service time of the requests answered before loadEnd, in nanoseconds.
	completedWork atomic.Int64
	loadEnd       time.Time
}

func (u *measuredUpstream) Call(ctx context.Context, req *connect.Request[bramleyv1.CallRequest]) (*connect.Response[bramleyv1.CallResponse], error) {
	u.peakBusy.Store(max(u.peakBusy.Load(), u.busy.Add(1)))
	defer u.busy.Add(-1)
	work := overloadWork/2 + u.rnd.upTo(overloadWork)
	select {
	case <-time.After(work):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if !time.Now().After(u.loadEnd) {
		u.completedWork.Add(int64(work))
	}
	return connect.NewResponse(answerTo(req.Msg)), nil
}

// overload is a fleet whose callers offer twice the load that its upstreams can handle.
type overload struct {
	fleet     map[uint32]*request.Executor
	upstreams []*measuredUpstream
	rnd       *lockedRand
	attempts  atomic.Int64
	answered  atomic.Int64
}

func newOverload(t *testing.T) *overload {
	o := &overload{
		fleet: make(map[uint32]*request.Executor),
		rnd:   &lockedRand{rnd: rand.New(rand.NewSource(1))},
	}
	for server := uint32(1); server <= overloadServers; server++ {
		upstream := &measuredUpstream{rnd: o.rnd, loadEnd: time.Now().Add(overloadLength)}
		o.upstreams = append(o.upstreams, upstream)
		peers := &fakePeers{self: server, fleet: o.fleet, sent: make(map[uint32]int)}
		o.fleet[server] = newExecutor(t, server, nil, peers, func(c *request.Config) {
			c.Upstream = upstream
			policy := testPolicy()
			policy.Slots = overloadSlots
			c.Policy = func() settings.Policy { return policy }
		})
	}
	return o
}

// call sends one request and retries it after the delay of each refusal, as long as its deadline permits.
func (o *overload) call(number int) {
	ctx, cancel := context.WithTimeout(context.Background(), overloadDeadline)
	defer cancel()
	e := o.fleet[uint32(number%overloadServers+1)]
	var ticket []byte
	for {
		if len(ticket) > 0 {
			o.attempts.Add(1)
		}
		answer, refusal := e.Call(ctx, orderRequest(fmt.Sprint("order-", number), ticket))
		if answer != nil {
			o.answered.Add(1)
			return
		}
		ticket = refusal.GetNextTicket()
		wait := time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
		if deadline, _ := ctx.Deadline(); time.Until(deadline) <= wait {
			return
		}
		time.Sleep(wait)
	}
}

func TestGoodputHoldsAtTwiceTheCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverload(t)
		interval := overloadWork / (overloadServers * overloadSlots * overloadFactor)
		offered := int(overloadLength / interval)
		var callers sync.WaitGroup
		for number := range offered {
			time.Sleep(interval)
			callers.Go(func() { o.call(number) })
		}
		callers.Wait()
		o.check(t, offered)
	})
}

func (o *overload) check(t *testing.T, offered int) {
	var completedWork time.Duration
	for i, upstream := range o.upstreams {
		completedWork += time.Duration(upstream.completedWork.Load())
		if peak := upstream.peakBusy.Load(); peak > overloadSlots {
			t.Errorf("upstream %d ran %d requests concurrently, which is more than its slots", i+1, peak)
		}
	}
	goodput := float64(completedWork) / float64(overloadLength*overloadServers*overloadSlots)
	attempts := float64(o.attempts.Load()) / float64(offered)
	t.Logf("offered %d, answered %d, goodput %.3f of capacity, %.3f attempts per request", offered, o.answered.Load(), goodput, attempts)
	if goodput < minGoodput {
		t.Errorf("goodput %.3f of capacity is too low", goodput)
	}
	if attempts > maxAttempts {
		t.Errorf("%.3f attempts per request are too many", attempts)
	}
}

// BenchmarkCall measures calls that are not idempotent against an upstream that answers immediately.
func BenchmarkCall(b *testing.B) {
	e := request.New(request.Config{
		Service: 1, Server: 1, Incarnation: 1,
		Keys:     [2][]byte{make([]byte, 32), nil},
		Upstream: &instantUpstream{},
		Policy:   testPolicy,
		Now:      time.Now,
		Rand:     rand.New(rand.NewSource(1)),
	})
	defer e.Close()
	_, refusal := e.Call(b.Context(), orderRequest("first", nil))
	ticket := refusal.GetNextTicket()
	b.ReportAllocs()
	for b.Loop() {
		answer, refusal := e.Call(b.Context(), orderRequest("order", ticket))
		if refusal != nil {
			b.Fatal(refusal)
		}
		ticket = answer.GetNextTicket()
	}
}

type instantUpstream struct {
	bramleyv1connect.UpstreamServiceClient
}

func (*instantUpstream) Call(_ context.Context, req *connect.Request[bramleyv1.CallRequest]) (*connect.Response[bramleyv1.CallResponse], error) {
	return connect.NewResponse(answerTo(req.Msg)), nil
}
