// Package nodecodec encodes the datagrams that the processes exchange, and converts between the types of packages flow
// and registry and their protobuf messages.
package nodecodec

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/frame"
	"github.com/bramleyrack/bramleyrack/registry"
)

// MaxPacket is the largest packet of a client or server that is forwarded, in bytes.
const MaxPacket = 2048

// MaxDatagram is the largest datagram between two processes, in bytes.
const MaxDatagram = MaxPacket + frame.MaxPrefix

// maxWait is the longest expected wait that an offer can state. A longer one is reduced to it, since both are too long
// for any route.
const maxWait = time.Minute

// Decode decodes the header of a datagram into h and returns the packet that follows it, which aliases b. It reuses the
// memory of h.
func Decode(b []byte, h *nodev1.Header) (packet []byte, err error) {
	Clear(h)
	return frame.Split(b, h)
}

// Encode appends a datagram with the given header and packet to dst.
func Encode(dst []byte, h *nodev1.Header, packet []byte) []byte {
	return frame.Append(dst, h, packet)
}

// Clear resets h but keeps its memory.
func Clear(h *nodev1.Header) {
	remaining, keys, times := h.Remaining, h.RouteKeys, h.RouteTimesUs
	h.Reset()
	h.Remaining, h.RouteKeys, h.RouteTimesUs = remaining[:0], keys[:0], times[:0]
}

func packIP(ip flow.IP) uint32 {
	return binary.BigEndian.Uint32(ip[:])
}

func unpackIP(n uint32) flow.IP {
	var ip flow.IP
	binary.BigEndian.PutUint32(ip[:], n)
	return ip
}

var protoPurposes = map[flow.Purpose]nodev1.Purpose{
	flow.PurposeOpen:    nodev1.Purpose_PURPOSE_OPEN,
	flow.PurposeDeliver: nodev1.Purpose_PURPOSE_DELIVER,
	flow.PurposeSearch:  nodev1.Purpose_PURPOSE_SEARCH,
}

// PutRequest stores a request in h and sets its kind.
func PutRequest(h *nodev1.Header, r *flow.Request) {
	h.Kind = nodev1.Kind_KIND_CARRY
	h.Purpose = protoPurposes[r.Purpose]
	h.Service = r.Service
	h.ConfigVersion = r.Version
	h.Search = r.SearchID
	h.Best, h.BestWaitUs, h.BestSuspect = packIP(r.Best.Agent), uint32(min(r.Best.Wait, maxWait).Microseconds()), r.Best.Suspect
	h.Final = r.Final
	h.Changed = uint64(r.Changed)
	h.Wide = r.Wide
	h.Balancer = packIP(r.Balancer)
	h.Remaining = h.Remaining[:0]
	for _, ip := range r.Remaining {
		h.Remaining = append(h.Remaining, packIP(ip))
	}
}

// Request returns the request in h. Its list of remaining agents reuses the memory of list.
func Request(h *nodev1.Header, list []flow.IP) flow.Request {
	r := flow.Request{
		Service:   h.Service,
		Version:   h.ConfigVersion,
		SearchID:  h.Search,
		Best:      flow.Offer{Agent: unpackIP(h.Best), Wait: time.Duration(h.BestWaitUs) * time.Microsecond, Suspect: h.BestSuspect},
		Final:     h.Final,
		Changed:   registry.Revision(h.Changed),
		Wide:      h.Wide,
		Balancer:  unpackIP(h.Balancer),
		Remaining: list[:0],
	}
	switch h.Purpose {
	case nodev1.Purpose_PURPOSE_OPEN:
		r.Purpose = flow.PurposeOpen
	case nodev1.Purpose_PURPOSE_DELIVER:
		r.Purpose = flow.PurposeDeliver
	case nodev1.Purpose_PURPOSE_SEARCH:
		r.Purpose = flow.PurposeSearch
	}
	for _, n := range h.Remaining {
		r.Remaining = append(r.Remaining, unpackIP(n))
	}
	return r
}

// PutAge stores the age of a forwarded packet in h.
func PutAge(h *nodev1.Header, age time.Duration) {
	h.WaitedMs = uint32(min(age.Milliseconds(), math.MaxUint32))
}

// Age returns the age of the forwarded packet that follows h, as of when it was sent.
func Age(h *nodev1.Header) time.Duration {
	return time.Duration(h.WaitedMs) * time.Millisecond
}

// PutKey stores the key of a flow in h.
func PutKey(h *nodev1.Header, key flow.Key) {
	h.ClientIp, h.ClientPort = packIP(key.Client.IP), uint32(key.Client.Port)
	h.ServiceIp, h.ServicePort = packIP(key.Service.IP), uint32(key.Service.Port)
}

