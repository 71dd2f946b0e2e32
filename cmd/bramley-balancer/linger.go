package main

import (
	"context"
	"strings"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/balancer"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
)

const (
	// quietTime is how long a stopping balancer must receive no packet from callers before it exits.
	quietTime = 2 * time.Second
	// quietPollInterval is how often the packet count is polled.
	quietPollInterval = 100 * time.Millisecond
)

// linger arranges that cancel is called after ctx is done, once no more packets arrive from callers
// or the limit has passed. Until then the balancer keeps forwarding, because the fabric takes some
// time to stop routing packets to it. The returned function unregisters the callback.
func linger(ctx context.Context, cancel context.CancelFunc, limit time.Duration, packets func() uint64) func() bool {
	return context.AfterFunc(ctx, func() {
		defer cancel()
		telemetry.Event("stopping", "linger", limit)
		awaitQuiet(limit, packets)
	})
}

// receivedPackets returns how many packets have arrived from callers. Each of them increments exactly
// one of the route counters.
func receivedPackets(b *balancer.Balancer) uint64 {
	total := uint64(0)
	for name, count := range b.Counters() {
		if strings.HasPrefix(name, "route_") {
			total += count
		}
	}
	return total
}

// awaitQuiet returns after the packet count has not changed for quietTime, or when the limit has passed.
func awaitQuiet(limit time.Duration, packets func() uint64) {
	start := time.Now()
	ticker := time.NewTicker(quietPollInterval)
	defer ticker.Stop()
	last, since := packets(), start
	for time.Since(since) < quietTime && time.Since(start) < limit {
		<-ticker.C
		if n := packets(); n != last {
			last, since = n, time.Now()
		}
	}
}
