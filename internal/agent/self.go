package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/internal/view"
	"github.com/bramleyrack/bramleyrack/settings"
)

// selfInterval is the time between two looks for the upstream in the settings.
const selfInterval = 50 * time.Millisecond

// startView starts the view and waits until a revision names the upstream that the agent stands beside.
// ctx ends the view, and wait ends the waiting.
func (a *Agent) startView(ctx, wait context.Context) error {
	a.incarnation = uint64(time.Now().UnixNano())
	// Connection IDs carry the low bits, which change every millisecond.
	a.self.Incarnation = uint32(a.incarnation / uint64(time.Millisecond))
	v, err := view.Start(ctx, a.viewConfig())
	if err != nil {
		return errors.Trace(err)
	}
	a.view = v
	ticker := time.NewTicker(selfInterval)
	defer ticker.Stop()
	for !a.adoptSelf(v.Current()) {
		select {
		case <-wait.Done():
			return errors.Annotate(wait.Err(), "waiting for settings that name the upstream")
		case <-ticker.C:
		}
	}
	v.Identify(a.self.Service, a.self.Server)
	return nil
}

// adoptSelf takes the agent's numbers and addresses from the tree.
func (a *Agent) adoptSelf(tree *settings.Tree) bool {
	if tree == nil {
		return false
	}
	service := tree.ServiceByName(a.config.Service)
	if service == nil {
		return false
	}
	for _, upstream := range service.Upstreams {
		if upstream.Name != a.config.Upstream {
			continue
		}
		a.upstream = upstream
		a.self.Service = service.Number
		a.self.Server = upstream.Number
		return true
	}
	return false
}

func (a *Agent) viewConfig() view.Config {
	return view.Config{
		Identity: &bramleyv1.Identity{
			Vm:          a.config.VM,
			Place:       a.config.Place,
			Role:        bramleyv1.VMRole_VM_ROLE_UPSTREAM,
			Incarnation: a.incarnation,
			PeerAddress: a.config.PeerListen.String(),
		},
		Platform: a.newPlatform(),
		Peers:    a.pool,
		Seeds:    a.config.Seeds,
		Load:     a.protoLoad,
		State:    a.state,
		Meter:    a.meter,
		Event:    telemetry.Event,
	}
}
