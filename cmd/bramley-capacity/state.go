package main

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/membership"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
	"github.com/bramleyrack/bramleyrack/ticket"
)

// stateSlopes returns the slopes of the settings tree's size and of the memory of the state built from it.
func stateSlopes() []slope {
	treeSizes := []int{1000, 2000, 4000, 8000, 16000}
	return []slope{
		{
			name: "settings-text", title: "Size of the published settings tree", size: "upstreams", unit: "bytes",
			sizes: treeSizes, target: 58000, repeats: 1,
			measure: func(n int) (float64, error) { return float64(len(treeText(n))), nil },
		},
		{
			name: "settings-compressed", title: "Size of the published settings tree after gzip", size: "upstreams", unit: "bytes",
			sizes: treeSizes, target: 58000, repeats: 1, measure: compressedBytes,
		},
		{
			name: "settings-memory", title: "Memory of a parsed settings tree", size: "upstreams", unit: "bytes",
			sizes: treeSizes, target: 58000,
			measure: func(n int) (float64, error) {
				return heapBytes(func() (*settings.Tree, error) { return parseTree(n) })
			},
		},
		{
			name: "routing-memory", title: "Memory of the routes of a balancer", size: "upstreams", unit: "bytes",
			sizes: treeSizes, target: 58000, measure: routingBytes,
		},
		{
			name: "membership-memory", title: "Memory of the members of a place", size: "members", unit: "bytes",
			sizes: []int{500, 1000, 2000, 4000, 8000}, target: 3374,
			measure: func(n int) (float64, error) {
				return heapBytes(func() (*membership.Table, error) { return memberTable(n), nil })
			},
		},
		{
			name: "ticket-memory", title: "Memory of answered tickets at an agent", size: "tickets", unit: "bytes",
			sizes: []int{1000, 2000, 4000, 8000, 16000}, target: 10000, measure: ticketBytes,
		},
	}
}

func routingBytes(n int) (float64, error) {
	tree, err := parseTree(n)
	if err != nil {
		return 0, err
	}
	builder := &routing.Builder{Health: func(uint32) placement.Health { return placement.HealthLive }}
	defer runtime.KeepAlive(tree)
	return heapBytes(func() (*routing.Table, error) { return builder.Build(0, tree, routing.Empty()), nil })
}

func memberAddress(i int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 9101).String()
}

func memberTable(n int) *membership.Table {
	table := membership.New(membership.DefaultConfig())
	vms := make([]membership.ListedVM, 0, n)
	for i := range n {
		vms = append(vms, membership.ListedVM{Name: fmt.Sprintf("vm-%d", i), Place: "place", Address: memberAddress(i)})
	}
	table.UpdateList("place", vms)
	return table
}

// answerBytes is the size of a small answer, such as an order confirmation.
const answerBytes = 200

func ticketBytes(n int) (float64, error) {
	return heapBytes(func() (*ticket.Ledger[[]byte], error) {
		ledger := ticket.NewLedger[[]byte](ticket.Config{
			Service: 1, Server: 1, Incarnation: 1,
			Lifetime: time.Hour, AnswerLifetime: time.Hour, AnswerBytes: 1 << 30,
		})
		for i := range n {
			t := ledger.Mint(0)
			ledger.Claim(0, t, uint64(i))
			ledger.Answer(0, t.Sequence, make([]byte, answerBytes), answerBytes)
		}
		return ledger, nil
	})
}

func compressedBytes(n int) (float64, error) {
	var buffer bytes.Buffer
	w, err := gzip.NewWriterLevel(&buffer, gzip.BestCompression)
	if err != nil {
		return 0, err
	}
	if _, err := io.WriteString(w, treeText(n)); err != nil {
		return 0, err
	}
	if err := w.Close(); err != nil {
		return 0, err
	}
	return float64(buffer.Len()), nil
}
