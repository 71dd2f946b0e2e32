package main

import (
	"context"
	"strings"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/balancer"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
)

const (
	// quietTime is how long no packet of a caller must come before a leaving balancer ends.
	quietTime = 2 * time.Second
	// quietInterval is the time between two looks at the packets.
	quietInterval = 100 * time.Millisecond
)

// linger calls cancel after ctx has ended, once callers' packets have stopped or the limit has passed.
// Until then the process goes on forwarding, since the fabric needs a while to leave it out. The
// returned function undoes it.
func linger(ctx context.Context, cancel context.CancelFunc, limit time.Duration, packets func() uint64) func() bool {
	return context.AfterFunc(ctx, func() {
		defer cancel()
		telemetry.Event("stopping", "linger", limit)
		awaitQuiet(limit, packets)
	})
}

// received returns how many packets of callers have come.
func received(b *balancer.Balancer) uint64 {
	total := uint64(0)
	for name, count := range b.Counters() {
		if strings.HasPrefix(name, "route_") {
			total += count
		}
	}
	return total
}

func awaitQuiet(limit time.Duration, packets func() uint64) {
	start := time.Now()
	ticker := time.NewTicker(quietInterval)
	defer ticker.Stop()
	last, since := packets(), start
	for time.Since(since) < quietTime && time.Since(start) < limit {
		<-ticker.C
		if n := packets(); n != last {
			last, since = n, time.Now()
		}
	}
}
