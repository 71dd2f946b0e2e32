package caller

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Outcome is what a caller was told about one attempt.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeAnswered   Outcome = "answered"
	OutcomeNotRun     Outcome = "not_run"
	OutcomeUnknown    Outcome = "unknown"
	OutcomeAlreadyRun Outcome = "already_run"
	OutcomeFailed     Outcome = "failed"
)

// Attempt is one try to place one order, with what the caller was told.
type Attempt struct {
	Item    string  `json:"item"`
	Attempt int     `json:"attempt"`
	Outcome Outcome `json:"outcome"`
	Detail  string  `json:"detail,omitempty"`
}

// Result is all that a run of the load can say from the callers' side.
type Result struct {
	// Calls counts answered requests of all methods.
	Calls int `json:"calls"`
	// Feeds counts feeds that delivered events until the end of the run.
	Feeds int `json:"feeds"`
	// FeedEvents counts events, heartbeats aside.
	FeedEvents int `json:"feed_events"`
	// FeedSilenceMilliseconds is the longest time between two events of a feed.
	FeedSilenceMilliseconds int64 `json:"feed_silence_ms"`
	// Downloads counts whole objects.
	Downloads int `json:"downloads"`
	// BrokenFlows counts feeds that had to move or ended early, and downloads that were cut.
	BrokenFlows int `json:"broken_flows"`
	// WrongAnswers counts answers that don't fit their request.
	WrongAnswers int `json:"wrong_answers"`
	// Refused counts attempts that ended in a refusal, Unknown those without a known outcome.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// IdleWorkers counts workers that completed nothing.
	IdleWorkers int `json:"idle_workers"`
	// CallMilliseconds holds the time of each answered call.
	CallMilliseconds []float64 `json:"call_ms"`
	// Attempts holds every attempt to place an order.
	Attempts []Attempt `json:"attempts"`
	// Problems holds the first problems in words.
	Problems []string `json:"problems"`
}

// maxProblems bounds the problems that are kept in words.
const maxProblems = 50

// tally collects the result of all workers.
type tally struct {
	mu     sync.Mutex
	start  time.Time
	result Result
}

func (t *tally) change(f func(*Result)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.result)
}

// problem counts a problem and keeps it in words.
func (t *tally) problem(count func(*Result), text string) {
	t.change(func(r *Result) {
		if count != nil {
			count(r)
		}
		if len(r.Problems) < maxProblems {
			r.Problems = append(r.Problems, time.Since(t.start).Round(time.Millisecond).String()+" "+text)
		}
	})
}

// Write stores the result as JSON.
func (r *Result) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// ReadResult reads what Write has stored.
func ReadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	result := new(Result)
	return result, json.Unmarshal(data, result)
}
