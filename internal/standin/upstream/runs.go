package upstream

import (
	"encoding/json"
	"errors"
	"io"
	"sync"
)

// Run is one start of one request, as the upstream itself saw it.
type Run struct {
	RequestID  string `json:"request_id"`
	Method     string `json:"method"`
	Item       string `json:"item"`
	Attempt    int    `json:"attempt"`
	Idempotent bool   `json:"idempotent"`
	// StartedMilliseconds is the time of the start since the Unix epoch.
	StartedMilliseconds int64 `json:"started_ms"`
}

// Report is all that an upstream can say about its runs.
type Report struct {
	Service string `json:"service"`
	Number  uint32 `json:"number"`
	// Runs holds each start of a request that is not idempotent.
	Runs []Run `json:"runs"`
	// Started counts the starts of all requests, feeds and downloads.
	Started uint64 `json:"started"`
	// LastStartMilliseconds is the time of the newest start of any request, feed or download.
	LastStartMilliseconds int64 `json:"last_start_ms"`
	// Starts holds the time of each start of any work, in milliseconds since the Unix epoch.
	Starts []int64 `json:"starts"`
	// WrongService counts requests that were meant for another service.
	WrongService uint64 `json:"wrong_service"`
	// ResumedDownloads counts downloads that continued one that was cut.
	ResumedDownloads uint64 `json:"resumed_downloads"`
	// OverSlots counts requests that were turned away because every slot was busy.
	OverSlots uint64 `json:"over_slots"`
	// PeakBusy is the highest number of busy slots.
	PeakBusy int `json:"peak_busy"`
	// Canceled counts runs that the agent gave up.
	Canceled uint64 `json:"canceled"`
}

// ledger counts runs at their start, before any work, so that no later failure hides one.
type ledger struct {
	mu      sync.Mutex
	report  Report
	journal *json.Encoder
}

// open takes in the runs of an earlier process from a journal and continues it.
func (l *ledger) open(journal io.ReadWriter) error {
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
		l.start(run)
	}
	l.journal = json.NewEncoder(journal)
	return nil
}

func (l *ledger) start(run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.journal != nil {
		_ = l.journal.Encode(run) // The count in memory stays true.
	}
	l.report.Started++
	l.report.LastStartMilliseconds = run.StartedMilliseconds
	l.report.Starts = append(l.report.Starts, run.StartedMilliseconds)
	if !run.Idempotent {
		l.report.Runs = append(l.report.Runs, run)
	}
}

func (l *ledger) change(f func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.report)
}

func (l *ledger) snapshot() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.report
	report.Runs = append([]Run{}, l.report.Runs...)
	report.Starts = append([]int64{}, l.report.Starts...)
	return report
}
