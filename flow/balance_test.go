package flow_test

import (
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
)

// BenchmarkChoice places flows among 50 servers that have all reported.
func BenchmarkChoice(b *testing.B) {
	d := newDirector(manyUpstreams(50)...)
	for n := range 50 {
		receive(d, start, statusOf(n+1, 1, uint32(n%7)))
	}
	p, raw := opening(1), make([]byte, 32)
	b.ReportAllocs()
	for b.Loop() {
		p.Key.Client.Port++
		d.FromClient(start+time.Second/2, p, raw)
		d.HandleReport(start, flow.Report{Key: p.Key})
	}
}
