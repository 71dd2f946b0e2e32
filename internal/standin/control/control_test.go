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

// serveVars serves the variables of a process whose revision increases by one with each request, up to limit.
func serveVars(t *testing.T, limit int64) string {
	t.Helper()
	var revision atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"revision": %d, "flows": 3}`, min(revision.Add(1), limit))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestWaitRevisionWaitsForSlowest(t *testing.T) {
	operators := []string{serveVars(t, 3), serveVars(t, 9)}
	if err := control.NewClient().WaitRevision(t.Context(), operators, 3); err != nil {
		t.Fatal(err)
	}
}

// The error must name the process that lags, also if the context has ended.
func TestWaitRevisionNamesLaggingProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	lagging := serveVars(t, 2)
	err := control.NewClient().WaitRevision(ctx, []string{lagging}, 3)
	if err == nil || !strings.Contains(err.Error(), lagging) {
		t.Fatalf("got %v", err)
	}
}

func TestCheckRevisionFailsBelowRevision(t *testing.T) {
	if err := control.NewClient().CheckRevision(t.Context(), []string{serveVars(t, 9)}, 2, 0); err == nil {
		t.Fatal("check passed on a process below the revision")
	}
	if err := control.NewClient().CheckRevision(t.Context(), []string{serveVars(t, 9)}, 1, 0); err != nil {
		t.Fatal(err)
	}
}
