package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is the state of a key at one revision of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_rev,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"tombstone,omitempty"`
}

// pageSize is the number of items in one page of a range read.
const pageSize = 50

// store is a stand-in for the platform's store. A server's entry is removed after three intervals of silence.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	log      []item
	changed  chan struct{}
	// written is when each server last wrote, by key.
	written map[string]time.Time
	// down is set while the store answers nobody.
	down bool
	// record notes what the store does.
	record func(format string, args ...any)
}

func startStore(address string, record func(string, ...any)) (*store, error) {
	s := &store{revision: 1, items: map[string]item{}, changed: make(chan struct{}), written: map[string]time.Time{}, record: record}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	silent := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(listener, silent) }()
	go func() {
		for ; ; time.Sleep(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// setDown stops the store from answering, or lets it answer again. No entry expires meanwhile.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for key := range s.written {
		s.written[key] = time.Now()
	}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// writeEntry is the write of a server. The server does not wait for the answer.
func (s *store) writeEntry(key string, value map[string]any) {
	if s.isDown() {
		return
	}
	s.putEntry(key, value)
}

// putEntry stores an entry. The item changes only if more than seq changes.
func (s *store) putEntry(key string, value map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.items[key]; ok && !old.Deleted {
		var known map[string]any
		_ = json.Unmarshal(old.Value, &known)
		var next map[string]any
		encoded, _ := json.Marshal(value)
		_ = json.Unmarshal(encoded, &next)
		delete(known, "seq")
		delete(next, "seq")
		if reflect.DeepEqual(known, next) {
			s.written[key] = time.Now()
			return
		}
	}
	s.written[key] = time.Now()
	s.write(key, value, false)
}

// put stores a value of the operator.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, false)
}

func (s *store) write(key string, value any, deleted bool) {
	s.revision++
	next := item{Key: key, Revision: s.revision, Created: s.revision, Deleted: deleted}
	if old, ok := s.items[key]; ok && !old.Deleted {
		next.Created = old.Created
	}
	if !deleted {
		next.Value, _ = json.Marshal(value)
	}
	s.items[key] = next
	s.log = append(s.log, next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the entries of servers that have been silent for three intervals.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, at := range s.written {
		if s.down {
			return
		}
		if time.Since(at) > 3*heartbeat {
			delete(s.written, key)
			s.write(key, nil, true)
			s.record("store: entry %s expired", key)
		}
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := struct {
		Items    []item `json:"items"`
		More     bool   `json:"has_more"`
		Revision uint64 `json:"at_rev"`
	}{Items: []item{}, Revision: s.revision}
	after, prefix := r.URL.Query().Get("after"), r.URL.Query().Get("prefix")
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		i := s.items[key]
		if key <= after || i.Deleted || !strings.HasPrefix(key, prefix) {
			continue
		}
		if len(response.Items) == pageSize {
			response.More = true
			break
		}
		response.Items = append(response.Items, i)
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.log {
			if i.Revision > after {
				events = append(events, i)
			}
		}
		revision, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 || expired {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
