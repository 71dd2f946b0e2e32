package storeview_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/internal/storeview"
)

// TestFetchFromSilentPeerTimesOut fetches from a peer that accepts the connection and never answers.
func TestFetchFromSilentPeerTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	fetch := storeview.Fetch(clock.New())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := fetch(ctx, netip.MustParseAddrPort(listener.Addr().String()), 0); err == nil {
		t.Fatal("got an answer from a silent peer")
	}
}
