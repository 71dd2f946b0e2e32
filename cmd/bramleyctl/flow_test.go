package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/bramleyrack/bramleyrack/internal/finding"
	"github.com/bramleyrack/bramleyrack/platform"
)

const flowLog = `edge-1 time=2026-01-06T05:50:59.001Z level=INFO op=flow_placed flow=100.64.0.1:1025>198.18.0.1:443 copy=0 agent=10.0.0.1 version=3 reason=""
side-1 time=2026-01-06T05:50:59.003Z level=INFO op=flow_reset flow=100.64.0.1:1025>198.18.0.1:443 seq=0 reason="no server can answer in time" version=3
side-1 time=2026-01-06T05:50:59.002Z level=INFO op=suspect now=true failing=0.5
side-1 time=2026-01-06T05:50:59.004Z level=INFO op=flow_reset flow=100.64.0.1:1026>198.18.0.1:443 seq=0 reason="no server can answer in time" version=3
`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFlowPrintsHistory(t *testing.T) {
	log := writeFile(t, "all.log", flowLog)
	status, out, _ := runCommand(t, "flow", "--flow", "100.64.0.1:1025>198.18.0.1:443", log)
	if status != 0 {
		t.Fatalf("exit %d", status)
	}
	assertContains(t, out, "edge-1", "flow_placed", "agent=10.0.0.1", `reason="no server can answer in time"`)
	status, out, _ = runCommand(t, "flow", "--client", "100.64.0.1:1026", log)
	if status != 0 {
		t.Fatalf("exit %d", status)
	}
	assertContains(t, out, "flow 100.64.0.1:1026>198.18.0.1:443", "suspect", "failing=0.5")
	_, out, _ = runCommand(t, "flow", "--client", "100.64.0.1", log)
	assertContains(t, out, "100.64.0.1:1025>198.18.0.1:443", "100.64.0.1:1026>198.18.0.1:443")
}

func TestFlowNotInLogs(t *testing.T) {
	status, _, errOut := runCommand(t, "flow", "--client", "100.64.0.9", writeFile(t, "all.log", flowLog))
	if status != exitFailed {
		t.Fatalf("exit %d", status)
	}
	assertContains(t, errOut, "100.64.0.9")
	if status, _, _ := runCommand(t, "flow", "all.log"); status != exitUsage {
		t.Fatalf("exit %d without --flow and --client", status)
	}
}

// TestPlatformSettingsAreValidated reads a file with a missing and an invalid address. The command must print each
// finding of package platform, with the name of the file.
func TestPlatformSettingsAreValidated(t *testing.T) {
	const name = "settings-invalid.json"
	data, err := os.ReadFile(filepath.Join("..", "..", "platform", "testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	_, err = platform.ParseSettings(data)
	var found *finding.Error
	if !errors.As(err, &found) || len(found.Findings) != 2 {
		t.Fatalf("got %v, want two findings", err)
	}
	status, out, _ := runCommand(t, "validate", "--platform", writeFile(t, name, string(data)))
	if status != exitFailed {
		t.Fatalf("exit %d", status)
	}
	for _, f := range found.Findings {
		assertContains(t, out, name+":"+f.Path+": ", f.Reason)
	}
}
