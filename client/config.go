// Package client calls a service behind bramleyrack over HTTP/3. It keeps tickets, follows retry-after,
// replaces connections without progress, repeats only what may be repeated, and tells its user whether a
// request ran.
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
	retryBurst         = 3
	maxTickets         = 64
)

// Config configures a Client.
type Config struct {
	// Address is the IP number and port of the service.
	Address string
	// TLS verifies the service.
	TLS *tls.Config
	// KeepAlive is the time between packets on a quiet connection. Shorter notices a dead path earlier, at
	// the cost of packets. Zero means 1.5 s.
	KeepAlive time.Duration
	// IdleTimeout is the silence after which a connection is given up, and a download is opened anew. It
	// should leave QUIC the time to recover from a burst of losses. Zero means 6 s.
	IdleTimeout time.Duration
	// FeedTimeout is the silence after which a feed is opened anew. It must exceed the heartbeat of the
	// service's feeds. Zero means 4 s.
	FeedTimeout time.Duration
	// Deadline is given to calls whose context has none. Zero means 10 s.
	Deadline time.Duration
	// RetryShare is the share of successful calls that may be added as retries. Zero means 0.1.
	RetryShare float64
	// Interceptors wrap every request, for instance to trace it.
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

func setDefault[T time.Duration | float64](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}
