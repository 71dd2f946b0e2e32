// Package caller is a stand-in for the callers of the users: it puts a bounded load of every kind of
// call on a deployment, checks each answer against its own request, and keeps what it was told.
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

// Target is one service that the load goes to.
type Target struct {
	Service string
	Address string
}

// Config sets the load.
type Config struct {
	// Desk takes orders, sheets and feeds; Store takes photos and downloads.
	Desk, Store Target
	TLS         *tls.Config
	// Interceptors wrap every request of a caller.
	Interceptors []connect.Interceptor
	// Duration is how long new work is started.
	Duration time.Duration
	// Settle is how long running work may take after that.
	Settle time.Duration
	// Ramp is the time over which the workers start, each at a random point.
	Ramp time.Duration
	// Feeds, Orders, Sheets, Photos and Downloads count workers, each with a client of its own.
	Feeds, Orders, Sheets, Photos, Downloads int
	// Pause is the mean time between two requests of a worker.
	Pause time.Duration
	// PhotoBytes and ObjectBytes are the sizes of a photo sent and of an object fetched.
	PhotoBytes, ObjectBytes int
	// Seed fixes the pauses and the names of the items.
	Seed uint64
}

// worker is one caller with its own connections.
type worker struct {
	config Config
	name   string
	target Target
	client *client.Client
	random *rand.Rand
	tally  *tally
	done   int
}

// job is the repeated work of one kind of worker. It ends with the first context; the second lives
// until running work has settled.
type job func(w *worker, starting, settling context.Context)

// Run puts the load on the deployment and returns what the callers saw.
func Run(ctx context.Context, config Config) (*Result, error) {
	settling, cancel := context.WithTimeout(ctx, config.Duration+config.Settle)
	defer cancel()
	starting, stop := context.WithTimeout(settling, config.Duration)
	defer stop()
	t := &tally{start: time.Now()}
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
			w, err := newWorker(config, t, k.target, fmt.Sprintf("%s-%d-%d", k.name, config.Seed, i), uint64(kind<<32|i))
			if err != nil {
				return nil, err
			}
			group.Go(func() { w.run(starting, settling, k.job) })
		}
	}
	group.Wait()
	return &t.result, nil
}

func newWorker(config Config, t *tally, target Target, name string, stream uint64) (*worker, error) {
	c, err := client.New(client.Config{Address: target.Address, TLS: config.TLS, Interceptors: config.Interceptors})
	if err != nil {
		return nil, err
	}
	return &worker{
		config: config,
		name:   name,
		target: target,
		client: c,
		random: rand.New(rand.NewPCG(config.Seed, stream)),
		tally:  t,
	}, nil
}

func (w *worker) run(starting, settling context.Context, j job) {
	defer w.client.Close()
	w.sleep(starting, time.Duration(w.random.Int64N(int64(w.config.Ramp)+1)))
	j(w, starting, settling)
	if w.done == 0 {
		w.tally.problem(func(r *Result) { r.IdleWorkers++ }, w.name+" completed nothing")
	}
}

// pause waits between half and one and a half times the mean.
func (w *worker) pause(ctx context.Context) {
	w.sleep(ctx, w.config.Pause/2+time.Duration(w.random.Int64N(int64(w.config.Pause)+1)))
}

func (w *worker) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
