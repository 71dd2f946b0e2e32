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

// serve answers the peers that ask for what changed.
func (v *View) serve(ctx context.Context) error {
	mux := drpcmux.New()
	if err := nodev1.DRPCRegisterViewService(mux, v); err != nil {
		return errors.Annotate(err, "registering the view service")
	}
	server := drpcserver.New(mux)
	stop := context.AfterFunc(ctx, func() { v.config.Listener.Close() })
	defer stop()
	var links sync.WaitGroup
	defer links.Wait()
	for {
		conn, err := v.config.Listener.Accept()
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

// fetch asks a peer for what changed after a revision. Each question takes a connection of its own, since
// they are rare and a kept one may have gone silent.
func fetch(ctx context.Context, peer netip.AddrPort, revision uint64, c *clock.Clock) (registry.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
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
