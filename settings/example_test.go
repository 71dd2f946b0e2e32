package settings_test

import (
	"fmt"

	"github.com/bramleyrack/bramleyrack/settings"
)

func Example() {
	const text = `
firm: agencia
policy: {slots: 4}
services:
  orders: {number: 1, address: "127.0.0.1:8443", policy: {slots: 5}}
places:
  bog-norte:
    services:
      orders:
        upstreams:
          orders-1: {number: 1, agent: "127.0.0.1:9001", peer: "127.0.0.1:9101", url: "http://127.0.0.1:9201"}
          orders-2: {number: 2, agent: "127.0.0.1:9002", peer: "127.0.0.1:9102", url: "http://127.0.0.1:9202", policy: {slots: 2}}
`
	tree, err := settings.Parse([]byte(text), 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, upstream := range tree.ServiceByName("orders").Upstreams {
		fmt.Println(upstream.Name, upstream.Place, upstream.Policy.Slots)
	}
	// Output:
	// orders-1 bog-norte 5
	// orders-2 bog-norte 2
}
