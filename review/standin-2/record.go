package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one event a line with the time since its start.
type record struct {
	start time.Time

	mu    sync.Mutex
	file  *os.File
	lines *bufio.Writer
	// broken holds the findings that break the rule.
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, lines: bufio.NewWriter(file)}, nil
}

func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.lines, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records a finding that breaks the rule.
func (r *record) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.event("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// close writes the result and returns how many findings there are.
func (r *record) close() int {
	n := len(r.broken)
	r.event("result: the rule was broken %d times", n)
	_ = r.lines.Flush()
	_ = r.file.Close()
	return n
}
