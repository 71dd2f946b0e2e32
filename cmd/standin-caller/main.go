// Command standin-caller generates a bounded load on a deployment and writes the results of its
// callers as JSON.
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

const (
	defaultDuration    = 25 * time.Second
	defaultSettle      = 10 * time.Second
	defaultRamp        = 3 * time.Second
	defaultPause       = 200 * time.Millisecond
	defaultPhotoBytes  = 100 << 10
	defaultObjectBytes = 2 << 20
)

// config holds the command-line options.
type config struct {
	caller      caller.Config
	desk, store netip.AddrPort
	seed        int
	result      string
	trace       string
}

func main() {
	var c config
	load := &c.caller
	set := options.New("standin-caller")
	set.String(&load.Desk.Service, "desk-service", "", "service for orders, sheets and feeds")
	set.AddrPort(&c.desk, "desk", "", "address of the desk service")
	set.String(&load.Store.Service, "store-service", "", "service for photos and downloads")
	set.AddrPort(&c.store, "store", "", "address of the store service")
	set.Duration(&load.Duration, "duration", defaultDuration, "time during which workers start new work")
	set.Duration(&load.Settle, "settle", defaultSettle, "maximum time for running work to finish after that")
	set.Duration(&load.Ramp, "ramp", defaultRamp, "time over which the starts of the workers are spread")
	set.Int(&load.Feeds, "feeds", 0, "`workers` that each hold a feed open")
	set.Int(&load.Orders, "orders", 0, "`workers` that place orders")
	set.Int(&load.Sheets, "sheets", 0, "`workers` that read sheets")
	set.Int(&load.Photos, "photos", 0, "`workers` that upload photos")
	set.Int(&load.Downloads, "downloads", 0, "`workers` that download objects")
	set.Duration(&load.Pause, "pause", defaultPause, "mean pause between the requests of a worker")
	set.Int(&load.PhotoBytes, "photo-bytes", defaultPhotoBytes, "size of a photo in `bytes`")
	set.Int(&load.ObjectBytes, "object-bytes", defaultObjectBytes, "size of an object in `bytes`")
	set.Int(&c.seed, "seed", 1, "`seed` of the random pauses and item names")
	set.String(&c.result, "result", "", "file to write the result to")
	set.String(&c.trace, "trace", tracing.ExporterNone, "trace exporter: none, stderr or otlp")
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

// startTracing starts the trace exporter and makes each caller open the root span of its requests.
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
