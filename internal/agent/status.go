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

// currentUpstream returns the agent's upstream in the current settings, or nil if it was removed.
func (a *Agent) currentUpstream() *settings.Upstream {
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

// policy returns the current policy of the upstream. If the upstream was removed from the settings, it
// returns the policy from the agent's start.
func (a *Agent) policy() settings.Policy {
	if upstream := a.currentUpstream(); upstream != nil {
		return upstream.Policy
	}
	return a.upstream.Policy
}

// leaving reports whether the current settings mark the upstream as leaving or do not contain it, or
// whether the platform lists the VM as leaving.
func (a *Agent) leaving() bool {
	upstream := a.currentUpstream()
	return upstream == nil || upstream.Leaving || a.view.Leaving()
}

// accepting reports whether the agent accepts new flows, streams and requests.
func (a *Agent) accepting() bool {
	if a.leaving() {
		return false
	}
	return a.lifecycle.current() == bramleyv1.ProcessState_PROCESS_STATE_SERVING && a.view.Ready() == nil && a.health.accepting()
}

// ready returns nil if the agent is serving, and the reason otherwise.
func (a *Agent) ready() error {
	if err := a.view.Ready(); err != nil {
		return err
	}
	if !a.health.accepting() {
		return errors.New("upstream does not accept work")
	}
	if state := a.lifecycle.current(); state != bramleyv1.ProcessState_PROCESS_STATE_SERVING {
		return errors.Errorf("process is in state %s", state)
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

// protoLoad returns the load for heartbeats. It is empty while the agent is starting, since there may
// be no executor yet.
func (a *Agent) protoLoad() *bramleyv1.Load {
	if a.lifecycle.current() == bramleyv1.ProcessState_PROCESS_STATE_STARTING {
		return &bramleyv1.Load{}
	}
	load := a.executor.Load()
	load.Flows = uint32(a.metrics.flows.Value())
	return load
}

func (a *Agent) peerLoads(now time.Duration) []placement.PeerLoad {
	return a.peers.flowLoads(now, a.view.Now())
}

// syncExecutor marks the process as started. It then informs the executor whenever the agent starts or
// stops accepting new work because of the settings, the health of the upstream or the state of the
// process, and refreshes the list of dead peers.
func (a *Agent) syncExecutor(ctx context.Context) error {
	ticker := time.NewTicker(confirmDelay)
	defer ticker.Stop()
	a.lifecycle.fire(eventStarted)
	previous := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.view.Updates():
		case <-ticker.C:
		}
		a.peers.refreshDead()
		if accepting := a.accepting(); accepting != previous {
			a.executor.SetAccepting(accepting)
			telemetry.Event("accepting", "now", accepting, "revision", a.view.Revision())
			previous = accepting
		}
	}
}

// state returns the process state for heartbeats. A process that is serving reports SUSPECT_SELF while
// its view is not confirmed, and LEAVING while it accepts no new work.
func (a *Agent) state() bramleyv1.ProcessState {
	state := a.lifecycle.current()
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
