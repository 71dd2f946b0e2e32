package client

import (
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
)

// connection is an HTTP/3 transport with a count of the requests that use it. A retired connection
// closes when the count reaches zero.
type connection struct {
	service   bramleyv1connect.CallServiceClient
	transport *http3.Transport
	users     int
	retired   bool
}

func newConnection(config Config) *connection {
	transport := &http3.Transport{
		TLSClientConfig: config.TLS,
		QUICConfig: &quic.Config{
			KeepAlivePeriod: config.KeepAlive,
			MaxIdleTimeout:  config.IdleTimeout,
		},
	}
	service := bramleyv1connect.NewCallServiceClient(
		&http.Client{Transport: transport},
		"https://"+config.Address,
		connect.WithInterceptors(config.Interceptors...),
	)
	return &connection{service: service, transport: transport}
}

// sharedConnection holds the connection for new requests. It is safe for concurrent use.
type sharedConnection struct {
	config Config

	mu      sync.Mutex
	current *connection
	closed  bool
}

// acquire returns the current connection, which the caller must release.
func (s *sharedConnection) acquire() (*connection, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	if s.current == nil {
		s.current = newConnection(s.config)
	}
	s.current.users++
	return s.current, nil
}

func (s *sharedConnection) release(conn *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.users--
	if conn.retired && conn.users == 0 {
		_ = conn.transport.Close()
	}
}

// retire makes the next acquire open a new connection, and reports whether conn was the current one.
func (s *sharedConnection) retire(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != conn {
		return false
	}
	s.current = nil
	conn.retired = true
	return true
}

// close aborts the requests on the current connection and makes acquire fail. Requests on a retired
// connection run to their end.
func (s *sharedConnection) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.current != nil {
		_ = s.current.transport.Close()
	}
}
