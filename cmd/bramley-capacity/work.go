package main

import (
	"fmt"
	"time"

	"github.com/bramleyrack/bramleyrack/dissemination"
	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/membership"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// batchSize is the number of operations in one call if a single one is too short to be measured.
const batchSize = 1000

// batchCPUMicroseconds returns the CPU time of one operation in microseconds. call must run batchSize operations.
func batchCPUMicroseconds(call func() error) (float64, error) {
	value, err := cpuMicroseconds(call)
	return value / batchSize, err
}

// workSlopes returns the slopes of the CPU time of single operations.
func workSlopes() []slope {
	return []slope{
		{
			name: "settings-parse", title: "CPU time to parse and check a revision", size: "upstreams", unit: "µs",
			sizes: []int{250, 500, 1000, 2000, 4000}, target: 58000, measure: parseTime,
		},
		{
			name: "routing-build", title: "CPU time to build the routes of a balancer", size: "upstreams", unit: "µs",
			sizes: []int{1000, 2000, 4000, 8000, 16000}, target: 58000, measure: routingTime,
		},
		{
			name: "placement-rank", title: "CPU time to rank the upstreams of a new flow", size: "upstreams of a service", unit: "µs",
			sizes: []int{5, 10, 20, 40, 80}, target: 10, measure: rankTime,
		},
		{
			name: "membership-tick", title: "CPU time of one membership tick", size: "monitored peers", unit: "µs",
			sizes: []int{8, 16, 32, 64, 128}, target: 20, measure: membershipTickTime,
		},
		{
			name: "relay-tree", title: "CPU time to compute the relay tree", size: "members", unit: "µs",
			sizes: []int{500, 1000, 2000, 4000, 8000}, target: 3374, measure: relayTreeTime,
		},
	}
}

func parseTime(n int) (float64, error) {
	text := []byte(treeText(n))
	return cpuMicroseconds(func() error {
		_, err := settings.Parse(text, 1)
		return err
	})
}

func routingTime(n int) (float64, error) {
	tree, err := parseTree(n)
	if err != nil {
		return 0, err
	}
	builder := &routing.Builder{Health: func(uint32) placement.Health { return placement.HealthLive }}
	table := routing.Empty()
	return cpuMicroseconds(func() error {
		table = builder.Build(time.Second, tree, table)
		return nil
	})
}

func rankTime(n int) (float64, error) {
	candidates := make([]placement.Candidate, 0, n)
	for i := range n {
		candidates = append(candidates, placement.Candidate{Number: uint32(i + 1), Place: fmt.Sprint(i % 3), Weight: 1})
	}
	var ranks []uint32
	flow := uint64(0)
	return batchCPUMicroseconds(func() error {
		for range batchSize {
			flow++
			ranks = placement.Rank(ranks[:0], flow, "0", candidates)
		}
		return nil
	})
}

func membershipTickTime(n int) (float64, error) {
	table := memberTable(4096)
	addresses := make([]string, 0, n)
	for i := range n {
		addresses = append(addresses, memberAddress(i))
		table.RecordHeartbeat(0, membership.Heartbeat{Address: memberAddress(i), Place: "place", Incarnation: 1})
	}
	table.Monitor(0, addresses)
	now := time.Duration(0)
	return batchCPUMicroseconds(func() error {
		for range batchSize {
			now += time.Microsecond
			table.Tick(now)
		}
		return nil
	})
}

func relayTreeTime(n int) (float64, error) {
	members := make([]string, 0, n)
	for i := range n {
		members = append(members, memberAddress(i))
	}
	return cpuMicroseconds(func() error {
		dissemination.NewRelayTree(dissemination.Order("place", members), 3, 4)
		return nil
	})
}
