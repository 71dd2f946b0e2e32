package main

import (
	"fmt"
	"time"

	"github.com/bramleyrack/bramleyrack/dissemination"
)

// relaySlopes returns the slopes of the relay tree, which are computed instead of measured.
func relaySlopes() []slope {
	placeSizes := []int{256, 512, 1024, 2048, 4096, 8192}
	return []slope{
		{
			name: "relay-depth", title: "Depth of the relay tree of a place", size: "members", unit: "hops",
			sizes: placeSizes, target: 3374, repeats: 1,
			measure: func(n int) (float64, error) {
				order := make([]string, 0, n)
				for i := range n {
					order = append(order, fmt.Sprint(i))
				}
				return float64(dissemination.NewRelayTree(order, 3, 4).MaxDepth()), nil
			},
		},
		{
			name: "relay-time", title: "Computed time to distribute a revision over the relay tree", size: "value bytes", unit: "s",
			sizes: []int{65536, 131072, 262144, 524288, 1048576}, target: 1048576, repeats: 1,
			measure: func(n int) (float64, error) {
				shape := dissemination.Shape{
					Members: 3374, Readers: 3, ValueBytes: n,
					BytesPerSecond: 4500, BurstBytes: 128 << 10, HopLatency: 2 * time.Millisecond,
				}
				return shape.Time(4).Seconds(), nil
			},
		},
	}
}
