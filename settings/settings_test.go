package settings_test

import (
	"errors"
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

func TestParseReportsEveryFinding(t *testing.T) {
	bad := `
services:
  orders: {number: 1, address: "nowhere"}
places:
  bog-norte: {services: {photos: {}}}
`
	_, err := settings.Parse([]byte(bad), 1)
	var findings *settings.FindingsError
	if !errors.As(err, &findings) || len(findings.Findings) != 2 {
		t.Fatalf("got %v", err)
	}
}
