// Package caller is a stand-in for the callers of a deployment. It generates a bounded load of every kind
// of call, checks each answer against its request, and records the outcome of each attempt.
package caller

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/bramleyrack/bramleyrack/client"
)

// Target is a service that receives load.
type Target struct {
	Service string
	Address string
}

// Config configures the load.
type Config struct {
	// Desk receives orders, sheets and feeds. Store receives photos and downloads.
	Desk, Store Target
	TLS         *tls.Config
	// Interceptors wrap every request of a caller.
	Interceptors []connect.Interceptor
	// Duration is the period in which new work is started.
	Duration time.Duration
	// Settle is the time after Duration in which running work may complete.
	Settle time.Duration
	// Ramp is the period in which the workers start, each at a random time.
	Ramp time.Duration
	// Feeds, Orders, Sheets, Photos and Downloads are the numbers of workers. Each worker has its own client.
	Feeds, Orders, Sheets, Photos, Downloads int
	// Pause is the mean time between two requests of a worker.
	Pause time.Duration
	// PhotoBytes is the size of each photo that is sent, and ObjectBytes the size of each object that is
	// downloaded, in bytes.
	PhotoBytes, ObjectBytes int
	// Seed determines the pauses and the names of the items.
	Seed uint64
}

// worker is one caller with its own connections.
type worker struct {
	config    Config
	name      string
	target    Target
	client    *client.Client
	random    *rand.Rand
	collector *collector
	// completed counts the completed calls, downloads and opened feeds.
	completed int
}

// job is the work that one kind of worker repeats. It starts no new work after startCtx ends. Running work may
// continue until settleCtx ends.
type job func(w *worker, startCtx, settleCtx context.Context)

// Run generates the load and returns what the callers observed.
func Run(ctx context.Context, config Config) (*Result, error) {
	settleCtx, cancel := context.WithTimeout(ctx, config.Duration+config.Settle)
	defer cancel()
	startCtx, stop := context.WithTimeout(settleCtx, config.Duration)
	defer stop()
	results := &collector{start: time.Now()}
	kinds := []struct {
		name   string
		count  int
		target Target
		job    job
	}{
		{"feed", config.Feeds, config.Desk, (*worker).feed},
		{"order", config.Orders, config.Desk, (*worker).orders},
		{"sheet", config.Sheets, config.Desk, (*worker).sheets},
		{"photo", config.Photos, config.Store, (*worker).photos},
		{"download", config.Downloads, config.Store, (*worker).downloads},
	}
	var group sync.WaitGroup
	for kind, k := range kinds {
		for i := range k.count {
			w, err := newWorker(config, results, k.target, fmt.Sprintf("%s-%d-%d", k.name, config.Seed, i), uint64(kind<<32|i))
			if err != nil {
				return nil, err
			}
			group.Go(func() { w.run(startCtx, settleCtx, k.job) })
		}
	}
	group.Wait()
	return &results.result, nil
}

func newWorker(config Config, results *collector, target Target, name string, stream uint64) (*worker, error) {
	c, err := client.New(client.Config{Address: target.Address, TLS: config.TLS, Interceptors: config.Interceptors})
	if err != nil {
		return nil, err
	}
	return &worker{
		config:    config,
		name:      name,
		target:    target,
		client:    c,
		random:    rand.New(rand.NewPCG(config.Seed, stream)),
		collector: results,
	}, nil
}

func (w *worker) run(startCtx, settleCtx context.Context, j job) {
	defer w.client.Close()
	w.sleep(startCtx, time.Duration(w.random.Int64N(int64(w.config.Ramp)+1)))
	j(w, startCtx, settleCtx)
	if w.completed == 0 {
		w.collector.addProblem(func(r *Result) { r.IdleWorkers++ }, w.name+" completed nothing")
	}
}

// pause waits between 0.5 and 1.5 times the mean pause.
func (w *worker) pause(ctx context.Context) {
	w.sleep(ctx, w.config.Pause/2+time.Duration(w.random.Int64N(int64(w.config.Pause)+1)))
}

func (w *worker) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
