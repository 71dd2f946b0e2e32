package view

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyrack/bramleyrack/dissemination"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
	"github.com/bramleyrack/bramleyrack/membership"
)

// Heartbeat answers with the state of this process.
func (v *View) Heartbeat(_ context.Context, request *bramleyv1.HeartbeatRequest) (*bramleyv1.HeartbeatResponse, error) {
	v.config.Meter.Add(traffic.Liveness, proto.Size(request))
	v.post(event{heard: heardFromRequest(request)})
	response := &bramleyv1.HeartbeatResponse{
		From:          v.Identity(),
		State:         v.state(),
		Revision:      v.Revision(),
		RevisionAgeMs: v.ageMs(),
		Load:          v.load(),
	}
	v.config.Meter.Add(traffic.Liveness, proto.Size(response))
	return response, nil
}

// Fetch answers with the value in force if it is above the revision that the peer holds.
func (v *View) Fetch(ctx context.Context, request *bramleyv1.FetchRequest) (*bramleyv1.FetchResponse, error) {
	v.config.Meter.Add(traffic.Configuration, proto.Size(request))
	response := &bramleyv1.FetchResponse{RevisionAgeMs: v.ageMs(), State: v.state()}
	if c := v.current.Load(); c != nil && request.GetKey() == v.config.Key {
		response.Revision = c.revision
		if c.revision > request.GetAboveRevision() {
			v.fill(response, c, request.GetAboveRevision())
		}
	}
	size := proto.Size(response)
	// A peer whose turn would come too late asks another instead of waiting.
	ctx, cancel := context.WithTimeout(ctx, fetchTurn)
	defer cancel()
	if err := v.config.Meter.Wait(ctx, traffic.Configuration, size); err != nil {
		return nil, err
	}
	v.config.Meter.Add(traffic.Configuration, size)
	return response, nil
}

// fill adds the value in force, or a delta for a peer that holds the revision before.
func (v *View) fill(response *bramleyv1.FetchResponse, c *inForce, held uint64) {
	if p := v.previous.Load(); p != nil && p.revision == held {
		response.Delta = deltaTo(p, c.value)
	}
	if response.Delta == nil {
		response.Compressed = c.compressed()
	}
}

// Announce takes in a revision from the parent in the relay tree.
func (v *View) Announce(_ context.Context, request *bramleyv1.AnnounceRequest) (*bramleyv1.AnnounceResponse, error) {
	v.config.Meter.Add(traffic.Configuration, proto.Size(request))
	if request.GetKey() == v.config.Key {
		v.post(event{announced: request})
	}
	return &bramleyv1.AnnounceResponse{Revision: v.Revision()}, nil
}

// Status returns what the view knows, for operators. The caller adds what else it knows.
func (v *View) Status() *bramleyv1.StatusResponse {
	response := &bramleyv1.StatusResponse{
		Identity:      v.Identity(),
		State:         v.state(),
		Revision:      v.Revision(),
		RevisionAgeMs: v.ageMs(),
		Load:          v.load(),
		ControlBytes:  v.config.Meter.Bytes(),
	}
	if r := v.refused.Load(); r != nil {
		response.RefusedRevision = r.revision
		response.Findings = r.findings
	}
	return response
}

func (v *View) state() bramleyv1.ProcessState {
	if v.config.State != nil {
		return v.config.State()
	}
	switch {
	case v.current.Load() == nil:
		return bramleyv1.ProcessState_PROCESS_STATE_STARTING
	case v.summary.Load().suspect:
		return bramleyv1.ProcessState_PROCESS_STATE_SUSPECT_SELF
	default:
		return bramleyv1.ProcessState_PROCESS_STATE_SERVING
	}
}

func (v *View) load() *bramleyv1.Load {
	if v.config.Load == nil {
		return nil
	}
	return v.config.Load()
}

func (v *View) ageMs() uint64 {
	return uint64(max(0, time.Since(v.summary.Load().confirmed)) / time.Millisecond)
}

// heardPeer is what one heartbeat tells.
type heardPeer struct {
	beat        membership.Heartbeat
	observation dissemination.Observation
}

func heardFromRequest(request *bramleyv1.HeartbeatRequest) *heardPeer {
	return heardFrom(request.GetFrom(), request.GetState(), request.GetRevision(), request.GetRevisionAgeMs(), request.GetLoad())
}

func heardFromResponse(response *bramleyv1.HeartbeatResponse) *heardPeer {
	return heardFrom(response.GetFrom(), response.GetState(), response.GetRevision(), response.GetRevisionAgeMs(), response.GetLoad())
}

func heardFrom(from *bramleyv1.Identity, state bramleyv1.ProcessState, revision, ageMs uint64, load *bramleyv1.Load) *heardPeer {
	return &heardPeer{
		beat: membership.Heartbeat{
			Name:        from.GetVm(),
			Place:       from.GetPlace(),
			Address:     from.GetPeerAddress(),
			Role:        role(from.GetRole()),
			Service:     from.GetService(),
			Server:      from.GetServer(),
			Incarnation: from.GetIncarnation(),
			Revision:    revision,
			Leaving:     state == bramleyv1.ProcessState_PROCESS_STATE_LEAVING,
			Stopped:     state == bramleyv1.ProcessState_PROCESS_STATE_STOPPED,
			Load: membership.Load{
				Flows:     load.GetFlows(),
				BusySlots: load.GetBusySlots(),
				Slots:     load.GetSlots(),
				Queued:    load.GetQueued(),
			},
		},
		observation: observation(from.GetPeerAddress(), state, revision, ageMs),
	}
}

func observation(peer string, state bramleyv1.ProcessState, revision, ageMs uint64) dissemination.Observation {
	return dissemination.Observation{
		Revision: revision,
		Peer:     peer,
		Age:      time.Duration(ageMs) * time.Millisecond,
		AgeKnown: true,
		Suspect:  !trusted(state),
	}
}

// trusted reports whether a peer in this state trusts its own view.
func trusted(state bramleyv1.ProcessState) bool {
	return state == bramleyv1.ProcessState_PROCESS_STATE_SERVING || state == bramleyv1.ProcessState_PROCESS_STATE_LEAVING
}

func role(r bramleyv1.VMRole) membership.Role {
	switch r {
	case bramleyv1.VMRole_VM_ROLE_ENTRY:
		return membership.RoleEntry
	case bramleyv1.VMRole_VM_ROLE_UPSTREAM:
		return membership.RoleUpstream
	default:
		return membership.RoleUnknown
	}
}
