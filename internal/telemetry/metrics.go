package telemetry

import (
	"expvar"
	"sync"
)

// publishMu makes lookup and publication of a variable atomic, because expvar panics if a name is published twice.
var publishMu sync.Mutex

// Counter returns the counter with the given name and publishes it on first use. It panics if the name belongs to a
// variable of another type.
func Counter(name string) *expvar.Int {
	publishMu.Lock()
	defer publishMu.Unlock()
	if v := expvar.Get(name); v != nil {
		return v.(*expvar.Int)
	}
	return expvar.NewInt(name)
}

// Gauge publishes the result of f under the given name. A later call with the same name replaces f. It panics if the
// name belongs to a variable of another type.
func Gauge(name string, f func() any) {
	publishMu.Lock()
	defer publishMu.Unlock()
	if v := expvar.Get(name); v != nil {
		v.(*gauge).set(f)
		return
	}
	g := &gauge{}
	g.set(f)
	expvar.Publish(name, g)
}

// gauge is a replaceable expvar.Func: a component that restarts within the process publishes its gauges again.
type gauge struct {
	mu sync.Mutex
	f  expvar.Func
}

func (g *gauge) set(f func() any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.f = f
}

// String returns the current value as JSON.
func (g *gauge) String() string {
	g.mu.Lock()
	f := g.f
	g.mu.Unlock()
	return f.String()
}
