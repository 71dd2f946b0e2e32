package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"

	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
)

// fakeOperator serves the given variables at an operator address, which it returns.
func fakeOperator(t *testing.T, variables map[string]any) string {
	t.Helper()
	text, err := json.Marshal(variables)
	if err != nil {
		t.Fatal(err)
	}
	return serveOperator(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(text) })
}

func serveOperator(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func fakeNode(vm, role string, view *nodestatus.View) *nodestatus.Node {
	return &nodestatus.Node{Process: 255, Role: role, VM: vm, Place: "bog-sur", View: view}
}

func viewOf(era uint16, revision, version uint64, ageMs int64) *nodestatus.View {
	return &nodestatus.View{Era: era, Revision: revision, Version: version, AgeMs: ageMs}
}

// TestNodesShowsEvacuationsAndServers guards against a place that gets nothing without a visible reason.
func TestNodesShowsEvacuationsAndServers(t *testing.T) {
	age := int64(2500)
	view := viewOf(1, 40, 7, 120)
	view.Evacuations = []nodestatus.Evacuation{{Place: "bog-sur", Era: 1, Revision: 38, AgeMs: &age}, {Place: "bog-norte", Revision: 3}}
	balancer := fakeOperator(t, map[string]any{"node": fakeNode("edge-1", nodestatus.Balancer, viewOf(1, 39, 7, 200))})
	agent := fakeOperator(t, map[string]any{
		"node":   fakeNode("side-1", nodestatus.Agent, view),
		"server": nodestatus.Server{Service: "orders", Accepting: true, Evacuated: true, ColdMs: 1500, ColdRate: 2.5, Busy: 1, Slots: 4, Flows: 3},
	})
	status, out, errOut := runCommand(t, "nodes", "--operator", balancer, "--operator", agent+","+balancer)
	if status != subcommands.ExitSuccess {
		t.Fatalf("exit %d: %s%s", status, out, errOut)
	}
	assertContains(t, out, "edge-1", "side-1", "00000000000000ff", "evacuated,cold 1.5s at 2.5/s 1/4 busy, 3 flows",
		"evacuation place=bog-sur era=1 revision=38 age=2.5s processes=1 of 2", "evacuation place=bog-norte era=0 revision=3 age=unknown",
		"era=1 revision=40 version=7 processes=2 in_force=2 lagging=0 unreachable=0")
	_, out, _ = runCommand(t, "nodes", "-o", "json", "--operator", agent)
	var report nodesReport
	if err := json.Unmarshal([]byte(out), &report); err != nil || len(report.Processes) != 1 {
		t.Fatalf("%v: %s", err, out)
	}
	got := report.Processes[0]
	if got.VM != "side-1" || got.Process != 255 || got.Server.ColdMs != 1500 || *got.View.Evacuations[0].AgeMs != age || got.View.Evacuations[1].AgeMs != nil {
		t.Fatalf("got %s", out)
	}
}

// TestNodesMarksWhatLags guards against an old era that hides behind a high revision number, and against marking
// processes that were only queried at another instant.
func TestNodesMarksWhatLags(t *testing.T) {
	for _, test := range []struct {
		view *nodestatus.View
		want string
	}{
		{viewOf(0, 900, 7, 10), "lags: era"},
		{viewOf(1, 39, 7, 10), ""},
		{viewOf(1, 39, 7, 4000), "lags: revision"},
		{viewOf(1, 40, 6, 10), "lags: version"},
		{viewOf(0, 900, 6, 10), "lags: era, version"},
		{nil, "lags: view"},
	} {
		newest := fakeOperator(t, map[string]any{"node": fakeNode("newest", nodestatus.Balancer, viewOf(1, 40, 7, 10))})
		other := fakeOperator(t, map[string]any{"node": fakeNode("other", nodestatus.Agent, test.view)})
		status, out, _ := runCommand(t, "nodes", "--operator", newest+","+other)
		if status != exitStatus(test.want == "") || !strings.Contains(out, test.want) || strings.Contains(out, "lags") != (test.want != "") {
			t.Errorf("%+v: exit %d, want %q in\n%s", test.view, status, test.want, out)
		}
	}
}

// TestNodesReportsUnreachableProcesses guards against a process that blocks or floods the command.
func TestNodesReportsUnreachableProcesses(t *testing.T) {
	good := fakeOperator(t, map[string]any{"node": fakeNode("edge-1", nodestatus.Balancer, viewOf(0, 40, 7, 10))})
	hanging := serveOperator(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	flooding := serveOperator(t, func(w http.ResponseWriter, _ *http.Request) {
		for range maxOperatorAnswer/1024 + 1 {
			fmt.Fprint(w, strings.Repeat(" ", 1024))
		}
	})
	failing := serveOperator(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such page", http.StatusNotFound) })
	other := fakeOperator(t, map[string]any{"cmdline": []string{"x"}})
	closed := freeAddr(t).String()
	start := time.Now()
	status, out, _ := runCommand(t, "nodes", "--timeout", "300ms", "--operator", strings.Join([]string{good, hanging, flooding, failing, other, closed}, ","))
	if took := time.Since(start); status != exitFailed || took > 5*time.Second {
		t.Fatalf("exit %d after %v: %s", status, took, out)
	}
	assertContains(t, out, "deadline exceeded", "exceeds 1048576 bytes", "answered 404: no such page", "is not a flow process", "refused",
		"processes=6 in_force=1 lagging=0 unreachable=5")
}
