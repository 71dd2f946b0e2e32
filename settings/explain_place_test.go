package settings_test

import (
	"testing"

	"github.com/bramleyrack/bramleyrack/settings"
)

func TestExplainPlace(t *testing.T) {
	const tree = `
firm: agencia
policy: {slots: 4}
services:
  orders: {number: 1, address: "127.0.0.1:8443", policy: {slots: 5}}
places:
  bog-norte:
    policy: {dead_after: 3s}
    services: {orders: {policy: {queue_length: 9}}}
`
	for _, c := range []struct{ place, field, value, level string }{
		{"", "slots", "5", "services.orders.policy"},
		{"", "dead_after", "2s", "default"},
		{"bog-norte", "dead_after", "3s", "places.bog-norte.policy"},
		{"bog-norte", "queue_length", "9", "places.bog-norte.services.orders.policy"},
	} {
		values, err := settings.ExplainPlace([]byte(tree), "orders", c.place)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range values {
			if v.Field == c.field && (v.Value != c.value || v.Level != c.level) {
				t.Errorf("at %q: got %+v, want %+v", c.place, v, c)
			}
		}
	}
	if _, err := settings.ExplainPlace([]byte(tree), "orders", "waw-wola"); err == nil {
		t.Error("accepted an unknown place")
	}
}
