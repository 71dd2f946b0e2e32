package control_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bramleyrack/bramleyrack/internal/standin/control"
)

// operator serves the variables of a process whose revision grows by one with each look, up to a limit.
func operator(t *testing.T, limit int64) string {
	t.Helper()
	var revision atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"revision": %d, "flows": 3}`, min(revision.Add(1), limit))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestWaitRevisionWaitsForTheSlowest(t *testing.T) {
	operators := []string{operator(t, 3), operator(t, 9)}
	if err := control.NewClient().WaitRevision(t.Context(), operators, 3); err != nil {
		t.Fatal(err)
	}
}

func TestWaitRevisionNamesWhoLags(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	behind := operator(t, 2)
	err := control.NewClient().WaitRevision(ctx, []string{behind}, 3)
	if err == nil || !strings.Contains(err.Error(), behind) {
		t.Fatalf("got %v", err)
	}
}

func TestHoldRevisionFailsBelow(t *testing.T) {
	if err := control.NewClient().HoldRevision(t.Context(), []string{operator(t, 9)}, 2, 0); err == nil {
		t.Fatal("a process below the revision passed")
	}
	if err := control.NewClient().HoldRevision(t.Context(), []string{operator(t, 9)}, 1, 0); err != nil {
		t.Fatal(err)
	}
}
