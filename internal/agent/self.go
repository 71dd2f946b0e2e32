package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/internal/view"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// selfInterval is the time between two looks for the upstream in the settings.
const selfInterval = 50 * time.Millisecond

// findSelf waits until a revision names the upstream that the agent stands beside.
func (a *Agent) findSelf(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, err := view.Start(ctx, a.viewConfig(&bramleyv1.Identity{
		Vm:          a.config.VM,
		Place:       a.config.Place,
		Role:        bramleyv1.VMRole_VM_ROLE_UPSTREAM,
		Incarnation: incarnation(),
		PeerAddress: a.config.PeerListen.String(),
	}))
	if err != nil {
		return errors.Trace(err)
	}
	ticker := time.NewTicker(selfInterval)
	defer ticker.Stop()
	for {
		if tree := first.Current(); tree != nil && a.adoptSelf(tree) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for settings that name the upstream")
		case <-ticker.C:
		}
	}
}

// adoptSelf takes the agent's numbers and addresses from the tree.
func (a *Agent) adoptSelf(tree *settings.Tree) bool {
	service := tree.ServiceByName(a.config.Service)
	if service == nil {
		return false
	}
	for _, upstream := range service.Upstreams {
		if upstream.Name != a.config.Upstream {
			continue
		}
		a.upstream = upstream
		a.self = placement.Owner{Service: service.Number, Server: upstream.Number}
		return true
	}
	return false
}

// startView starts the view under the full identity of the agent.
func (a *Agent) startView(ctx context.Context) error {
	id := &bramleyv1.Identity{
		Vm:          a.config.VM,
		Place:       a.config.Place,
		Role:        bramleyv1.VMRole_VM_ROLE_UPSTREAM,
		Service:     a.self.Service,
		Server:      a.self.Server,
		Incarnation: incarnation(),
		PeerAddress: a.peerAddress().String(),
	}
	// Connection IDs carry the low bits, which change every millisecond.
	a.incarnation = id.GetIncarnation()
	a.self.Incarnation = uint32(id.Incarnation / uint64(time.Millisecond))
	v, err := view.Start(ctx, a.viewConfig(id))
	if err != nil {
		return errors.Trace(err)
	}
	a.view = v
	return a.awaitSettings(ctx)
}

func (a *Agent) awaitSettings(ctx context.Context) error {
	ticker := time.NewTicker(selfInterval)
	defer ticker.Stop()
	for a.view.Current() == nil {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func (a *Agent) viewConfig(id *bramleyv1.Identity) view.Config {
	return view.Config{
		Identity: id,
		Platform: a.newPlatform(),
		Peers:    a.pool,
		Seeds:    a.config.Seeds,
		Load:     a.protoLoad,
		State:    a.state,
		Meter:    a.meter,
		Event:    telemetry.Event,
	}
}

func incarnation() uint64 { return uint64(time.Now().UnixNano()) }

func (a *Agent) peerAddress() netip.AddrPort {
	if a.config.PeerListen.IsValid() {
		return a.config.PeerListen
	}
	return a.upstream.Peer
}
