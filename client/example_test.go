package client_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"github.com/bramleyrack/bramleyrack/client"
)

func Example() {
	c, err := client.New(client.Config{Address: "192.0.2.1:8443", TLS: &tls.Config{ServerName: "orders.example"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, err := c.Call(ctx, "order", false, []byte("hypochlorite, 20 drums"))
	var end *client.Error
	switch {
	case err == nil:
		fmt.Printf("placed: %s\n", answer.GetBody())
	case errors.Is(err, client.ErrNotRun) && errors.As(err, &end):
		fmt.Println("not placed; safe to place again after", end.RetryAfter)
	case errors.Is(err, client.ErrAlreadyRun):
		fmt.Println("placed, and the answer is no longer held")
	default:
		fmt.Println("check the order before placing it again:", err)
	}
}
