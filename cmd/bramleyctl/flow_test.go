package main

import (
	"os"
	"path/filepath"
	"testing"
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

func TestPlatformSettingsAreValidated(t *testing.T) {
	file := writeFile(t, "settings.json", `{
  "node_name": "edge-1",
  "zone": "bog-norte",
  "ip": "10.1.0.10",
  "bind_addrs": {"datagram_addr": "10.1.0.10:8172", "ready": "here"},
  "internal_port_range": [7720, 7735],
  "platform": {}
}`)
	status, out, _ := runCommand(t, "validate", "--platform", file)
	if status != exitFailed {
		t.Fatalf("exit %d", status)
	}
	assertContains(t, out, "settings.json:bind_addrs.ready: ", "settings.json:platform.address: is missing")
}
