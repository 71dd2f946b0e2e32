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

// peers reaches the other agents of the service and knows their loads.
type peers struct {
	view    *view.View
	pool    *peer.Pool
	service uint32
	server  uint32
	missed  atomic.Pointer[[]uint32]
}

// silent returns the agents that were dead at the last refresh.
func (p *peers) silent() []uint32 {
	if missed := p.missed.Load(); missed != nil {
		return *missed
	}
	return nil
}

// refreshSilent notes which agents are dead. One that is cut off itself accuses none.
func (p *peers) refreshSilent() {
	var missed []uint32
	if !p.view.Isolated() {
		p.members(func(m membership.Member, _ *settings.Upstream) {
			if m.State == membership.StateDead {
				missed = append(missed, m.Server)
			}
		})
	}
	p.missed.Store(&missed)
}

// Execute sends a request to the agent of a server.
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

// Offer tells the agent of a server that a slot is free here.
func (p *peers) Offer(ctx context.Context, server uint32, req *bramleyv1.OfferRequest) error {
	client, err := p.client(ctx, server)
	if err != nil {
		return err
	}
	_, err = client.Offer(ctx, req)
	return err
}

// client returns a client of the agent of a server. Its error says that nothing was delivered.
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

// accepts reports whether an agent may get new work.
func accepts(m membership.Member, upstream *settings.Upstream) bool {
	return m.State == membership.StateAlive && !upstream.Leaving
}

func (p *peers) upstream(server uint32) *settings.Upstream {
	service := p.settings()
	if service == nil {
		return nil
	}
	return service.Upstream(server)
}

func (p *peers) settings() *settings.Service {
	tree := p.view.Current()
	if tree == nil {
		return nil
	}
	return tree.Service(p.service)
}

// members calls f for each other agent of the service that the settings name.
func (p *peers) members(f func(membership.Member, *settings.Upstream)) {
	p.each((*settings.Service).Upstream, f)
}

// each calls f for each other agent of the service whose upstream find returns.
func (p *peers) each(find func(*settings.Service, uint32) *settings.Upstream, f func(membership.Member, *settings.Upstream)) {
	service := p.settings()
	if service == nil {
		return
	}
	for _, m := range p.view.Members() {
		if m.Service != p.service || m.Server == p.server || m.State == membership.StateUnknown {
			continue
		}
		if upstream := find(service, m.Server); upstream != nil {
			f(m, upstream)
		}
	}
}

// Loads returns the slots of the other agents.
func (p *peers) Loads() []request.PeerLoad {
	var loads []request.PeerLoad
	p.members(func(m membership.Member, upstream *settings.Upstream) {
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

// flowLoads returns the flows of the other agents, with times on the clock of the receiver. Those
// that the settings no longer name are there for the look-up of their flows.
func (p *peers) flowLoads(now, viewNow time.Duration) []placement.PeerLoad {
	loads := []placement.PeerLoad{}
	p.each((*settings.Service).LookupUpstream, func(m membership.Member, upstream *settings.Upstream) {
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

// age returns how long ago a process of an incarnation started, or zero if that is not known.
func age(incarnation uint64) time.Duration {
	if incarnation == 0 {
		return 0
	}
	return max(time.Since(time.Unix(0, int64(incarnation))), 1)
}

// successors returns the peer addresses of live agents of the service, for a hand-over.
func (p *peers) successors() []string {
	var addresses []string
	p.members(func(m membership.Member, upstream *settings.Upstream) {
		if accepts(m, upstream) {
			addresses = append(addresses, upstream.PeerAddress.String())
		}
	})
	return addresses
}
