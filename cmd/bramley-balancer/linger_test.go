package main

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestLingerEndsWhenTheFabricStops(t *testing.T) {
	const limit = 10 * time.Second
	for _, c := range []struct {
		name  string
		until time.Duration
		want  time.Duration
	}{
		{"the fabric has stopped before", 0, quietTime},
		{"the fabric stops later", 3 * time.Second, 3*time.Second + quietTime},
		{"the fabric never stops", time.Hour, limit},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				packets := func() uint64 { return uint64(min(time.Since(start), c.until)) }
				signal, stop := context.WithCancel(t.Context())
				running, cancel := context.WithCancel(context.WithoutCancel(signal))
				defer linger(signal, cancel, limit, packets)()
				if running.Err() != nil {
					t.Fatal("ended before the signal")
				}
				stop()
				<-running.Done()
				if got := time.Since(start); got < c.want || got > c.want+2*quietInterval {
					t.Fatalf("ended after %v, want %v", got, c.want)
				}
			})
		})
	}
}
