// Package telemetry provides the log events, metrics and health endpoints of a process.
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
	// eventsPerSecond is the default limit on the rate of log events of one operation.
	eventsPerSecond = 5
	// eventBurst is how many events of one operation may be logged at once, above the rate.
	eventBurst = 20
)

// limiters maps the name of each operation that has logged to its *opLimiter.
var limiters sync.Map

// opLimiter limits the log events of one operation and counts the suppressed ones.
type opLimiter struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

func init() {
	LogTo(os.Stderr)
}

// LogTo sends all events to w, one line of key=value pairs each. Log messages of libraries go there too.
func LogTo(w io.Writer) {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: replaceAttr})
	logger := slog.New(handler)
	klog.SetSlogLogger(logger)
	slog.SetDefault(logger)
}

// replaceAttr renames the message key to "op" and formats errors with Error, which leaves out the stack traces that
// wrapped errors carry.
func replaceAttr(_ []string, attr slog.Attr) slog.Attr {
	if attr.Key == slog.MessageKey {
		attr.Key = "op"
	}
	if err, ok := attr.Value.Any().(error); ok {
		attr.Value = slog.StringValue(err.Error())
	}
	return attr
}

// Event logs one event of an operation, with alternating keys and values. Events above the operation's rate limit are
// suppressed, and the next event that is logged reports how many.
func Event(op string, kv ...any) {
	if kv, ok := admit(op, kv); ok {
		klog.InfoSDepth(1, op, kv...)
	}
}

// Failure logs a failed operation at the error level. It shares the rate limit with Event.
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

// SetEventRate sets the rate limit and the burst of an operation. It is for operations of which every event is needed to
// explain what happened to a request.
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