// Key returns the key of the flow in h.
func Key(h *nodev1.Header) flow.Key {
	return flow.Key{
		Client:  flow.Endpoint{IP: unpackIP(h.ClientIp), Port: uint16(h.ClientPort)},
		Service: flow.Endpoint{IP: unpackIP(h.ServiceIp), Port: uint16(h.ServicePort)},
	}
}

// PutStatus stores the status of an agent in h, except for its address and the freshness of its view.
func PutStatus(h *nodev1.Header, s flow.AgentStatus) {
	h.Process, h.Accepting = s.Process, s.Accepting
	h.Busy, h.Slots, h.Flows = s.Busy, s.Slots, s.Flows
	h.ServiceTimeUs, h.Failing = uint32(s.ServiceTime.Microseconds()), float32(s.FailureRate)
	h.ColdRate = float32(s.ColdRate)
	h.Work = float32(s.Work)
	h.Speed = float32(s.Speed)
	h.Service, h.ServerPort = s.Service, uint32(s.ServerPort)
	putRouteTimes(h, s.RouteTimes)
}

// putRouteTimes adds route times to h.
func putRouteTimes(h *nodev1.Header, times flow.RouteTimes) {
	for _, r := range times {
		if r.Key != 0 {
			h.RouteKeys = append(h.RouteKeys, r.Key)
			h.RouteTimesUs = append(h.RouteTimesUs, uint32(min(r.Time.Microseconds(), math.MaxUint32)))
		}
	}
}

// routeTimes returns the first route times in h.
func routeTimes(h *nodev1.Header) (times flow.RouteTimes) {
	n := 0
	for i, key := range h.RouteKeys[:min(len(h.RouteKeys), len(h.RouteTimesUs))] {
		if key == 0 || n == len(times) {
			continue
		}
		times[n] = flow.RouteTime{Key: key, Time: time.Duration(h.RouteTimesUs[i]) * time.Microsecond}
		n++
	}
	return times
}

// Status returns the status in h, received now from the agent at the given address.
func Status(h *nodev1.Header, now time.Duration, from flow.IP) flow.AgentStatus {
	return flow.AgentStatus{
		From: from, Process: h.Process, Accepting: h.Accepting,
		Busy: h.Busy, Slots: h.Slots, Flows: h.Flows, View: Freshness(h, now),
		ServiceTime: time.Duration(h.ServiceTimeUs) * time.Microsecond, FailureRate: float64(h.Failing),
		ColdRate: float64(h.ColdRate),
		Work:     float64(h.Work), Speed: float64(h.Speed), RouteTimes: routeTimes(h),
		Service: h.Service, ServerPort: uint16(h.ServerPort),
	}
}

// PutPeerStats stores the medians over the servers of a service in h, in the fields that also hold an agent's status.
func PutPeerStats(h *nodev1.Header, p flow.PeerStats) {
	h.ServiceTimeUs, h.Failing = uint32(p.ServiceTime.Microseconds()), float32(p.FailureRate)
	h.RouteKeys, h.RouteTimesUs = h.RouteKeys[:0], h.RouteTimesUs[:0]
	putRouteTimes(h, p.RouteTimes)
}

// PeerStats returns the medians over the servers of a service in h.
func PeerStats(h *nodev1.Header) flow.PeerStats {
	return flow.PeerStats{
		ServiceTime: time.Duration(h.ServiceTimeUs) * time.Microsecond, FailureRate: float64(h.Failing),
		RouteTimes: routeTimes(h),
	}
}

// PutFreshness stores the freshness of a view in h. Times are sent as ages, since the clocks of two processes start at
// different times.
func PutFreshness(h *nodev1.Header, now time.Duration, f registry.Freshness) {
	h.Revision, h.Changed, h.Reader = uint64(f.Revision), uint64(f.Changed), f.Reader
	h.ConfigVersion = f.ConfigurationVersion
	h.AgeMs = uint32(min(max(0, now-f.Confirmed).Milliseconds(), math.MaxUint32))
	h.ContinuousMs, h.Interrupted = uint64(max(0, now-f.ContinuousSince).Milliseconds()), f.Interrupted
	h.RoutesKnownMs = uint64(max(0, now-f.RoutesKnownSince).Milliseconds())
}

// Freshness returns the freshness of a view in h.
func Freshness(h *nodev1.Header, now time.Duration) registry.Freshness {
	return registry.Freshness{
		Revision: registry.Revision(h.Revision), Changed: registry.Revision(h.Changed), Reader: h.Reader,
		ConfigurationVersion: h.ConfigVersion,
		Confirmed:            now - time.Duration(h.AgeMs)*time.Millisecond,
		ContinuousSince:      now - time.Duration(h.ContinuousMs)*time.Millisecond, Interrupted: h.Interrupted,
		RoutesKnownSince: now - time.Duration(h.RoutesKnownMs)*time.Millisecond,
	}
}
