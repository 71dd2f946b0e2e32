package main

import (
	"os"
	"time"

	"github.com/bramleyrack/bramleyrack/flowtrace"
)

func replayFlows(name string, baselines bool) (*replayReport, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	trace, err := flowtrace.Read(file)
	if err != nil {
		return nil, err
	}
	result := flowtrace.Replay(trace)
	report := &replayReport{File: name, Name: trace.Name, Kind: "flows", Missed: trace.Expect.Check(result)}
	report.Runs = append(report.Runs, flowReport(result))
	if !baselines {
		return report, nil
	}
	for _, baseline := range flowtrace.Baselines(trace) {
		report.Runs = append(report.Runs, flowReport(baseline))
	}
	return report, nil
}

func flowReport(r *flowtrace.Result) policyReport {
	return policyReport{Policy: r.Policy, Metrics: []figure{
		{"opened", float64(r.Opened)},
		{"failed_opens", float64(r.FailedOpens)},
		{"broken", float64(r.Broken)},
		{"timed_out", float64(r.TimedOut)},
		{"broken_by_owner", float64(r.BrokenByOwner)},
		{"other_service", float64(r.OtherService)},
		{"imbalance", r.Imbalance},
		{"imbalance_excess", r.ImbalanceExcess},
		{"passes_per_packet", r.PassesPerPacket()},
		{"last_accept_after_drain_ms", milliseconds(r.LastAcceptAfterDrain)},
	}}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
