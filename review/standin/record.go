package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, run and answered, and collects the breaches of the rules.
type record struct {
	mu       sync.Mutex
	file     *os.File
	start    time.Time
	breaches int
	owners   map[flowKey]*server
	runs     map[string]int
	done     int
	// excused returns why a reset of a flow does not count, or an empty text.
	excused func(f *clientFlow, idle time.Duration) string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now(), owners: map[flowKey]*server{}, runs: map[string]int{}}, nil
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule was broken.
func (r *record) breach(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches++
	r.write("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// opened records that a server has the end of a flow's handshake.
func (r *record) opened(key flowKey, s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners[key] = s
	r.write("open %v at server %s of %s", key.client, s.id, s.service)
}

func (r *record) sent(id string) {
	r.log("sent order %s", id)
}

// ran records that a server begins to work on an order.
func (r *record) ran(id string, s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.write("ran order %s at server %s", id, s.id)
}

// outcome records the outcome of an order. A reset by the system breaks rule FLOW, since no server of a case ever stops.
func (r *record) outcome(f *clientFlow, id string, idle time.Duration, outcome string) {
	owner := r.owner(f.key)
	if outcome == "done" {
		r.mu.Lock()
		r.done++
		r.mu.Unlock()
	}
	r.log("order %s after %.1f s without a packet: %s", id, idle.Seconds(), outcome)
	if outcome != "reset by the system" || owner == nil {
		return
	}
	if why := r.excused(f, idle); why != "" {
		r.log("not judged: %s", why)
		return
	}
	r.breach("FLOW", "flow %v was reset by the system after %.1f s without a packet, %.1f s after it opened; its server %s of %s lives and did not reset it",
		f.key.client, idle.Seconds(), time.Since(f.openedAt).Seconds(), owner.id, owner.service)
}

func (r *record) owner(key flowKey) *server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owners[key]
}
