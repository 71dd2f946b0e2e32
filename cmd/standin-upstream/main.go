// Command standin-upstream simulates one of the users' servers.
package main

import (
	"context"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bramleyrack/bramleyrack/internal/options"
	"github.com/bramleyrack/bramleyrack/internal/standin/process"
	"github.com/bramleyrack/bramleyrack/internal/standin/upstream"
)

const (
	defaultSlots         = 5
	defaultWork          = 10 * time.Millisecond
	defaultColdStart     = 2 * time.Second
	defaultColdFactor    = 3
	defaultObjectBytes   = 2 << 20
	defaultChunkInterval = 20 * time.Millisecond
	// drainTimeout bounds the time that running requests may take to finish after a stop signal.
	drainTimeout = 10 * time.Second
)

// config holds the command-line options.
type config struct {
	listen, operator netip.AddrPort
	number           int
	health           string
	journal          string
	upstream         upstream.Config
}

func main() {
	var c config
	u := &c.upstream
	set := options.New("standin-upstream")
	set.AddrPort(&c.listen, "listen", "", "address of the upstream service")
	set.AddrPort(&c.operator, "operator", "", "address that reports the runs of requests")
	set.String(&u.Service, "service", "", "service that this upstream belongs to")
	set.Int(&c.number, "number", 0, "`number` of the upstream in the settings tree")
	set.Int(&u.Slots, "slots", defaultSlots, "`requests` that may run concurrently")
	set.Duration(&u.ServiceTime, "work", defaultWork, "mean execution time of a request")
	set.Duration(&u.ColdStart, "cold-start", defaultColdStart, "time after the start during which requests are slow")
	set.Int(&u.ColdFactor, "cold-factor", defaultColdFactor, "`factor` by which requests take longer during the cold start")
	set.Int(&u.ObjectBytes, "object-bytes", defaultObjectBytes, "size of each downloadable object in `bytes`")
	set.Duration(&u.ChunkInterval, "chunk-interval", defaultChunkInterval, "pause after each chunk of a download")
	set.String(&c.health, "health", string(upstream.HealthAccurate), "answer of the health endpoint: true, idle or busy")
	set.String(&c.journal, "journal", "", "file that records each run of a request, so that the runs survive a kill of the process")
	set.Require("listen", "operator", "service")
	process.Parse(set)
	process.Main(func(ctx context.Context) error { return run(ctx, c) })
}

func run(ctx context.Context, c config) error {
	c.upstream.Number = uint32(c.number)
	c.upstream.Health = upstream.HealthMode(c.health)
	u := upstream.New(c.upstream)
	if c.journal != "" {
		journal, err := os.OpenFile(c.journal, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
		if err != nil {
			return err
		}
		defer journal.Close()
		if err := u.OpenJournal(journal); err != nil {
			return err
		}
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return process.Serve(serveCtx, c.listen, u.Handler()) })
	group.Go(func() error { return process.Serve(serveCtx, c.operator, u.OperatorHandler()) })
	select {
	case <-ctx.Done():
	case <-serveCtx.Done():
		return group.Wait()
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := u.Drain(drainCtx)
	stop()
	if waitErr := group.Wait(); waitErr != nil {
		return waitErr
	}
	return err
}
