package nodecodec

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/registry"
)

// EncodeDelta converts a delta to its protobuf message. Times are sent as ages or remaining times.
func EncodeDelta(now time.Duration, d registry.Delta) *nodev1.View {
	m := &nodev1.View{
		From: uint64(d.From), Revision: uint64(d.Revision), Changed: uint64(d.Changed), Reader: d.Reader,
		ConfigVersion: d.ConfigurationVersion,
		AgeMs:         uint64(max(0, now-d.Confirmed).Milliseconds()),
		ContinuousMs:  uint64(max(0, now-d.ContinuousSince).Milliseconds()),
		Interrupted:   d.Interrupted,
		RoutesKnownMs: uint64(max(0, now-d.RoutesKnownSince).Milliseconds()),
		Removed:       d.Removed,
	}
	if d.Configuration != nil {
		m.Configuration = encodeConfiguration(d.Configuration)
	}
	for _, s := range d.Former {
		m.Former = append(m.Former, &nodev1.FormerShare{
			Ip: packIP(flow.IP(s.Address.Addr().As4())), Port: uint32(s.Address.Port()), Service: s.Service,
			EndedMs: uint64(max(0, now-s.Until).Milliseconds()),
		})
	}
	for i := range d.Upstreams {
		m.Upstreams = append(m.Upstreams, encodeUpstream(now, &d.Upstreams[i], d.Lapsed[i]))
	}
	for i := range d.Evacuations {
		m.Evacuations = append(m.Evacuations, encodeEvacuation(now, &d.Evacuations[i]))
	}
	return m
}

func encodeEvacuation(now time.Duration, e *registry.Evacuation) *nodev1.Evacuation {
	m := &nodev1.Evacuation{Place: e.Place, Revision: uint64(e.Revision), Ended: e.Ended, Requested: uint64(e.Requested)}
	if e.Started != 0 {
		started := uint64(max(0, now-e.Started).Milliseconds())
		m.StartedMs = &started
	}
	return m
}

func encodeConfiguration(c *registry.Configuration) *nodev1.Configuration {
	m := &nodev1.Configuration{Version: c.Version, Revision: uint64(c.Revision), IdleTimeoutMs: uint64(c.IdleTimeout.Milliseconds())}
	for i := range c.Routes {
		r := &c.Routes[i]
		route := &nodev1.Route{Ip: packIP(flow.IP(r.Address.Addr().As4())), Port: uint32(r.Address.Port()), Repeatable: r.Repeatable, TargetMs: uint32(r.Target.Milliseconds()), TimeoutMs: uint32(r.Timeout.Milliseconds()), Priority: uint32(r.Priority)}
		for _, share := range r.Shares {
			route.Shares = append(route.Shares, &nodev1.Share{Service: share.Service, Weight: share.Weight})
		}
		m.Routes = append(m.Routes, route)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[name]
		m.Services = append(m.Services, &nodev1.Service{Name: name, ColdStartMs: uint64(s.ColdStart.Milliseconds()), ColdRate: s.ColdRate})
	}
	return m
}

func encodeUpstream(now time.Duration, u *registry.Upstream, lapsed bool) *nodev1.Upstream {
	return &nodev1.Upstream{
		Id: u.ID, Service: u.Service, Ip: packIP(flow.IP(u.Address.Addr().As4())), Port: uint32(u.Address.Port()),
		Place: u.Place, Slots: uint32(u.Slots), Draining: u.Draining, Incarnation: u.Incarnation, Created: uint64(u.Created), Lapsed: lapsed,
		Sequence: u.Sequence,
		ColdMs:   uint64(max(0, u.WarmAt-now).Milliseconds()),
	}
}

// DecodeDelta converts a protobuf message that was received now.
func DecodeDelta(now time.Duration, m *nodev1.View) registry.Delta {
	d := registry.Delta{
		From: registry.Revision(m.From),
		Freshness: registry.Freshness{
			Revision: registry.Revision(m.Revision), Changed: registry.Revision(m.Changed), Reader: m.Reader,
			ConfigurationVersion: m.ConfigVersion,
			Confirmed:            now - time.Duration(m.AgeMs)*time.Millisecond,
			ContinuousSince:      now - time.Duration(m.ContinuousMs)*time.Millisecond, Interrupted: m.Interrupted,
			RoutesKnownSince: now - time.Duration(m.RoutesKnownMs)*time.Millisecond,
		},
		Removed: m.Removed,
	}
	if m.Configuration != nil {
		d.Configuration = decodeConfiguration(m.Configuration)
	}
	for _, s := range m.Former {
		d.Former = append(d.Former, registry.FormerShare{
			Address: addrPort(s.Ip, s.Port), Service: s.Service, Until: now - time.Duration(s.EndedMs)*time.Millisecond,
		})
	}
	for _, u := range m.Upstreams {
		d.Upstreams = append(d.Upstreams, decodeUpstream(now, u))
		d.Lapsed = append(d.Lapsed, u.Lapsed)
	}
	for _, e := range m.Evacuations {
		d.Evacuations = append(d.Evacuations, decodeEvacuation(now, e))
	}
	return d
}

func decodeEvacuation(now time.Duration, m *nodev1.Evacuation) registry.Evacuation {
	e := registry.Evacuation{Place: m.Place, Revision: registry.Revision(m.Revision), Ended: m.Ended, Requested: registry.Revision(m.Requested)}
	if m.StartedMs != nil {
		// The start may precede that of this process's clock. A time of zero would mean that it is not known.
		e.Started = cmp.Or(now-time.Duration(*m.StartedMs)*time.Millisecond, 1)
	}
	return e
}

func decodeConfiguration(m *nodev1.Configuration) *registry.Configuration {
	c := &registry.Configuration{Version: m.Version, Revision: registry.Revision(m.Revision), IdleTimeout: time.Duration(m.IdleTimeoutMs) * time.Millisecond}
	for _, r := range m.Routes {
		route := registry.Route{Address: addrPort(r.Ip, r.Port), Repeatable: r.Repeatable, Target: time.Duration(r.TargetMs) * time.Millisecond, Timeout: time.Duration(r.TimeoutMs) * time.Millisecond, Priority: int(r.Priority)}
		for _, share := range r.Shares {
			route.Shares = append(route.Shares, registry.Share{Service: share.Service, Weight: share.Weight})
		}
		c.Routes = append(c.Routes, route)
	}
	if len(m.Services) > 0 {
		c.Services = make(map[string]registry.Service, len(m.Services))
	}
	for _, s := range m.Services {
		c.Services[s.Name] = registry.Service{ColdStart: time.Duration(s.ColdStartMs) * time.Millisecond, ColdRate: s.ColdRate}
	}
	return c
}

// decodeUpstream converts a server. A peer of an earlier version may send limits that no server has.
func decodeUpstream(now time.Duration, m *nodev1.Upstream) registry.Upstream {
	u := registry.Upstream{
		ID: m.Id, Service: m.Service, Address: addrPort(m.Ip, m.Port), Place: m.Place, Slots: int(min(m.Slots, registry.MaxSlots)),
		Draining: m.Draining, Incarnation: m.Incarnation, Created: registry.Revision(m.Created),
		Sequence: m.Sequence,
	}
	if m.ColdMs > 0 {
		u.WarmAt = now + time.Duration(min(m.ColdMs, uint64(registry.MaxWarmUp.Milliseconds())))*time.Millisecond
	}
	return u
}

func addrPort(ip, port uint32) netip.AddrPort {
	return flow.Endpoint{IP: unpackIP(ip), Port: uint16(port)}.AddrPort()
}
