package caller

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Outcome is the result of one attempt, as reported to the caller.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeAnswered   Outcome = "answered"
	OutcomeNotRun     Outcome = "not_run"
	OutcomeUnknown    Outcome = "unknown"
	OutcomeAlreadyRun Outcome = "already_run"
	OutcomeFailed     Outcome = "failed"
)

// Attempt is one attempt to place an order.
type Attempt struct {
	Item    string  `json:"item"`
	Attempt int     `json:"attempt"`
	Outcome Outcome `json:"outcome"`
	Detail  string  `json:"detail,omitempty"`
}

// Result holds what the callers observed during a run.
type Result struct {
	// Calls counts answered requests of all methods.
	Calls int `json:"calls"`
	// Feeds counts feeds that delivered events until the end of the run.
	Feeds int `json:"feeds"`
	// FeedEvents counts feed events other than heartbeats and the first event of each feed.
	FeedEvents int `json:"feed_events"`
	// FeedSilenceMilliseconds is the longest time between two events of any feed.
	FeedSilenceMilliseconds int64 `json:"feed_silence_ms"`
	// Downloads counts completely downloaded objects.
	Downloads int `json:"downloads"`
	// BrokenFlows counts reconnects of feeds, feeds that ended early or were silent at the end, and downloads that
	// failed.
	BrokenFlows int `json:"broken_flows"`
	// WrongAnswers counts answers that do not match their request, and gaps in feeds.
	WrongAnswers int `json:"wrong_answers"`
	// Refused counts attempts that were refused or failed. Unknown counts attempts whose outcome is unknown.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// IdleWorkers counts workers that completed nothing.
	IdleWorkers int `json:"idle_workers"`
	// CallMilliseconds holds the latency of each answered call.
	CallMilliseconds []float64 `json:"call_ms"`
	// Attempts holds all attempts to place orders.
	Attempts []Attempt `json:"attempts"`
	// Problems describes the first problems, up to maxProblems.
	Problems []string `json:"problems"`
}

// maxProblems limits the number of problem descriptions that a Result keeps.
const maxProblems = 50

// collector collects the results of all workers.
type collector struct {
	mu     sync.Mutex
	start  time.Time
	result Result
}

func (c *collector) update(f func(*Result)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.result)
}

// addProblem counts a problem and keeps its description. count may be nil.
func (c *collector) addProblem(count func(*Result), text string) {
	c.update(func(r *Result) {
		if count != nil {
			count(r)
		}
		if len(r.Problems) < maxProblems {
			r.Problems = append(r.Problems, time.Since(c.start).Round(time.Millisecond).String()+" "+text)
		}
	})
}

// Write writes the result to a file as JSON.
func (r *Result) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// ReadResult reads a file that Write has written.
func ReadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	result := new(Result)
	return result, json.Unmarshal(data, result)
}
