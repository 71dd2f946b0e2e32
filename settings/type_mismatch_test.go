package settings_test

import (
	"errors"
	"testing"

	"github.com/bramleyrack/bramleyrack/settings"
)

func TestParseReportsEveryValueOfTheWrongType(t *testing.T) {
	const bad = `
firm: [agencia]
policy: {slots: many, weight: heavy, unknown: 1}
services:
  orders: {number: one, address: "127.0.0.1:8443", policy: 7}
places:
  bog-norte:
    services:
      orders:
        upstreams:
          orders-1: {number: -1, agent: "127.0.0.1:9001", peer: "127.0.0.1:9101", url: "http://127.0.0.1:9201", leaving: perhaps}
  bog-sur: none
`
	_, err := settings.Parse([]byte(bad), 1)
	var findings *settings.FindingsError
	if !errors.As(err, &findings) {
		t.Fatalf("got %v", err)
	}
	want := map[string]string{
		"firm":                   "must be a string",
		"policy.slots":           "must be an integer",
		"policy.weight":          "must be a number",
		"policy.unknown":         "unknown field",
		"services.orders.number": "must be a non-negative integer",
		"services.orders.policy": "must be a mapping",
		"places.bog-sur":         "must be a mapping",
		"places.bog-norte.services.orders.upstreams.orders-1.number":  "must be a non-negative integer",
		"places.bog-norte.services.orders.upstreams.orders-1.leaving": "must be true or false",
	}
	for _, f := range findings.Findings {
		if want[f.Path] != f.Reason || f.Line == 0 {
			t.Errorf("unexpected finding %v", f)
		}
		delete(want, f.Path)
	}
	for path, reason := range want {
		t.Errorf("no finding %s: %s", path, reason)
	}
}
