package main

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A stopping balancer must keep forwarding while the fabric still sends it packets, and must exit
// at the limit even if the packets never stop.
func TestLingerEndsAfterLastPacket(t *testing.T) {
	const limit = 10 * time.Second
	for _, c := range []struct {
		name  string
		until time.Duration
		want  time.Duration
	}{
		{"fabric stopped before the signal", 0, quietTime},
		{"fabric stops after the signal", 3 * time.Second, 3*time.Second + quietTime},
		{"fabric never stops", time.Hour, limit},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				packets := func() uint64 { return uint64(min(time.Since(start), c.until)) }
				stopCtx, stop := context.WithCancel(t.Context())
				runCtx, cancel := context.WithCancel(context.WithoutCancel(stopCtx))
				defer linger(stopCtx, cancel, limit, packets)()
				if runCtx.Err() != nil {
					t.Fatal("canceled before the signal")
				}
				stop()
				<-runCtx.Done()
				if got := time.Since(start); got < c.want || got > c.want+2*quietPollInterval {
					t.Fatalf("canceled after %v, want %v", got, c.want)
				}
			})
		})
	}
}
