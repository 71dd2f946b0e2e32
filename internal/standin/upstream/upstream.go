// Package upstream is a stand-in for one of the users' servers. It has slots, a cold start and a drain, and honors
// cancellation and deadlines. It records each run itself, so that the runs can be compared with the outcomes
// that callers got.
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

// HealthMode selects whether the health endpoint reports the actual state.
type HealthMode string

// Modes of the health endpoint.
const (
	// HealthAccurate reports the actual state.
	HealthAccurate HealthMode = "true"
	// HealthIdle always reports that the upstream is idle and accepts work.
	HealthIdle HealthMode = "idle"
	// HealthBusy always reports that every slot is busy.
	HealthBusy HealthMode = "busy"
)

// Config configures an upstream.
type Config struct {
	// Service and Number identify the upstream.
	Service string
	Number  uint32
	// Slots is the maximum number of requests that run at once.
	Slots int
	// ServiceTime is the mean service time. Each request takes between 0.5 and 1.5 times as long.
	ServiceTime time.Duration
	// ColdStart is the period after the start in which requests take ColdFactor times as long.
	ColdStart  time.Duration
	ColdFactor int
	// ObjectBytes is the size of each downloadable object, in bytes.
	ObjectBytes int
	// ChunkInterval is the pause after each chunk of a download except the last.
	ChunkInterval time.Duration
	// Health is the mode of the health endpoint.
	Health HealthMode
}

// chunkBytes is the largest size of a chunk of a download, in bytes.
const chunkBytes = 32 << 10

var (
	errBusy         = errors.New("every slot is busy")
	errDraining     = errors.New("upstream is draining")
	errWrongService = errors.New("request is for another service")
)

// Upstream serves UpstreamService.
type Upstream struct {
	config   Config
	started  time.Time
	slots    *slots
	runs     runLog
	draining atomic.Bool
	// drainStarted is closed when the drain starts.
	drainStarted chan struct{}
}

// New returns an upstream. Its cold start begins now.
func New(config Config) *Upstream {
	u := &Upstream{
		config:       config,
		started:      time.Now(),
		slots:        newSlots(config.Slots),
		drainStarted: make(chan struct{}),
	}
	u.runs.report.Service = config.Service
	u.runs.report.Number = config.Number
	return u
}

// OpenJournal reads the runs of an earlier process from a journal and appends the runs of this process to it.
// It must be called before the upstream serves requests.
func (u *Upstream) OpenJournal(journal io.ReadWriter) error { return u.runs.openJournal(journal) }

// Handler serves UpstreamService.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(bramleyv1connect.NewUpstreamServiceHandler(u))
	return mux
}

// OperatorHandler serves the operator interface: GET /runs returns the Report as JSON.
func (u *Upstream) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(u.Report())
	})
	return mux
}

// Report returns a copy of the runs and counters so far.
func (u *Upstream) Report() Report { return u.runs.snapshot() }

// Drain refuses new work, ends the feeds and waits until no request is running.
func (u *Upstream) Drain(ctx context.Context) error {
	if u.draining.CompareAndSwap(false, true) {
		close(u.drainStarted)
	}
	return u.slots.drain(ctx)
}

// Call runs a request, or refuses it if every slot is busy.
func (u *Upstream) Call(ctx context.Context, req *connect.Request[bramleyv1.CallRequest]) (*connect.Response[bramleyv1.CallResponse], error) {
	if u.draining.Load() {
		return nil, notRun(connect.CodeUnavailable, errDraining)
	}
	body, err := content.DecodeBody(req.Msg.GetBody())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if body.Service != u.config.Service {
		u.runs.update(func(r *Report) { r.WrongService++ })
		return nil, connect.NewError(connect.CodeInvalidArgument, errWrongService)
	}
	if !u.slots.acquire() {
		u.runs.update(func(r *Report) { r.RefusedBusy++ })
		return nil, notRun(connect.CodeResourceExhausted, errBusy)
	}
	defer u.slots.release()
	u.recordRun(req.Msg, body)
	if err := u.simulateWork(ctx); err != nil {
		u.runs.update(func(r *Report) { r.Canceled++ })
		return nil, err
	}
	return connect.NewResponse(u.newResponse(req.Msg)), nil
}

func (u *Upstream) recordRun(req *bramleyv1.CallRequest, body content.Body) {
	busy := u.slots.busy()
	u.runs.record(Run{
		RequestID:           req.GetRequestId(),
		Method:              req.GetMethod(),
		Item:                body.Item,
		Attempt:             body.Attempt,
		Idempotent:          req.GetMethod() != content.MethodOrder,
		StartedMilliseconds: time.Now().UnixMilli(),
	})
	u.runs.update(func(r *Report) { r.PeakBusy = max(r.PeakBusy, busy) })
}

func (u *Upstream) newResponse(req *bramleyv1.CallRequest) *bramleyv1.CallResponse {
	body := content.Answer(req.GetMethod(), req.GetBody())
	digest := sha256.Sum256(body)
	return &bramleyv1.CallResponse{
		RequestId: req.GetRequestId(),
		Body:      body,
		Digest:    digest[:],
		Upstream:  u.config.Number,
	}
}

// simulateWork simulates the service time of a request. It returns early with an error if the request is canceled.
func (u *Upstream) simulateWork(ctx context.Context) error {
	duration := u.config.ServiceTime/2 + rand.N(u.config.ServiceTime+1)
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

// Health reports the state of the upstream, or the false state that the health mode selects.
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
