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

// Heartbeat records the state of a peer and returns the state of this process.
func (v *View) Heartbeat(_ context.Context, request *bramleyv1.HeartbeatRequest) (*bramleyv1.HeartbeatResponse, error) {
	v.config.Meter.Add(traffic.Liveness, proto.Size(request))
	v.post(event{heartbeat: heartbeatFromRequest(request)})
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

// Fetch returns the current value if it is newer than the revision that the peer holds.
func (v *View) Fetch(ctx context.Context, request *bramleyv1.FetchRequest) (*bramleyv1.FetchResponse, error) {
	v.config.Meter.Add(traffic.Configuration, proto.Size(request))
	response := &bramleyv1.FetchResponse{RevisionAgeMs: v.ageMs(), State: v.state()}
	if c := v.current.Load(); c != nil && request.GetKey() == v.config.Key {
		response.Revision = c.revision
		if c.revision > request.GetAboveRevision() {
			v.setValue(response, c, request.GetAboveRevision())
		}
	}
	size := proto.Size(response)
	// A peer that would wait longer gets an error and fetches from another peer.
	ctx, cancel := context.WithTimeout(ctx, maxFetchDelay)
	defer cancel()
	if err := v.config.Meter.Wait(ctx, traffic.Configuration, size); err != nil {
		return nil, err
	}
	v.config.Meter.Add(traffic.Configuration, size)
	return response, nil
}

// setValue adds the current value to a response, as a delta if the peer holds the previous revision
// and the delta is small enough, or else compressed.
func (v *View) setValue(response *bramleyv1.FetchResponse, c *appliedRevision, held uint64) {
	if p := v.previous.Load(); p != nil && p.revision == held {
		response.Delta = newDelta(p, c.value)
	}
	if response.Delta == nil {
		response.Compressed = c.compressed()
	}
}

// Announce accepts a revision from the parent in the relay tree.
func (v *View) Announce(_ context.Context, request *bramleyv1.AnnounceRequest) (*bramleyv1.AnnounceResponse, error) {
	v.config.Meter.Add(traffic.Configuration, proto.Size(request))
	if request.GetKey() == v.config.Key {
		v.post(event{announcement: request})
	}
	return &bramleyv1.AnnounceResponse{Revision: v.Revision()}, nil
}

// Status returns the state of the view for operators. The caller adds the fields that other
// components own.
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
	case v.summary.Load().unconfirmed:
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
	return uint64(max(0, time.Since(v.summary.Load().confirmedAt)) / time.Millisecond)
}

// receivedHeartbeat is the content of a heartbeat message, for the membership table and the
// follower.
type receivedHeartbeat struct {
	heartbeat   membership.Heartbeat
	observation dissemination.Observation
}

func heartbeatFromRequest(request *bramleyv1.HeartbeatRequest) *receivedHeartbeat {
	return newReceivedHeartbeat(request.GetFrom(), request.GetState(), request.GetRevision(), request.GetRevisionAgeMs(), request.GetLoad())
}

func heartbeatFromResponse(response *bramleyv1.HeartbeatResponse) *receivedHeartbeat {
	return newReceivedHeartbeat(response.GetFrom(), response.GetState(), response.GetRevision(), response.GetRevisionAgeMs(), response.GetLoad())
}

func newReceivedHeartbeat(from *bramleyv1.Identity, state bramleyv1.ProcessState, revision, ageMs uint64, load *bramleyv1.Load) *receivedHeartbeat {
	return &receivedHeartbeat{
		heartbeat: membership.Heartbeat{
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
		Suspect:  !viewConfirmed(state),
	}
}

// viewConfirmed reports whether a peer in this state has confirmed its own view.
func viewConfirmed(state bramleyv1.ProcessState) bool {
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
