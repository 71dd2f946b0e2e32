// Command standin-caller puts a bounded load on a deployment and writes what its callers saw as JSON.
package main

import (
	"context"
	"net/netip"
	"os"
	"time"

	"connectrpc.com/connect"

	"github.com/bramleyrack/bramleyrack/internal/options"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/bramleyrack/bramleyrack/internal/standin/caller"
	"github.com/bramleyrack/bramleyrack/internal/standin/process"
	"github.com/bramleyrack/bramleyrack/internal/tracing"
)

// Defaults of the options.
const (
	defaultDuration    = 25 * time.Second
	defaultSettle      = 10 * time.Second
	defaultRamp        = 3 * time.Second
	defaultPause       = 200 * time.Millisecond
	defaultPhotoBytes  = 100 << 10
	defaultObjectBytes = 2 << 20
)

// config holds the options of the program.
type config struct {
	caller      caller.Config
	desk, store netip.AddrPort
	seed        int
	result      string
	trace       string
}

func main() {
	var c config
	l := &c.caller
	set := options.New("standin-caller")
	set.String(&l.Desk.Service, "desk-service", "", "service for orders, sheets and feeds")
	set.AddrPort(&c.desk, "desk", "", "address of that service")
	set.String(&l.Store.Service, "store-service", "", "service for photos and downloads")
	set.AddrPort(&c.store, "store", "", "address of that service")
	set.Duration(&l.Duration, "duration", defaultDuration, "time during which new work starts")
	set.Duration(&l.Settle, "settle", defaultSettle, "longest time for running work to end after that")
	set.Duration(&l.Ramp, "ramp", defaultRamp, "time over which the workers start")
	set.Int(&l.Feeds, "feeds", 0, "`workers` that each hold a feed open")
	set.Int(&l.Orders, "orders", 0, "`workers` that place orders")
	set.Int(&l.Sheets, "sheets", 0, "`workers` that read sheets")
	set.Int(&l.Photos, "photos", 0, "`workers` that send photos")
	set.Int(&l.Downloads, "downloads", 0, "`workers` that fetch objects")
	set.Duration(&l.Pause, "pause", defaultPause, "mean time between two requests of a worker")
	set.Int(&l.PhotoBytes, "photo-bytes", defaultPhotoBytes, "size of a photo in `bytes`")
	set.Int(&l.ObjectBytes, "object-bytes", defaultObjectBytes, "size of an object in `bytes`")
	set.Int(&c.seed, "seed", 1, "`seed` of pauses and names")
	set.String(&c.result, "result", "", "file for the result")
	set.String(&c.trace, "trace", tracing.ExporterNone, "exporter of traces: none, stderr or otlp")
	set.Require("desk-service", "desk", "store-service", "store", "result")
	process.Parse(set)
	process.Main(func(ctx context.Context) error { return run(ctx, c) })
}

func run(ctx context.Context, c config) error {
	tls, err := secrets.LoadCallerTLS(os.Getenv)
	if err != nil {
		return err
	}
	c.caller.TLS = tls
	shutdown, err := startTracing(ctx, &c)
	if err != nil {
		return err
	}
	defer func() { _ = shutdown(context.WithoutCancel(ctx)) }()
	c.caller.Desk.Address = c.desk.String()
	c.caller.Store.Address = c.store.String()
	c.caller.Seed = uint64(c.seed)
	result, err := caller.Run(ctx, c.caller)
	if err != nil {
		return err
	}
	return result.Write(c.result)
}

// startTracing makes the callers open the span that the rest of the path joins.
func startTracing(ctx context.Context, c *config) (func(context.Context) error, error) {
	shutdown, err := tracing.Start(ctx, "standin-caller", c.trace)
	if err != nil || c.trace == tracing.ExporterNone {
		return shutdown, err
	}
	interceptor, err := tracing.ConnectInterceptor()
	if err != nil {
		return nil, err
	}
	c.caller.Interceptors = []connect.Interceptor{interceptor}
	return shutdown, nil
}
