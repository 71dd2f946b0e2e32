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

// batch is how many short decisions are measured together.
const batch = 1000

func batchMicroseconds(call func() error) (float64, error) {
	value, err := processorMicroseconds(call)
	return value / batch, err
}

// workSlopes measure the processor time of single decisions.
func workSlopes() []slope {
	return []slope{
		{
			name: "settings-parse", title: "Processor time to check a revision", size: "upstreams", unit: "µs",
			sizes: []int{250, 500, 1000, 2000, 4000}, target: 58000, measure: parseTime,
		},
		{
			name: "routing-build", title: "Processor time to build a balancer's routes", size: "upstreams", unit: "µs",
			sizes: []int{1000, 2000, 4000, 8000, 16000}, target: 58000, measure: routingTime,
		},
		{
			name: "placement-rank", title: "Processor time to rank the upstreams of a new flow", size: "upstreams of a service", unit: "µs",
			sizes: []int{5, 10, 20, 40, 80}, target: 10, measure: rankTime,
		},
		{
			name: "membership-tick", title: "Processor time of one look at the peers", size: "monitored peers", unit: "µs",
			sizes: []int{8, 16, 32, 64, 128}, target: 20, measure: tickTime,
		},
		{
			name: "relay-tree", title: "Processor time to compute the relay tree", size: "members", unit: "µs",
			sizes: []int{500, 1000, 2000, 4000, 8000}, target: 3374, measure: relayTreeTime,
		},
	}
}

func parseTime(n int) (float64, error) {
	text := []byte(treeText(n))
	return processorMicroseconds(func() error {
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
	return processorMicroseconds(func() error {
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
	return batchMicroseconds(func() error {
		for range batch {
			flow++
			ranks = placement.Rank(ranks[:0], flow, "0", candidates)
		}
		return nil
	})
}

func tickTime(n int) (float64, error) {
	table := memberTable(4096)
	addresses := make([]string, 0, n)
	for i := range n {
		addresses = append(addresses, memberAddress(i))
		table.RecordHeartbeat(0, membership.Heartbeat{Address: memberAddress(i), Place: "place", Incarnation: 1})
	}
	table.Monitor(0, addresses)
	now := time.Duration(0)
	return batchMicroseconds(func() error {
		for range batch {
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
	return processorMicroseconds(func() error {
		dissemination.NewRelayTree(dissemination.Order("place", members), 3, 4)
		return nil
	})
}
