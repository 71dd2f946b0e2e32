// Package peer connects the processes that serve PeerService to each other, by drpc over TCP with mutual TLS.
package peer

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

const (
	// handshakeTimeout closes an incoming link that doesn't complete its TLS handshake.
	handshakeTimeout = 3 * time.Second
	// acceptRetryDelay keeps a persistent accept error from causing a busy loop.
	acceptRetryDelay = 50 * time.Millisecond
)

var (
	refusedLinks  = expvar.NewInt("peer_links_refused")
	acceptedLinks = expvar.NewInt("peer_links_accepted")
)

// RefusedLinks returns how many incoming links failed the TLS handshake, such as those without a valid certificate.
func RefusedLinks() int64 {
	return refusedLinks.Value()
}

// Serve listens at addr and serves peers until ctx is done.
func Serve(ctx context.Context, addr netip.AddrPort, config *tls.Config, impl bramleyv1.DRPCPeerServiceServer) error {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Annotate(err, "listening for PeerService connections")
	}
	return ServeListener(ctx, listener, config, impl)
}

// ServeListener serves peers on listener until ctx is done, and closes the listener. It returns an error if config does
// not verify client certificates.
func ServeListener(ctx context.Context, listener net.Listener, config *tls.Config, impl bramleyv1.DRPCPeerServiceServer) error {
	if config == nil || config.ClientAuth != tls.RequireAndVerifyClientCert {
		listener.Close()
		return errors.New("peer server requires a TLS configuration that verifies client certificates")
	}
	mux := drpcmux.New()
	if err := bramleyv1.DRPCRegisterPeerService(mux, impl); err != nil {
		listener.Close()
		return errors.Annotate(err, "registering the peer service")
	}
	s := &server{config: config, drpc: drpcserver.New(mux)}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer s.links.Wait()
	return s.accept(ctx, listener)
}

type server struct {
	config *tls.Config
	drpc   *drpcserver.Server
	links  sync.WaitGroup
}

func (s *server) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if conn != nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Annotate(err, "accepting PeerService connections")
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.links.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *server) serve(ctx context.Context, conn net.Conn) {
	link := tls.Server(conn, s.config)
	defer link.Close()
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	err := link.HandshakeContext(handshakeCtx)
	cancel()
	if err != nil {
		refusedLinks.Add(1)
		return
	}
	acceptedLinks.Add(1)
	// An error is expected when the peer closes or replaces the link.
	_ = s.drpc.ServeOne(ctx, link)
}
