package nodeview

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/internal/nodelink"
	"github.com/bramleyrack/bramleyrack/registry"
)

// acceptPause is the pause after a failed accept.
const acceptPause = 50 * time.Millisecond

// service answers peers from a view.
type service struct {
	view *View
}

// Fetch returns what changed after a revision.
func (s service) Fetch(ctx context.Context, req *nodev1.FetchRequest) (*nodev1.View, error) {
	delta, err := s.view.Since(ctx, req.GetRevision())
	if err != nil {
		return nil, err
	}
	return nodelink.PutDelta(s.view.config.Clock.Now(), delta), nil
}

// Serve answers the peers that ask for what changed, until ctx ends, and closes the listener.
func (v *View) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := nodev1.DRPCRegisterViewService(mux, service{view: v}); err != nil {
		listener.Close()
		return errors.Annotate(err, "registering the view service")
	}
	server := drpcserver.New(mux)
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var links sync.WaitGroup
	defer links.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if conn != nil {
				conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Annotate(err, "accepting peers")
		case err != nil:
			v.config.Failure("peer_accept_failed", err)
			time.Sleep(acceptPause)
			continue
		}
		links.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			defer cancel()
			// The end of a link is ordinary: each carries one question.
			_ = server.ServeOne(ctx, conn)
			conn.Close()
		})
	}
}

// Fetch asks a peer for what changed after a revision. Each question takes a connection of its own, since they
// are rare and a kept one may have gone silent.
func Fetch(c *clock.Clock) func(ctx context.Context, peer netip.AddrPort, revision uint64) (registry.Delta, error) {
	return func(ctx context.Context, peer netip.AddrPort, revision uint64) (registry.Delta, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", peer.String())
		if err != nil {
			return registry.Delta{}, errors.Annotatef(err, "dialing peer %s", peer)
		}
		link := drpcconn.New(conn)
		defer link.Close()
		answer, err := nodev1.NewDRPCViewServiceClient(link).Fetch(ctx, &nodev1.FetchRequest{Revision: revision})
		if err != nil {
			return registry.Delta{}, errors.Annotatef(err, "asking peer %s for changes after revision %d", peer, revision)
		}
		return nodelink.Delta(c.Now(), answer), nil
	}
}
