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

// requestReplay is the service that a trace of requests is replayed against, and the stated outcome.
type requestReplay struct {
	servers, slots, queue   int
	factor                  float64
	minGoodput, maxAttempts float64
	callerDelay, peerDelay  time.Duration
	reportEvery, retryAfter time.Duration
	retryShare              float64
	seed                    int64
}

// maxTries bounds the tries of a caller of a baseline.
const maxTries = 3

func (r *requestReplay) setFlags(f *flag.FlagSet) {
	f.IntVar(&r.servers, "servers", 7, "requests: `count` of upstreams")
	f.IntVar(&r.slots, "slots", 5, "requests: `count` of slots of each upstream")
	f.IntVar(&r.queue, "queue-length", 64, "requests: `count` that may wait at each upstream")
	f.Float64Var(&r.factor, "factor", 1, "requests: `multiple` of the recorded load")
	f.Float64Var(&r.minGoodput, "min-goodput", 0, "requests: least stated `share` of the capacity spent on answers in time")
	f.Float64Var(&r.maxAttempts, "max-attempts", 1.1, "requests: most stated `attempts` for each request")
	f.DurationVar(&r.callerDelay, "caller-delay", time.Millisecond, "requests: `duration` one way between caller and upstream")
	f.DurationVar(&r.peerDelay, "peer-delay", 1500*time.Microsecond, "requests: `duration` one way between upstreams")
	f.DurationVar(&r.reportEvery, "report-every", 500*time.Millisecond, "requests: `duration` between load reports")
	f.DurationVar(&r.retryAfter, "retry-after", 200*time.Millisecond, "requests: mean `duration` until a refused caller comes back")
	f.Float64Var(&r.retryShare, "retry-share", 0.1, "requests: `share` of successes that may be added as retries")
	f.Int64Var(&r.seed, "seed", 1, "requests: `seed` of random choices")
}

func (r *requestReplay) check() error {
	if r.servers <= 0 || r.slots <= 0 || r.queue < 0 || r.factor <= 0 || r.reportEvery <= 0 {
		return fmt.Errorf("--servers, --slots, --factor and --report-every must be above zero, --queue-length not below")
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
		ReportInterval: r.reportEvery,
		RetryAfter:     r.retryAfter,
		RetryShare:     r.retryShare,
		MaxAttempts:    maxTries,
		Seed:           r.seed,
	}
}

// missed returns the stated outcomes that a report misses.
func (r *requestReplay) missed(result requesttrace.Report) []string {
	var missed []string
	if lost := result.Offered - result.Good - result.Refused - result.Late; lost != 0 {
		missed = append(missed, fmt.Sprintf("%d requests have no outcome", lost))
	}
	if result.Goodput < r.minGoodput {
		missed = append(missed, fmt.Sprintf("goodput %.3f, expected at least %.3f", result.Goodput, r.minGoodput))
	}
	if attempts := share(result.Attempts, result.Offered); attempts > r.maxAttempts {
		missed = append(missed, fmt.Sprintf("%.3f attempts for each request, expected at most %.3f", attempts, r.maxAttempts))
	}
	return missed
}

func requestReport(dispatch requesttrace.Dispatch, r requesttrace.Report) policyReport {
	return policyReport{Policy: dispatch.String(), Metrics: []figure{
		{"offered", float64(r.Offered)},
		{"good", float64(r.Good)},
		{"refused", float64(r.Refused)},
		{"late", float64(r.Late)},
		{"attempts_per_request", share(r.Attempts, r.Offered)},
		{"goodput", r.Goodput},
		{"imbalance", r.Imbalance},
		{"p50_ms", milliseconds(r.P50)},
		{"p99_ms", milliseconds(r.P99)},
		{"refusal_p99_ms", milliseconds(r.RefusalP99)},
	}}
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
