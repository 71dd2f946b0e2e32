package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// current returns the upstream as the settings in force describe it.
func (a *Agent) current() *settings.Upstream {
	tree := a.tree()
	if tree == nil {
		return nil
	}
	service := tree.Service(a.self.Service)
	if service == nil {
		return nil
	}
	return service.Upstream(a.self.Server)
}

// policy returns the policy in force for the upstream, or the last known one once it is removed.
func (a *Agent) policy() settings.Policy {
	if upstream := a.current(); upstream != nil {
		return upstream.Policy
	}
	return a.upstream.Policy
}

// leaving reports whether the settings in force mark the upstream as leaving or don't name it, or the
// platform lists the VM as leaving.
func (a *Agent) leaving() bool {
	upstream := a.current()
	return upstream == nil || upstream.Leaving || a.view.Leaving()
}

// accepting reports whether new flows and streams may start here.
func (a *Agent) accepting() bool {
	if a.leaving() {
		return false
	}
	return a.life.get() == bramleyv1.ProcessState_PROCESS_STATE_SERVING && a.view.Ready() == nil && a.health.accepting()
}

// ready explains why the agent does not serve.
func (a *Agent) ready() error {
	if err := a.view.Ready(); err != nil {
		return err
	}
	if !a.health.accepting() {
		return errors.New("upstream does not accept work")
	}
	if state := a.life.get(); state != bramleyv1.ProcessState_PROCESS_STATE_SERVING {
		return errors.Errorf("process is in %s", state)
	}
	return nil
}

func (a *Agent) tree() *settings.Tree { return a.view.Current() }

func (a *Agent) observe(revision uint64) { a.view.Observe(revision, "") }

func (a *Agent) load() placement.Load {
	load := a.executor.Load()
	return placement.Load{
		Flows:     uint32(a.metrics.flows.Value()),
		BusySlots: load.GetBusySlots(),
		Slots:     load.GetSlots(),
		Weight:    a.policy().Weight,
		Accepting: a.accepting(),
	}
}

func (a *Agent) protoLoad() *bramleyv1.Load {
	if a.life.get() == bramleyv1.ProcessState_PROCESS_STATE_STARTING {
		return &bramleyv1.Load{}
	}
	load := a.executor.Load()
	load.Flows = uint32(a.metrics.flows.Value())
	return load
}

func (a *Agent) peerLoads(now time.Duration) []placement.PeerLoad {
	return a.peers.flowLoads(now, a.view.Now())
}

// follow applies changes of the settings and of the upstream's health to the executor.
func (a *Agent) follow(ctx context.Context) error {
	ticker := time.NewTicker(confirmDelay)
	defer ticker.Stop()
	a.life.fire(eventStarted)
	was := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.view.Updates():
		case <-ticker.C:
		}
		a.peers.refreshSilent()
		if is := a.accepting(); is != was {
			a.executor.SetAccepting(is)
			telemetry.Event("accepting", "now", is, "revision", a.view.Revision())
			was = is
		}
	}
}

// state is what heartbeats say of the process.
func (a *Agent) state() bramleyv1.ProcessState {
	state := a.life.get()
	if state != bramleyv1.ProcessState_PROCESS_STATE_SERVING {
		return state
	}
	if a.view.Ready() != nil {
		return bramleyv1.ProcessState_PROCESS_STATE_SUSPECT_SELF
	}
	if !a.accepting() {
		return bramleyv1.ProcessState_PROCESS_STATE_LEAVING
	}
	return state
}
