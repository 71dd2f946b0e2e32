package upstream

import (
	"encoding/json"
	"errors"
	"io"
	"sync"
)

// Run is one start of a request, feed or download, as recorded by the upstream.
type Run struct {
	RequestID  string `json:"request_id"`
	Method     string `json:"method"`
	Item       string `json:"item"`
	Attempt    int    `json:"attempt"`
	Idempotent bool   `json:"idempotent"`
	// StartedMilliseconds is the start time, in milliseconds since the Unix epoch.
	StartedMilliseconds int64 `json:"started_ms"`
}

// Report holds the runs and counters of one upstream.
type Report struct {
	Service string `json:"service"`
	Number  uint32 `json:"number"`
	// Runs holds the starts of requests that are not idempotent.
	Runs []Run `json:"runs"`
	// Started counts the starts of requests, feeds and downloads.
	Started uint64 `json:"started"`
	// LastStartMilliseconds is the time of the last of these starts, in milliseconds since the Unix epoch.
	LastStartMilliseconds int64 `json:"last_start_ms"`
	// Starts holds the times of all these starts, in milliseconds since the Unix epoch.
	Starts []int64 `json:"starts"`
	// WrongService counts received requests that were for another service.
	WrongService uint64 `json:"wrong_service"`
	// ResumedDownloads counts downloads that resumed an interrupted one.
	ResumedDownloads uint64 `json:"resumed_downloads"`
	// RefusedBusy counts requests that were refused because every slot was busy.
	RefusedBusy uint64 `json:"over_slots"`
	// PeakBusy is the highest number of slots that were busy at once.
	PeakBusy int `json:"peak_busy"`
	// Canceled counts runs that the agent canceled or whose deadline passed.
	Canceled uint64 `json:"canceled"`
}

// runLog records each run at its start, before any work, so that a failure during the run cannot hide it.
type runLog struct {
	mu      sync.Mutex
	report  Report
	journal *json.Encoder
}

// openJournal reads the runs of an earlier process from a journal and appends later runs to it.
func (l *runLog) openJournal(journal io.ReadWriter) error {
	decoder := json.NewDecoder(journal)
	for {
		var run Run
		err := decoder.Decode(&run)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		l.record(run)
	}
	l.journal = json.NewEncoder(journal)
	return nil
}

func (l *runLog) record(run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.journal != nil {
		_ = l.journal.Encode(run) // The record in memory is complete without it.
	}
	l.report.Started++
	l.report.LastStartMilliseconds = run.StartedMilliseconds
	l.report.Starts = append(l.report.Starts, run.StartedMilliseconds)
	if !run.Idempotent {
		l.report.Runs = append(l.report.Runs, run)
	}
}

func (l *runLog) update(f func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.report)
}

func (l *runLog) snapshot() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.report
	report.Runs = append([]Run{}, l.report.Runs...)
	report.Starts = append([]int64{}, l.report.Starts...)
	return report
}
