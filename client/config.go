// Package client calls a service behind bramleyrack over HTTP/3. It manages tickets, obeys the retry
// delays of the service, replaces stalled connections, retries only what is safe to retry, and reports
// whether a request ran.
package client

import (
	"crypto/tls"
	"time"

	"connectrpc.com/connect"
)

const (
	defaultKeepAlive   = 1500 * time.Millisecond
	defaultIdleTimeout = 6 * time.Second
	defaultFeedTimeout = 4 * time.Second
	defaultDeadline    = 10 * time.Second
	defaultRetryShare  = 0.1
	// retryBurst is how many retries the retry budget can save up.
	retryBurst = 3
	// maxUnusedTickets limits the tickets that a client keeps for later calls.
	maxUnusedTickets = 64
)

// Config configures a Client.
type Config struct {
	// Address is the IP address and port of the service.
	Address string
	// TLS is the configuration that authenticates the service.
	TLS *tls.Config
	// KeepAlive is the interval between keep-alive packets on an idle connection. A shorter interval
	// detects a broken path sooner, at the cost of more packets. Zero means 1.5 s.
	KeepAlive time.Duration
	// IdleTimeout is how long a connection may receive nothing before it is closed, and a download
	// before it is resumed on a new connection. It should leave QUIC enough time to recover from a burst
	// of packet loss. Zero means 6 s.
	IdleTimeout time.Duration
	// FeedTimeout is how long a feed may go without an event or heartbeat before it is reopened. It must
	// exceed the heartbeat interval of the service's feeds. Zero means 4 s.
	FeedTimeout time.Duration
	// Deadline is the timeout of calls whose context has no deadline. Zero means 10 s.
	Deadline time.Duration
	// RetryShare is the number of retries that each successful call allows, as a fraction. Zero means 0.1.
	RetryShare float64
	// Interceptors wrap every request, for example to trace it.
	Interceptors []connect.Interceptor
}

func (c Config) withDefaults() Config {
	setDefault(&c.KeepAlive, defaultKeepAlive)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.FeedTimeout, defaultFeedTimeout)
	setDefault(&c.Deadline, defaultDeadline)
	setDefault(&c.RetryShare, defaultRetryShare)
	return c
}

func setDefault[T time.Duration | float64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
