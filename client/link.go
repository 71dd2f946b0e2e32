package client

import (
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
)

// link is one HTTP/3 transport with the number of its users. A retired link closes when the last has left.
type link struct {
	service   bramleyv1connect.CallServiceClient
	transport *http3.Transport
	users     int
	retired   bool
}

func newLink(config Config) *link {
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
	return &link{service: service, transport: transport}
}

// links holds the link for new requests. It is safe for concurrent use.
type links struct {
	config Config

	mu      sync.Mutex
	current *link
	closed  bool
}

// acquire returns the current link. The caller releases it.
func (l *links) acquire() (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, ErrClosed
	}
	if l.current == nil {
		l.current = newLink(l.config)
	}
	l.current.users++
	return l.current, nil
}

func (l *links) release(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.users--
	if k.retired && k.users == 0 {
		_ = k.transport.Close()
	}
}

// retire makes the next acquire open a new link, if k is still the current one.
func (l *links) retire(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != k {
		return false
	}
	l.current = nil
	k.retired = true
	return true
}

// close ends every request on the current link.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.current != nil {
		_ = l.current.transport.Close()
	}
}
