package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
)

const exampleFile = "../../examples/agencia.yaml"

// runCommand runs bramleyctl with the given arguments and returns its exit status and output.
func runCommand(t *testing.T, args ...string) (status subcommands.ExitStatus, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	flags := flag.NewFlagSet("bramleyctl", flag.ContinueOnError)
	flags.SetOutput(&stderr)
	commander := subcommands.NewCommander(flags, "bramleyctl")
	commander.Error = &stderr
	register(commander, terminal{out: &stdout, err: &stderr})
	if err := flags.Parse(args); err != nil {
		t.Fatal(err)
	}
	status = commander.Execute(context.Background())
	return status, stdout.String(), stderr.String()
}

// editExample writes a copy of the example tree with a text replaced and returns its path.
func editExample(t *testing.T, old, replacement string) string {
	t.Helper()
	data, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(string(data), old, replacement)
	if text == string(data) {
		t.Fatalf("%q is not in %s", old, exampleFile)
	}
	path := filepath.Join(t.TempDir(), "tree.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func assertContains(t *testing.T, text string, wants ...string) {
	t.Helper()
	for _, want := range wants {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing from:\n%s", want, text)
		}
	}
}

func TestValidateReportsEveryFindingWithItsPosition(t *testing.T) {
	if status, out, _ := runCommand(t, "validate", exampleFile); status != subcommands.ExitSuccess {
		t.Fatalf("exit %d: %s", status, out)
	}
	bad := editExample(t, `url: "http://127.0.0.1:20301"`, `url: "nowhere", slots: 3`)
	status, out, _ := runCommand(t, "validate", exampleFile, bad)
	if status != exitFailed {
		t.Fatalf("exit %d", status)
	}
	assertContains(t, out, "agencia.yaml: valid", bad+":", "orders-1.url", "orders-1.slots")
	_, out, _ = runCommand(t, "validate", "-o", "json", bad)
	var results []validationResult
	if err := json.Unmarshal([]byte(out), &results); err != nil || len(results) != 1 {
		t.Fatalf("%v: %s", err, out)
	}
	if results[0].Valid || len(results[0].Findings) != 2 || results[0].Findings[0].Line == 0 {
		t.Fatalf("got %+v", results[0])
	}
}

func TestSettingsShowTheLevelOfEachValue(t *testing.T) {
	_, out, _ := runCommand(t, "settings", "--service", "certificates", "--upstream", "certificates-1", exampleFile)
	assertContains(t, strings.Join(strings.Fields(out), " "), "queue_length 16 services.certificates.policy", "retry_after 200ms policy", "weight 1 default")
	if status, _, errOut := runCommand(t, "settings", "--service", "photos", exampleFile); status != exitFailed || !strings.Contains(errOut, "photos") {
		t.Fatalf("exit %d: %s", status, errOut)
	}
}

func TestDiffListsAffectedUpstreams(t *testing.T) {
	if status, out, _ := runCommand(t, "diff", exampleFile, exampleFile); status != subcommands.ExitSuccess || out != "" {
		t.Fatalf("exit %d: %s", status, out)
	}
	status, out, _ := runCommand(t, "diff", exampleFile, editExample(t, "queue_length: 16", "queue_length: 20"))
	if status != exitFailed {
		t.Fatalf("exit %d", status)
	}
	assertContains(t, out, "queue_length: 16 -> 20", "certificates.bog-centro.certificates-2")
	if strings.Contains(out, "orders") {
		t.Errorf("diff lists orders, which do not change:\n%s", out)
	}
}

func TestExplainRanksUpstreams(t *testing.T) {
	_, out, _ := runCommand(t, "explain", "--service", "orders", "--connection-id", "0011223344556677", "--place", "bog-sur", exampleFile)
	assertContains(t, out, "no owner", "orders-7", "bog-sur")
	if place := strings.Fields(strings.Split(out, "\n")[2])[3]; place != "bog-sur" {
		t.Errorf("first rank is at place %s, want bog-sur:\n%s", place, out)
	}
}

func TestReplayChecksTheExpectedOutcome(t *testing.T) {
	const traces = "../../testdata/traces/"
	status, out, errOut := runCommand(t, "replay", traces+"flow-drain.yaml", traces+"request-agencia-morning.csv")
	if status != subcommands.ExitSuccess {
		t.Fatalf("exit %d: %s%s", status, out, errOut)
	}
	assertContains(t, out, "trace=drain outcome=met", "trace=request-agencia-morning outcome=met")
	status, out, _ = runCommand(t, "replay", "--min-goodput", "1.5", traces+"request-agencia-morning.csv")
	if status != exitFailed {
		t.Fatalf("exit %d", status)
	}
	assertContains(t, out, "missed=", "expected at least 1.500")
}

func TestWrongCommandLines(t *testing.T) {
	for _, args := range [][]string{
		{"validate"},
		{"validate", "-o", "xml", exampleFile},
		{"settings", exampleFile},
		{"diff", exampleFile},
		{"explain", "--service", "orders", "--connection-id", "zz", exampleFile},
		{"status"},
		{"status", "--processes", "127.0.0.1:1", "--tree", exampleFile},
		{"nodes"},
		{"nodes", "--operator", "127.0.0.1:1", "--timeout", "0s"},
		{"explain-flow", "--balancer", "127.0.0.1:1", "--flow", "100.64.0.1:1"},
		{"explain-flow", "--balancer", "localhost", "--flow", "100.64.0.1:1,198.18.0.1:443"},
		{"replay"},
		{"keygen"},
	} {
		if status, _, errOut := runCommand(t, args...); status != exitUsage || !strings.Contains(errOut, "bramleyctl help "+args[0]) {
			t.Errorf("%v: exit %d: %s", args, status, errOut)
		}
	}
}
