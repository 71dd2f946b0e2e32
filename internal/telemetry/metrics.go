package telemetry

import (
	"expvar"
	"sync"
)

// registration guards the look-up before the publication of a variable, which expvar allows only once.
var registration sync.Mutex

// Counter returns the counter with the given name, publishing it on first use. It panics when the
// name belongs to a variable of another type.
func Counter(name string) *expvar.Int {
	registration.Lock()
	defer registration.Unlock()
	if v := expvar.Get(name); v != nil {
		return v.(*expvar.Int)
	}
	return expvar.NewInt(name)
}

// Gauge publishes the value of f under the given name. A later gauge of the same name replaces it.
func Gauge(name string, f func() any) {
	registration.Lock()
	defer registration.Unlock()
	if v := expvar.Get(name); v != nil {
		v.(*gauge).set(f)
		return
	}
	g := &gauge{}
	g.set(f)
	expvar.Publish(name, g)
}

// gauge is an expvar.Func that can be replaced, for a process that restarts a part of itself.
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
