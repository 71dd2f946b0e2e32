// Package nodecodec translates between the messages of the decisions and what processes send each other.
package nodecodec

import (
	"encoding/binary"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/frame"
	"github.com/bramleyrack/bramleyrack/registry"
)

// MaxPacket is the largest packet of a client or server, in bytes.
const MaxPacket = 2048

// MaxDatagram bounds a whole datagram between two processes, in bytes.
const MaxDatagram = MaxPacket + frame.MaxPrefix

// maxWait is the longest expected wait that processes tell each other; any longer one is too long.
const maxWait = time.Minute

// Decode reads the header of a datagram into h and returns the packet that follows, which aliases b. It
// reuses the memory of h.
func Decode(b []byte, h *nodev1.Header) (packet []byte, err error) {
	remaining := h.Remaining
	h.Reset()
	h.Remaining = remaining[:0]
	return frame.Split(b, h)
}

// Encode appends a datagram to dst.
func Encode(dst []byte, h *nodev1.Header, packet []byte) []byte {
	return frame.Append(dst, h, packet)
}

// Clear empties h and keeps its memory.
func Clear(h *nodev1.Header) {
	remaining := h.Remaining
	h.Reset()
	h.Remaining = remaining[:0]
}

func pack(ip flow.IP) uint32 {
	return binary.BigEndian.Uint32(ip[:])
}

func unpack(n uint32) flow.IP {
	var ip flow.IP
	binary.BigEndian.PutUint32(ip[:], n)
	return ip
}

var purposes = map[flow.Purpose]nodev1.Purpose{
	flow.PurposeOpen:    nodev1.Purpose_PURPOSE_OPEN,
	flow.PurposeDeliver: nodev1.Purpose_PURPOSE_DELIVER,
	flow.PurposeSearch:  nodev1.Purpose_PURPOSE_SEARCH,
}

// PutRequest makes h carry a request.
func PutRequest(h *nodev1.Header, r *flow.Request) {
	h.Kind = nodev1.Kind_KIND_CARRY
	h.Purpose = purposes[r.Purpose]
	h.Service = r.Service
	h.ConfigVersion = r.Version
	h.Search = r.SearchID
	h.Best, h.BestWaitUs, h.BestSuspect = pack(r.Best.Agent), uint32(min(r.Best.Wait, maxWait).Microseconds()), r.Best.Suspect
	h.Final = r.Final
	h.Changed = r.Changed
	h.Balancer = pack(r.Balancer)
	h.Remaining = h.Remaining[:0]
	for _, ip := range r.Remaining {
		h.Remaining = append(h.Remaining, pack(ip))
	}
}

// Request returns the request that h carries, with its list in the memory of list.
func Request(h *nodev1.Header, list []flow.IP) flow.Request {
	r := flow.Request{
		Service:   h.Service,
		Version:   h.ConfigVersion,
		SearchID:  h.Search,
		Best:      flow.Offer{Agent: unpack(h.Best), Wait: time.Duration(h.BestWaitUs) * time.Microsecond, Suspect: h.BestSuspect},
		Final:     h.Final,
		Changed:   h.Changed,
		Balancer:  unpack(h.Balancer),
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
		r.Remaining = append(r.Remaining, unpack(n))
	}
	return r
}

// PutKey makes h name a flow.
func PutKey(h *nodev1.Header, key flow.Key) {
	h.ClientIp, h.ClientPort = pack(key.Client.IP), uint32(key.Client.Port)
	h.ServiceIp, h.ServicePort = pack(key.Service.IP), uint32(key.Service.Port)
}

// Key returns the flow that h names.
func Key(h *nodev1.Header) flow.Key {
	return flow.Key{
		Client:  flow.Endpoint{IP: unpack(h.ClientIp), Port: uint16(h.ClientPort)},
		Service: flow.Endpoint{IP: unpack(h.ServiceIp), Port: uint16(h.ServicePort)},
	}
}

// PutStatus makes h carry the word of an agent.
func PutStatus(h *nodev1.Header, w flow.AgentStatus) {
	h.Process, h.Accepting = w.Process, w.Accepting
	h.Busy, h.Slots, h.Flows = w.Busy, w.Slots, w.Flows
	h.ServiceTimeUs, h.Failing = uint32(w.ServiceTime.Microseconds()), float32(w.FailureRate)
}

// Status returns the word of the agent at an address, received now.
func Status(h *nodev1.Header, now time.Duration, from flow.IP) flow.AgentStatus {
	return flow.AgentStatus{
		From: from, Process: h.Process, Accepting: h.Accepting,
		Busy: h.Busy, Slots: h.Slots, Flows: h.Flows, View: Freshness(h, now),
		ServiceTime: time.Duration(h.ServiceTimeUs) * time.Microsecond, FailureRate: float64(h.Failing),
	}
}

// PutPeerStats makes h carry what the servers of a service have in common.
func PutPeerStats(h *nodev1.Header, p flow.PeerStats) {
	h.ServiceTimeUs, h.Failing = uint32(p.ServiceTime.Microseconds()), float32(p.FailureRate)
}

// PeerStats returns what h says that the servers of a service have in common.
func PeerStats(h *nodev1.Header) flow.PeerStats {
	return flow.PeerStats{ServiceTime: time.Duration(h.ServiceTimeUs) * time.Microsecond, FailureRate: float64(h.Failing)}
}

// PutFreshness makes h carry the freshness of a view. Times travel as ages.
func PutFreshness(h *nodev1.Header, now time.Duration, f registry.Freshness) {
	h.Revision, h.Changed, h.Reader = f.Revision, f.Changed, f.Reader
	h.AgeMs = uint32(max(0, now-f.Confirmed).Milliseconds())
	h.ContinuousMs, h.Interrupted = uint64(max(0, now-f.ContinuousSince).Milliseconds()), f.Interrupted
}

// Freshness returns the freshness that h carries.
func Freshness(h *nodev1.Header, now time.Duration) registry.Freshness {
	return registry.Freshness{
		Revision: h.Revision, Changed: h.Changed, Reader: h.Reader,
		Confirmed:       now - time.Duration(h.AgeMs)*time.Millisecond,
		ContinuousSince: now - time.Duration(h.ContinuousMs)*time.Millisecond, Interrupted: h.Interrupted,
	}
}
