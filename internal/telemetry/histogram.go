package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the highest latency that a histogram records. Higher ones are counted at this value.
	histogramMax = 10 * time.Second
	// histogramDigits is the precision of recorded latencies, in significant decimal digits.
	histogramDigits = 2
)

// Histogram records the distribution of latencies. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns a histogram and publishes it as the variable name: the count, the maximum and the 50th, 90th and
// 99th percentile, in microseconds.
func NewHistogram(name string) *Histogram {
	h := &Histogram{h: hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)}
	Gauge(name, h.snapshot)
	return h
}

// Record adds a latency, clamped to the range of the histogram.
func (h *Histogram) Record(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue rejects values outside the range.
	_ = h.h.RecordValue(min(max(latency, time.Microsecond), histogramMax).Microseconds())
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
