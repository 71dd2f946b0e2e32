package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMost bounds the latencies that a histogram tells apart.
	histogramMost = 10 * time.Second
	// histogramDigits is the precision of a histogram in decimal digits.
	histogramDigits = 2
)

// Histogram counts latencies. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns a histogram that is published under the given name, in microseconds.
func NewHistogram(name string) *Histogram {
	h := &Histogram{h: hdrhistogram.New(1, histogramMost.Microseconds(), histogramDigits)}
	Gauge(name, h.snapshot)
	return h
}

// Record counts one latency.
func (h *Histogram) Record(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Latencies are cut to the range of the histogram, so that none is refused.
	_ = h.h.RecordValue(min(max(latency, time.Microsecond), histogramMost).Microseconds())
}

func (h *Histogram) snapshot() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string]int64{
		"count": h.h.TotalCount(),
		"p50":   h.h.ValueAtQuantile(50),
		"p90":   h.h.ValueAtQuantile(90),
		"p99":   h.h.ValueAtQuantile(99),
		"max":   h.h.Max(),
	}
}
