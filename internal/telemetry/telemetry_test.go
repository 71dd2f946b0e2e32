package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	jujuerrors "github.com/juju/errors"
)

func captureLog(t *testing.T) *bytes.Buffer {
	buffer := &bytes.Buffer{}
	LogTo(buffer)
	t.Cleanup(func() { LogTo(os.Stderr) })
	return buffer
}

func TestEventIsOneLineOfKeyValuePairs(t *testing.T) {
	buffer := captureLog(t)
	Event("test_started", "reason", "two\nlines", "count", 3)
	Failure("test_failed", jujuerrors.Annotate(errors.New("broke"), "it"), "server", 7)
	log.Print("a library's message")
	lines := strings.Split(strings.TrimSpace(buffer.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("got %d lines: %q", len(lines), lines)
	}
	for _, want := range []string{"op=test_started", `reason="two\nlines"`, "count=3"} {
		if !strings.Contains(lines[0], want) {
			t.Errorf("%q is missing from %q", want, lines[0])
		}
	}
	if !strings.Contains(lines[2], `op="a library's message"`) {
		t.Errorf("got %q", lines[2])
	}
	for _, want := range []string{"level=ERROR", "op=test_failed", `err="it: broke"`, "server=7"} {
		if !strings.Contains(lines[1], want) {
			t.Errorf("%q is missing from %q", want, lines[1])
		}
	}
}

func TestEventsAboveLimitAreSuppressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		buffer := captureLog(t)
		limiters.Delete("test_repeated")
		for range eventBurst + 30 {
			Event("test_repeated")
		}
		time.Sleep(time.Second)
		Event("test_repeated")
		lines := strings.Split(strings.TrimSpace(buffer.String()), "\n")
		if len(lines) != eventBurst+1 || !strings.Contains(lines[eventBurst], "suppressed=30") {
			t.Fatalf("got %d lines, last line %q", len(lines), lines[len(lines)-1])
		}
	})
}

func TestOperatorHandler(t *testing.T) {
	Counter("test_counter").Set(2)
	Counter("test_counter").Add(3)
	Gauge("test_gauge", func() any { return "old" })
	Gauge("test_gauge", func() any { return map[string]int{"a": 1} })
	readyErr := errors.New("no revision yet")
	handler := OperatorHandler(func() error { return readyErr })
	check := func(path string, status int, want string) {
		t.Helper()
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		if recorder.Code != status || !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("%s: got %d %q", path, recorder.Code, recorder.Body)
		}
	}
	check("/healthz", http.StatusOK, "ok")
	check("/readyz", http.StatusServiceUnavailable, "no revision yet")
	readyErr = nil
	check("/readyz", http.StatusOK, "ready")
	check("/debug/vars", http.StatusOK, `"test_counter": 5`)
	check("/debug/vars", http.StatusOK, `"test_gauge": {"a":1}`)
}

func TestServeOperatorReturnsErrorForAddressInUse(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	if err := ServeOperator(t.Context(), addr, nil); err == nil || !strings.Contains(err.Error(), addr.String()) {
		t.Fatalf("got %v", err)
	}
}

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

func TestAsyncLogDoesNotBlock(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	flush := LogAsync(w)
	t.Cleanup(func() { LogTo(os.Stderr) })
	SetEventRate("test_async", 1<<30)
	for range 2 * asyncQueueLines {
		Event("test_async")
	}
	close(w.release)
	flush()
	w.mu.Lock()
	lines := strings.Count(w.written.String(), "op=test_async")
	w.mu.Unlock()
	if lines < asyncQueueLines/2 || lines > 2*asyncQueueLines-1 {
		t.Fatalf("%d of %d lines were written, want at least a quarter but not all", lines, 2*asyncQueueLines)
	}
	if dropped := expvar.Get("log_lines_dropped").String(); dropped == "0" {
		t.Fatal("log_lines_dropped is zero although lines were dropped")
	}
}

// endingWriter records the writes and their times, and ends the goroutine that writes once it is told to.
type endingWriter struct {
	start  time.Time
	writes []string
	ends   bool
}

func (w *endingWriter) Write(b []byte) (int, error) {
	if w.ends {
		runtime.Goexit()
	}
	w.writes = append(w.writes, fmt.Sprintf("%v %s", time.Since(w.start), b))
	return len(b), nil
}

// TestFirstLineAfterAPauseIsWrittenAtOnce guards against the loss of the line that explains a decision, because the process is
// killed within milliseconds of it.
func TestFirstLineAfterAPauseIsWrittenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &endingWriter{start: time.Now()}
		a := newAsyncWriter(w)
		go a.run()
		for _, line := range []string{"a", "b", "c"} {
			_, _ = a.Write([]byte(line))
			synctest.Wait()
		}
		time.Sleep(time.Second)
		_, _ = a.Write([]byte("d"))
		synctest.Wait()
		if want := []string{"0s a", "50ms bc", "1s d"}; !slices.Equal(w.writes, want) {
			t.Errorf("got the writes %q, want %q", w.writes, want)
		}
		w.ends = true
		_, _ = a.Write([]byte("e"))
		time.Sleep(time.Second)
	})
}

func TestHistogramIsPublished(t *testing.T) {
	h := NewHistogram("test_histogram")
	for n := range 100 {
		h.Record(time.Duration(n+1) * time.Millisecond)
	}
	h.Record(time.Hour)
	var got map[string]int64
	if err := json.Unmarshal([]byte(expvar.Get("test_histogram").String()), &got); err != nil {
		t.Fatal(err)
	}
	if got["count"] != 101 || got["p50"] < 50_000 || got["p50"] > 52_000 || got["max"] < 10_000_000 {
		t.Fatalf("got %v", got)
	}
}

// BenchmarkFlowEvent logs a line like that of a new flow, through the asynchronous writer.
func BenchmarkFlowEvent(b *testing.B) {
	flush := LogAsync(io.Discard)
	b.Cleanup(func() { flush(); LogTo(os.Stderr) })
	SetEventRate("bench_placed", 1<<30)
	b.ReportAllocs()
	for b.Loop() {
		Event("bench_placed", "flow", "100.64.0.1:1025>198.18.0.1:443", "copy", 0, "agent", "10.0.0.1", "alternatives", 7,
			"version", 3, "view_age", 20*time.Millisecond, "reason", "")
	}
}

// BenchmarkSuppressedEvent measures events above the rate limit, which are suppressed.
func BenchmarkSuppressedEvent(b *testing.B) {
	flush := LogAsync(io.Discard)
	b.Cleanup(func() { flush(); LogTo(os.Stderr) })
	b.ReportAllocs()
	for b.Loop() {
		Event("bench_suppressed", "flow", "100.64.0.1:1025>198.18.0.1:443", "copy", 0, "agent", "10.0.0.1")
	}
}
