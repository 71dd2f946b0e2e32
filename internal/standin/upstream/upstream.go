// Package upstream is a stand-in for a server of the users: it has slots, a cold start and a drain,
// honours cancellation and deadlines, and counts each run where the run happens.
package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/internal/standin/content"
)

// HealthMode says how far the health endpoint can be trusted.
type HealthMode string

// Modes of the health endpoint.
const (
	// HealthTrue reports the state as it is.
	HealthTrue HealthMode = "true"
	// HealthIdle always claims to be idle and accepting.
	HealthIdle HealthMode = "idle"
	// HealthBusy always claims that every slot is busy.
	HealthBusy HealthMode = "busy"
)

// Config holds the properties of an upstream.
type Config struct {
	// Service and Number say which upstream this is.
	Service string
	Number  uint32
	// Slots is how many requests run at once.
	Slots int
	// Work is the mean time of a request; each takes between half and one and a half times as long.
	Work time.Duration
	// ColdStart is the time after the start during which requests take ColdFactor times as long.
	ColdStart time.Duration
	// ColdFactor is the slowdown during the cold start.
	ColdFactor int
	// ObjectBytes is the size of each object for download.
	ObjectBytes int
	// ChunkInterval is the pause after each chunk of a download.
	ChunkInterval time.Duration
	// Health says how far the health endpoint can be trusted.
	Health HealthMode
}

// chunkBytes is the size of one piece of a download.
const chunkBytes = 32 << 10

var (
	errBusy     = errors.New("every slot is busy")
	errDraining = errors.New("upstream is draining")
	errService  = errors.New("request is meant for another service")
)

// Upstream serves UpstreamService.
type Upstream struct {
	config   Config
	started  time.Time
	slots    *slots
	ledger   ledger
	draining atomic.Bool
	drained  chan struct{}
}

// New returns an upstream whose cold start begins now.
func New(config Config) *Upstream {
	u := &Upstream{
		config:  config,
		started: time.Now(),
		slots:   newSlots(config.Slots),
		drained: make(chan struct{}),
	}
	u.ledger.report.Service = config.Service
	u.ledger.report.Number = config.Number
	return u
}

// OpenJournal takes in the runs of an earlier process from a journal and adds the runs of this one. It
// must be called before the upstream serves.
func (u *Upstream) OpenJournal(journal io.ReadWriter) error { return u.ledger.open(journal) }

// Handler returns the handler of UpstreamService.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(bramleyv1connect.NewUpstreamServiceHandler(u))
	return mux
}

// Operator returns the handler that reports the runs as JSON.
func (u *Upstream) Operator() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(u.Report())
	})
	return mux
}

// Report returns the runs so far.
func (u *Upstream) Report() Report { return u.ledger.snapshot() }

// Drain refuses new work, ends the feeds and waits until no request runs.
func (u *Upstream) Drain(ctx context.Context) error {
	if u.draining.CompareAndSwap(false, true) {
		close(u.drained)
	}
	return u.slots.drain(ctx)
}

// Call runs one request in a slot.
func (u *Upstream) Call(ctx context.Context, req *connect.Request[bramleyv1.CallRequest]) (*connect.Response[bramleyv1.CallResponse], error) {
	if u.draining.Load() {
		return nil, notRun(connect.CodeUnavailable, errDraining)
	}
	body, err := content.DecodeBody(req.Msg.GetBody())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if body.Service != u.config.Service {
		u.ledger.change(func(r *Report) { r.WrongService++ })
		return nil, connect.NewError(connect.CodeInvalidArgument, errService)
	}
	if !u.slots.acquire() {
		u.ledger.change(func(r *Report) { r.OverSlots++ })
		return nil, notRun(connect.CodeResourceExhausted, errBusy)
	}
	defer u.slots.release()
	u.begin(req.Msg, body)
	if err := u.work(ctx); err != nil {
		u.ledger.change(func(r *Report) { r.Canceled++ })
		return nil, err
	}
	return connect.NewResponse(u.answer(req.Msg)), nil
}

func (u *Upstream) begin(req *bramleyv1.CallRequest, body content.Body) {
	busy := u.slots.busy()
	u.ledger.start(Run{
		RequestID:           req.GetRequestId(),
		Method:              req.GetMethod(),
		Item:                body.Item,
		Attempt:             body.Attempt,
		Idempotent:          req.GetMethod() != content.MethodOrder,
		StartedMilliseconds: time.Now().UnixMilli(),
	})
	u.ledger.change(func(r *Report) { r.PeakBusy = max(r.PeakBusy, busy) })
}

func (u *Upstream) answer(req *bramleyv1.CallRequest) *bramleyv1.CallResponse {
	body := content.Answer(req.GetMethod(), req.GetBody())
	digest := sha256.Sum256(body)
	return &bramleyv1.CallResponse{
		RequestId: req.GetRequestId(),
		Body:      body,
		Digest:    digest[:],
		Upstream:  u.config.Number,
	}
}

// work takes as long as a request does, or until the caller gives it up.
func (u *Upstream) work(ctx context.Context) error {
	duration := u.config.Work/2 + rand.N(u.config.Work+1)
	if u.warming() {
		duration *= time.Duration(u.config.ColdFactor)
	}
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (u *Upstream) warming() bool { return time.Since(u.started) < u.config.ColdStart }

// Health reports the state as the mode wants it.
func (u *Upstream) Health(context.Context, *connect.Request[bramleyv1.HealthRequest]) (*connect.Response[bramleyv1.HealthResponse], error) {
	health := &bramleyv1.HealthResponse{
		Accepting: !u.draining.Load(),
		Warming:   u.warming(),
		Slots:     uint32(u.config.Slots),
		Busy:      uint32(u.slots.busy()),
	}
	switch u.config.Health {
	case HealthIdle:
		health.Accepting = true
		health.Warming = false
		health.Busy = 0
	case HealthBusy:
		health.Busy = health.GetSlots()
	}
	return connect.NewResponse(health), nil
}
