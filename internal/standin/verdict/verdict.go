// Package verdict compares the outcomes that callers got with the runs that upstreams recorded, and checks that a
// deployment kept its guarantees.
package verdict

import (
	"fmt"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/standin/caller"
	"github.com/bramleyrack/bramleyrack/internal/standin/upstream"
)

// LeavingGrace is how long an upstream may still get new work after it was published as leaving.
const LeavingGrace = 3 * time.Second

// InForceLimit is the time after publication within which an accepted revision must be in force in every process.
const InForceLimit = 6 * time.Second

// Input holds the results that a verdict is based on.
type Input struct {
	Result  *caller.Result
	Reports []upstream.Report
	// Leaving is the number of the leaving upstream, or zero. LeavingSince is when it was published as leaving.
	Leaving      uint32
	LeavingSince time.Time
	// Flows holds, for each service, the mean number of flows of each upstream that takes new work.
	Flows map[string][]float64
	// InForce is the longest time until a published revision was in force in every process.
	InForce time.Duration
	// AllowBrokenFlows is set if broken flows and unknown outcomes are accepted, in scenarios that kill an owner.
	AllowBrokenFlows bool
	// AllowIdleWorkers is set if workers that completed nothing and unknown outcomes at the deadline are accepted, in
	// scenarios with more load than slots.
	AllowIdleWorkers bool
}

// Verdict holds the figures of the summary line and the violated guarantees.
type Verdict struct {
	Calls, Feeds, Downloads   int
	BrokenFlows, WrongAnswers int
	RunTwice, FalseNotRun     int
	LeavingNewWork            int
	// Imbalances holds, for each service, the ratio of the largest to the mean number of flows of its upstreams.
	Imbalances              map[string]float64
	InForce                 time.Duration
	Refused, Unknown        int
	FeedSilenceMilliseconds int64
	// Violations lists the violated guarantees.
	Violations []string
}

// New computes the verdict.
func New(in Input) Verdict {
	v := Verdict{
		Calls:                   in.Result.Calls,
		Feeds:                   in.Result.Feeds,
		Downloads:               in.Result.Downloads,
		BrokenFlows:             in.Result.BrokenFlows + resumedDownloads(in.Reports),
		WrongAnswers:            in.Result.WrongAnswers + wrongService(in.Reports),
		Imbalances:              imbalances(in.Flows),
		InForce:                 in.InForce,
		Refused:                 in.Result.Refused,
		Unknown:                 in.Result.Unknown,
		FeedSilenceMilliseconds: in.Result.FeedSilenceMilliseconds,
	}
	v.compareRuns(in)
	v.LeavingNewWork = leavingNewWork(in)
	v.checkGuarantees(in)
	return v
}

type attemptKey struct {
	item    string
	attempt int
}

// compareRuns compares the outcome of each attempt with the runs that the upstreams recorded.
func (v *Verdict) compareRuns(in Input) {
	byItem := make(map[string]int)
	byAttempt := make(map[attemptKey]int)
	for _, report := range in.Reports {
		for _, run := range report.Runs {
			byItem[run.Item]++
			byAttempt[attemptKey{run.Item, run.Attempt}]++
		}
	}
	for _, runs := range byItem {
		if runs > 1 {
			v.RunTwice++
		}
	}
	for _, attempt := range in.Result.Attempts {
		runs := byAttempt[attemptKey{attempt.Item, attempt.Attempt}]
		switch {
		case attempt.Outcome == caller.OutcomeNotRun && runs > 0:
			v.FalseNotRun++
		case attempt.Outcome == caller.OutcomeAnswered && runs == 0:
			v.WrongAnswers++
		}
	}
}

func wrongService(reports []upstream.Report) int {
	var n uint64
	for _, report := range reports {
		n += report.WrongService
	}
	return int(n)
}

func resumedDownloads(reports []upstream.Report) int {
	var n uint64
	for _, report := range reports {
		n += report.ResumedDownloads
	}
	return int(n)
}

// leavingNewWork counts the starts at the leaving upstream after LeavingGrace.
func leavingNewWork(in Input) int {
	if in.Leaving == 0 {
		return 0
	}
	limit := in.LeavingSince.Add(LeavingGrace).UnixMilli()
	n := 0
	for _, report := range in.Reports {
		if report.Number != in.Leaving {
			continue
		}
		for _, start := range report.Starts {
			if start > limit {
				n++
			}
		}
	}
	return n
}

func imbalances(flows map[string][]float64) map[string]float64 {
	ratios := make(map[string]float64)
	for service, counts := range flows {
		sum, largest := 0.0, 0.0
		for _, count := range counts {
			sum += count
			largest = max(largest, count)
		}
		if sum > 0 {
			ratios[service] = largest * float64(len(counts)) / sum
		}
	}
	return ratios
}

func largestRatio(ratios map[string]float64) float64 {
	worst := 0.0
	for _, ratio := range ratios {
		worst = max(worst, ratio)
	}
	return worst
}

// Summary returns the summary line, with the highest imbalance of all services.
func (v *Verdict) Summary() string {
	return fmt.Sprintf("calls=%d feeds=%d downloads=%d broken_flows=%d wrong_answers=%d run_twice=%d "+
		"false_not_run=%d leaving_new_work=%d imbalance=%.2f revision_in_force_ms=%d refused=%d unknown=%d "+
		"feed_silence_ms=%d",
		v.Calls, v.Feeds, v.Downloads, v.BrokenFlows, v.WrongAnswers, v.RunTwice,
		v.FalseNotRun, v.LeavingNewWork, largestRatio(v.Imbalances), v.InForce.Milliseconds(), v.Refused, v.Unknown,
		v.FeedSilenceMilliseconds)
}
