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

// resolveInterval is the time between two attempts to find the upstream in the settings.
const resolveInterval = 50 * time.Millisecond

// startView starts the view, which ends with running, and waits until the settings contain the
// upstream or ctx ends.
func (a *Agent) startView(running, ctx context.Context) error {
	a.incarnation = uint64(time.Now().UnixNano())
	// A connection ID has room for 32 bits of the incarnation: the start time in milliseconds.
	a.self.Incarnation = uint32(a.incarnation / uint64(time.Millisecond))
	v, err := view.Start(running, a.viewConfig())
	if err != nil {
		return errors.Trace(err)
	}
	a.view = v
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	for !a.resolveSelf(v.Current()) {
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for settings that contain the upstream")
		case <-ticker.C:
		}
	}
	v.Identify(a.self.Service, a.self.Server)
	return nil
}

// resolveSelf looks up the agent's upstream in tree, which may be nil, and stores its numbers and
// addresses. It reports whether it found the upstream.
func (a *Agent) resolveSelf(tree *settings.Tree) bool {
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
