package settings_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/settings"
)

const exampleTree = `
firm: agencia
policy: {slots: 4}
services:
  orders: {number: 1, address: "127.0.0.1:8443", policy: {slots: 5}}
places:
  bog-norte:
    policy: {dead_after: 3s}
    services:
      orders:
        upstreams:
          orders-1: {number: 1, agent: "127.0.0.1:9001", peer: "127.0.0.1:9101", url: "http://127.0.0.1:9201"}
          orders-2: {number: 2, agent: "127.0.0.1:9002", peer: "127.0.0.1:9102", url: "http://127.0.0.1:9202"}
`

func TestParseInherits(t *testing.T) {
	tree, err := settings.Parse([]byte(exampleTree), 7)
	if err != nil {
		t.Fatal(err)
	}
	upstream := tree.Service(1).Upstream(1)
	if upstream.Policy.Slots != 5 || upstream.Policy.DeadAfter != 3*time.Second {
		t.Fatalf("policy %+v", upstream.Policy)
	}
}

func findingsOf(t *testing.T, data string) []settings.Finding {
	t.Helper()
	_, err := settings.Parse([]byte(data), 1)
	var findings *settings.FindingsError
	if !errors.As(err, &findings) {
		t.Fatalf("got %v", err)
	}
	return findings.Findings
}

func TestParseReportsEveryFinding(t *testing.T) {
	bad := `
services:
  orders: {number: 1, address: "nowhere"}
places:
  bog-norte: {services: {photos: {}}}
`
	var paths []string
	for _, f := range findingsOf(t, bad) {
		paths = append(paths, f.Path)
	}
	want := []string{"firm", "places.bog-norte.services.photos", "services.orders.address"}
	if !slices.Equal(paths, want) {
		t.Fatalf("got %v, want %v", paths, want)
	}
}

// TestFindings breaks one thing at a time in a valid tree.
func TestFindings(t *testing.T) {
	cases := []struct{ name, old, new, path, reason string }{
		{"slots out of range", "slots: 4", "slots: 0", "policy.slots", "out of range"},
		{"duration", "dead_after: 3s", "dead_after: 3", "places.bog-norte.policy.dead_after", "not a duration"},
		{"not a number", "slots: 4", "weight: .nan", "policy.weight", "out of range"},
		{"order of limits", "dead_after: 3s", "dead_after: 30s", "places.bog-norte.policy", "below reset_after"},
		{"service number", "orders: {number: 1", "orders: {number: 70000", "services.orders.number", "out of range"},
		{"missing number", "orders-1: {number: 1, ", "orders-1: {", "places.bog-norte.services.orders.upstreams.orders-1.number", "missing"},
		{"upstream number twice", "orders-2: {number: 2", "orders-2: {number: 1", "places.bog-norte.services.orders.upstreams.orders-2.number", "used by"},
		{"address twice", "127.0.0.1:9002", "127.0.0.1:9001", "places.bog-norte.services.orders.upstreams.orders-2.agent", "used by"},
		{"no port", "127.0.0.1:8443", "127.0.0.1:0", "services.orders.address", "no port"},
		{"any address", "127.0.0.1:8443", "0.0.0.0:8443", "services.orders.address", "one machine"},
		{"host name", "http://127.0.0.1:9201", "http://localhost:9201", "places.bog-norte.services.orders.upstreams.orders-1.url", "not an IP number"},
		{"name", "firm: agencia", "firm: Agencia", "firm", "must be"},
		{"unknown field", "slots: 4", "slotz: 4", "policy.slotz", "unknown field"},
		{"key twice", "firm: agencia", "firm: agencia\nfirm: agencia", "$", "already defined"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			findings := findingsOf(t, strings.Replace(exampleTree, c.old, c.new, 1))
			if len(findings) != 1 || findings[0].Path != c.path || !strings.Contains(findings[0].Reason, c.reason) {
				t.Fatalf("got %v", findings)
			}
			if findings[0].Line == 0 {
				t.Fatalf("no place in the text: %v", findings[0])
			}
		})
	}
}

func TestExplainNamesTheLevel(t *testing.T) {
	values, err := settings.Explain([]byte(exampleTree), "orders", "orders-1")
	if err != nil {
		t.Fatal(err)
	}
	levels := make(map[string]settings.EffectiveValue)
	for _, v := range values {
		levels[v.Field] = v
	}
	for field, want := range map[string]settings.EffectiveValue{
		"slots":      {Field: "slots", Value: "5", Level: "services.orders.policy"},
		"dead_after": {Field: "dead_after", Value: "3s", Level: "places.bog-norte.policy"},
		"weight":     {Field: "weight", Value: "1", Level: "default"},
	} {
		if levels[field] != want {
			t.Errorf("got %+v, want %+v", levels[field], want)
		}
	}
}

func parse(t *testing.T, data string, revision uint64) *settings.Tree {
	t.Helper()
	tree, err := settings.Parse([]byte(data), revision)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

func TestDiff(t *testing.T) {
	next := strings.Replace(exampleTree, "slots: 5", "slots: 6", 1)
	changes := settings.Diff(parse(t, exampleTree, 1), parse(t, next, 2))
	var lines []string
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	want := []string{
		"~ orders.bog-norte.orders-1.slots: 5 -> 6",
		"~ orders.bog-norte.orders-2.slots: 5 -> 6",
		"~ orders.slots: 5 -> 6",
	}
	if !slices.Equal(lines, want) {
		t.Fatalf("got %q", lines)
	}
}

func TestCarryRemovedForgetsReusedNumbers(t *testing.T) {
	first := parse(t, exampleTree, 1)
	lines := slices.DeleteFunc(strings.Split(exampleTree, "\n"), func(l string) bool { return strings.Contains(l, "orders-2") })
	without := settings.RetainRemoved(first, parse(t, strings.Join(lines, "\n"), 2))
	if removed := without.Service(1).Removed; len(removed) != 1 || removed[0].Number != 2 {
		t.Fatalf("got %v", removed)
	}
	again := settings.RetainRemoved(without, parse(t, exampleTree, 3))
	if removed := again.Service(1).Removed; len(removed) != 0 {
		t.Fatalf("got %v", removed)
	}
}

// FuzzParse holds Parse to its contract: a tree or findings, and the same ones every time.
func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleTree))
	f.Add([]byte("firm: [\n"))
	f.Add([]byte("services: {a: {number: 1}, b: {number: 1}}"))
	f.Add([]byte("policy: {weight: .nan, slots: -1}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := settings.Parse(data, 1)
		if (tree == nil) == (err == nil) {
			t.Fatalf("tree %v, error %v", tree, err)
		}
		_, again := settings.Parse(data, 1)
		if fmt.Sprint(err) != fmt.Sprint(again) {
			t.Fatalf("%v, then %v", err, again)
		}
	})
}
