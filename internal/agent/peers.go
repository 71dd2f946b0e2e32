package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/peer"
	"github.com/bramleyrack/bramleyrack/internal/request"
	"github.com/bramleyrack/bramleyrack/internal/tracing"
	"github.com/bramleyrack/bramleyrack/internal/view"
	"github.com/bramleyrack/bramleyrack/membership"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// peers sends messages to the other agents of the service and returns their loads. It implements
// request.Peers.
type peers struct {
	view    *view.View
	pool    *peer.Pool
	service uint32
	server  uint32
	// dead holds the result of deadServers.
	dead atomic.Pointer[[]uint32]
}

// deadServers returns the agents that counted as dead at the last call of refreshDead.
func (p *peers) deadServers() []uint32 {
	if dead := p.dead.Load(); dead != nil {
		return *dead
	}
	return nil
}

// refreshDead updates the result of deadServers. If this process is probably cut off itself, it
// reports no agent as dead.
func (p *peers) refreshDead() {
	var dead []uint32
	if !p.view.Isolated() {
		p.forEachMember(func(m membership.Member, _ *settings.Upstream) {
			if m.State == membership.StateDead {
				dead = append(dead, m.Server)
			}
		})
	}
	p.dead.Store(&dead)
}

// Execute sends a request to the agent of a server. Its error wraps request.ErrNotDelivered if the
// agent can not have received the request.
func (p *peers) Execute(ctx context.Context, server uint32, req *bramleyv1.ExecuteRequest) (*bramleyv1.ExecuteResponse, error) {
	client, err := p.client(ctx, server)
	if err != nil {
		return nil, err
	}
	answer, err := client.Execute(tracing.InjectPeer(ctx), req)
	var dial *peer.DialError
	if errors.As(err, &dial) {
		return nil, request.NotDelivered(err)
	}
	return answer, err
}

// Offer informs the agent of a server that this agent has a free slot.
func (p *peers) Offer(ctx context.Context, server uint32, req *bramleyv1.OfferRequest) error {
	client, err := p.client(ctx, server)
	if err != nil {
		return err
	}
	_, err = client.Offer(ctx, req)
	return err
}

// client returns a client for the agent of a server. Its error wraps request.ErrNotDelivered.
func (p *peers) client(ctx context.Context, server uint32) (bramleyv1.DRPCPeerServiceClient, error) {
	upstream := p.upstream(server)
	if upstream == nil {
		return nil, errors.Annotatef(request.ErrNotDelivered, "server %d is not in the settings", server)
	}
	client, err := p.pool.Client(ctx, upstream.PeerAddress.String())
	if err != nil {
		return nil, request.NotDelivered(err)
	}
	return client, nil
}

// accepts reports whether an agent may receive new flows and requests.
func accepts(m membership.Member, upstream *settings.Upstream) bool {
	return m.State == membership.StateAlive && !upstream.Leaving
}

func (p *peers) upstream(server uint32) *settings.Upstream {
	service := p.currentService()
	if service == nil {
		return nil
	}
	return service.Upstream(server)
}

func (p *peers) currentService() *settings.Service {
	tree := p.view.Current()
	if tree == nil {
		return nil
	}
	return tree.Service(p.service)
}

// forEachMember calls f for each other agent of the service whose upstream is in the settings.
func (p *peers) forEachMember(f func(membership.Member, *settings.Upstream)) {
	p.forEach((*settings.Service).Upstream, f)
}

// forEach calls f for each other agent of the service for which lookup finds an upstream.
func (p *peers) forEach(lookup func(*settings.Service, uint32) *settings.Upstream, f func(membership.Member, *settings.Upstream)) {
	service := p.currentService()
	if service == nil {
		return
	}
	for _, m := range p.view.Members() {
		if m.Service != p.service || m.Server == p.server || m.State == membership.StateUnknown {
			continue
		}
		if upstream := lookup(service, m.Server); upstream != nil {
			f(m, upstream)
		}
	}
}

// Loads returns the request loads of the other agents.
func (p *peers) Loads() []request.PeerLoad {
	var loads []request.PeerLoad
	p.forEachMember(func(m membership.Member, upstream *settings.Upstream) {
		loads = append(loads, request.PeerLoad{
			Server:    m.Server,
			Busy:      int(m.Load.BusySlots),
			Slots:     int(m.Load.Slots),
			Queued:    int(m.Load.Queued),
			Accepting: accepts(m, upstream),
			Silent:    m.State == membership.StateSuspect || m.State == membership.StateDead,
		})
	})
	return loads
}

// flowLoads returns the flow loads of the other agents. now and viewNow are the same time on the
// clocks of the result and of the view. Agents whose upstream was removed from the settings are
// included, since they may still own flows.
func (p *peers) flowLoads(now, viewNow time.Duration) []placement.PeerLoad {
	loads := []placement.PeerLoad{}
	p.forEach((*settings.Service).UpstreamIncludingRemoved, func(m membership.Member, upstream *settings.Upstream) {
		loads = append(loads, placement.PeerLoad{
			Server:    m.Server,
			LastHeard: now - (viewNow - m.LastHeard),
			Age:       age(m.Incarnation),
			Load: placement.Load{
				Flows:     m.Load.Flows,
				BusySlots: m.Load.BusySlots,
				Slots:     m.Load.Slots,
				Weight:    upstream.Policy.Weight,
				Accepting: accepts(m, upstream),
			},
		})
	})
	return loads
}

// age returns how long ago the process with the given incarnation started, at least 1 ns, or zero if
// that is unknown. An incarnation is the start time in nanoseconds since 1970.
func age(incarnation uint64) time.Duration {
	if incarnation == 0 {
		return 0
	}
	return max(time.Since(time.Unix(0, int64(incarnation))), 1)
}

// successors returns the peer addresses of the agents that may take over the ticket records.
func (p *peers) successors() []string {
	var addresses []string
	p.forEachMember(func(m membership.Member, upstream *settings.Upstream) {
		if accepts(m, upstream) {
			addresses = append(addresses, upstream.PeerAddress.String())
		}
	})
	return addresses
}
