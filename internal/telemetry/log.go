// Package telemetry is what operators see of a process: log events, metrics, health and traces.
package telemetry

import (
	"io"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// eventsPerSecond is the rate at which one operation may log.
	eventsPerSecond = 5
	// eventBurst is how many events of one operation may log at once.
	eventBurst = 20
)

// limiters holds one *opLimiter for each operation that has logged.
var limiters sync.Map

type opLimiter struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

func init() {
	LogTo(os.Stderr)
}

// LogTo sends all events to w, one key=value line each, and with them what libraries log.
func LogTo(w io.Writer) {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: replaceAttr})
	logger := slog.New(handler)
	klog.SetSlogLogger(logger)
	slog.SetDefault(logger)
}

// replaceAttr renames the message and keeps the traces of wrapped errors out of the line.
func replaceAttr(_ []string, attr slog.Attr) slog.Attr {
	if attr.Key == slog.MessageKey {
		attr.Key = "op"
	}
	if err, ok := attr.Value.Any().(error); ok {
		attr.Value = slog.StringValue(err.Error())
	}
	return attr
}

// Event logs one event of an operation with alternating keys and values. Events of one operation
// above the limit are counted and reported with the next one that is logged.
func Event(op string, kv ...any) {
	if kv, ok := admit(op, kv); ok {
		klog.InfoSDepth(1, op, kv...)
	}
}

// Failure logs an operation that failed, limited like Event.
func Failure(op string, err error, kv ...any) {
	if kv, ok := admit(op, kv); ok {
		klog.ErrorSDepth(1, err, op, kv...)
	}
}

func admit(op string, kv []any) ([]any, bool) {
	l := limiterFor(op)
	if !l.limiter.Allow() {
		l.suppressed.Add(1)
		return nil, false
	}
	if n := l.suppressed.Swap(0); n > 0 {
		kv = append(kv[:len(kv):len(kv)], "suppressed", n)
	}
	return kv, true
}

// SetEventRate changes how many events of an operation may be logged a second, for operations whose every event
// explains a request.
func SetEventRate(op string, perSecond int) {
	l := limiterFor(op)
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(perSecond)
}

func limiterFor(op string) *opLimiter {
	if l, ok := limiters.Load(op); ok {
		return l.(*opLimiter)
	}
	l, _ := limiters.LoadOrStore(op, &opLimiter{limiter: rate.NewLimiter(eventsPerSecond, eventBurst)})
	return l.(*opLimiter)
}
