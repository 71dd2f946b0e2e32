package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/bramleyrack/bramleyrack/requesttrace"
)

// requestReplay holds the simulated service against which a trace of requests is replayed, and the
// expectations.
type requestReplay struct {
	servers, slots, queue      int
	factor                     float64
	minGoodput, maxAttempts    float64
	callerDelay, peerDelay     time.Duration
	reportInterval, retryAfter time.Duration
	retryShare                 float64
	seed                       int64
}

// maxBaselineAttempts bounds the attempts of a caller for one request under a baseline policy.
const maxBaselineAttempts = 3

func (r *requestReplay) setFlags(f *flag.FlagSet) {
	f.IntVar(&r.servers, "servers", 7, "requests: `count` of upstreams")
	f.IntVar(&r.slots, "slots", 5, "requests: `count` of slots of each upstream")
	f.IntVar(&r.queue, "queue-length", 64, "requests: `count` that may be queued at each upstream")
	f.Float64Var(&r.factor, "factor", 1, "requests: `multiple` of the recorded load")
	f.Float64Var(&r.minGoodput, "min-goodput", 0, "requests: expected minimum `share` of the capacity that is spent on answers in time")
	f.Float64Var(&r.maxAttempts, "max-attempts", 1.1, "requests: expected maximum `attempts` per request")
	f.DurationVar(&r.callerDelay, "caller-delay", time.Millisecond, "requests: one-way latency between caller and upstream as a `duration`")
	f.DurationVar(&r.peerDelay, "peer-delay", 1500*time.Microsecond, "requests: one-way latency between upstreams as a `duration`")
	f.DurationVar(&r.reportInterval, "report-every", 500*time.Millisecond, "requests: `duration` between load reports")
	f.DurationVar(&r.retryAfter, "retry-after", 200*time.Millisecond, "requests: mean `duration` until a refused caller retries")
	f.Float64Var(&r.retryShare, "retry-share", 0.1, "requests: retries allowed as a `share` of the successful requests")
	f.Int64Var(&r.seed, "seed", 1, "requests: `seed` of random choices")
}

func (r *requestReplay) check() error {
	if r.servers <= 0 || r.slots <= 0 || r.queue < 0 || r.factor <= 0 || r.reportInterval <= 0 {
		return fmt.Errorf("--servers, --slots, --factor and --report-every must be positive, and --queue-length must not be negative")
	}
	return nil
}

func (r *requestReplay) replay(name string, baselines bool) (*replayReport, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	trace, err := requesttrace.Read(file)
	if err != nil {
		return nil, err
	}
	trace = requesttrace.Scale(trace, r.factor)
	result := requesttrace.Replay(trace, r.config(requesttrace.Admission))
	base := filepath.Base(name)
	report := &replayReport{File: name, Name: strings.TrimSuffix(base, filepath.Ext(base)), Kind: "requests", Missed: r.missed(result)}
	report.Runs = append(report.Runs, requestReport(requesttrace.Admission, result))
	if !baselines {
		return report, nil
	}
	for dispatch := requesttrace.FlowFIFO; dispatch <= requesttrace.RoundRobinFIFO; dispatch++ {
		report.Runs = append(report.Runs, requestReport(dispatch, requesttrace.Replay(trace, r.config(dispatch))))
	}
	return report, nil
}

func (r *requestReplay) config(dispatch requesttrace.Dispatch) requesttrace.Config {
	return requesttrace.Config{
		Dispatch:       dispatch,
		Servers:        r.servers,
		Slots:          r.slots,
		QueueLength:    r.queue,
		CallerDelay:    r.callerDelay,
		PeerDelay:      r.peerDelay,
		ReportInterval: r.reportInterval,
		RetryAfter:     r.retryAfter,
		RetryShare:     r.retryShare,
		MaxAttempts:    maxBaselineAttempts,
		Seed:           r.seed,
	}
}

// missed returns the expectations that the result does not meet.
func (r *requestReplay) missed(result requesttrace.Report) []string {
	var missed []string
	if lost := result.Offered - result.Good - result.Refused - result.Late; lost != 0 {
		missed = append(missed, fmt.Sprintf("%d requests have no outcome", lost))
	}
	if result.Goodput < r.minGoodput {
		missed = append(missed, fmt.Sprintf("goodput %.3f, expected at least %.3f", result.Goodput, r.minGoodput))
	}
	if attempts := ratio(result.Attempts, result.Offered); attempts > r.maxAttempts {
		missed = append(missed, fmt.Sprintf("%.3f attempts per request, expected at most %.3f", attempts, r.maxAttempts))
	}
	return missed
}

func requestReport(dispatch requesttrace.Dispatch, r requesttrace.Report) policyReport {
	return policyReport{Policy: dispatch.String(), Metrics: []metric{
		{"offered", float64(r.Offered)},
		{"good", float64(r.Good)},
		{"refused", float64(r.Refused)},
		{"late", float64(r.Late)},
		{"attempts_per_request", ratio(r.Attempts, r.Offered)},
		{"goodput", r.Goodput},
		{"imbalance", r.Imbalance},
		{"p50_ms", milliseconds(r.P50)},
		{"p99_ms", milliseconds(r.P99)},
		{"refusal_p99_ms", milliseconds(r.RefusalP99)},
	}}
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
