package storeview

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
	"github.com/bramleyrack/bramleyrack/registry"
)

// acceptRetryDelay keeps a persistent accept error from causing a busy loop.
const acceptRetryDelay = 50 * time.Millisecond

// maxViewBytes bounds the answer of a peer. The whole state with 58,000 servers takes 4 to 6 MB, more than the default of
// drpc.
const maxViewBytes = 16 << 20

type viewService struct {
	view *View
}

// Fetch returns the changes after a revision.
func (s viewService) Fetch(ctx context.Context, req *nodev1.FetchRequest) (*nodev1.View, error) {
	delta, err := s.view.Since(ctx, registry.Revision(req.GetRevision()))
	if err != nil {
		return nil, err
	}
	return nodecodec.EncodeDelta(s.view.config.Clock.Now(), delta), nil
}

// Serve answers fetches from peers over ViewService, by drpc over plain TCP, until ctx ends. It closes the
// listener.
func (v *View) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := nodev1.DRPCRegisterViewService(mux, viewService{view: v}); err != nil {
		listener.Close()
		return errors.Annotate(err, "registering the view service")
	}
	server := drpcserver.New(mux)
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if conn != nil {
				conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Annotate(err, "accepting ViewService connections")
		case err != nil:
			v.config.Failure("peer_accept_failed", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		connections.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			defer cancel()
			// Every connection carries one fetch and then ends, so the error is expected.
			_ = server.ServeOne(ctx, conn)
			conn.Close()
		})
	}
}

// Fetch returns a function that fetches the changes after a revision from a peer. Each fetch opens a new
// connection, because fetches are rare and an idle connection may have failed unnoticed.
func Fetch(c *clock.Clock) func(ctx context.Context, peer netip.AddrPort, revision registry.Revision) (registry.Delta, error) {
	return func(ctx context.Context, peer netip.AddrPort, revision registry.Revision) (registry.Delta, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", peer.String())
		if err != nil {
			return registry.Delta{}, errors.Annotatef(err, "dialing the ViewService of peer %s", peer)
		}
		link := drpcconn.NewWithOptions(conn, drpcconn.Options{
			Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxViewBytes}},
		})
		defer link.Close()
		answer, err := nodev1.NewDRPCViewServiceClient(link).Fetch(ctx, &nodev1.FetchRequest{Revision: uint64(revision)})
		if err != nil {
			return registry.Delta{}, errors.Annotatef(err, "ViewService of peer %s: fetching changes after revision %v", peer, revision)
		}
		return nodecodec.DecodeDelta(c.Now(), answer), nil
	}
}
