package flow

import "time"

// A packet may wait in the socket of a process that is suspended, frozen or overloaded until its client has given up. A
// server that got it then would work for nobody, and run an order that its caller may have placed again. See
// docs/design/stale-packets.md.

// attemptTimeout is the time after its first opening packet after which a client gives up the attempt to open a flow.
const attemptTimeout = 1400 * time.Millisecond

// attemptAge returns the longest time for which a client may have been trying to open a flow when an opening packet of it
// is handled.
func attemptAge(p *Packet) time.Duration {
	return copyAges[min(int(p.Copy), len(copyAges)-1)] + p.Age
}

// attemptOver reports whether the client that sent an opening packet may have given up the attempt. The packet counts as
// fresh unless it is known to have waited.
func attemptOver(p *Packet) bool {
	return p.Age > 0 && attemptAge(p) >= attemptTimeout
}

// attemptOverReason is the reason of the reset with which an opening packet is refused that has waited for too long. A
// client that is still trying opens another flow at once.
const attemptOverReason = "opening packet waited in a process until its client may have given up"

// requestOver reports whether the client that sent new data on a flow may have given up its request. Only packets that are
// known to have waited are examined; if a client of such a request still waits, it sends the packet again.
func (t *Tracker) requestOver(now time.Duration, p *Packet, f *trackedFlow) bool {
	route := t.routes[p.Key.Service]
	if p.Age == 0 || p.Length == 0 || route == nil || route.Timeout == 0 {
		return false
	}
	age := p.Age
	if f != nil && !f.hasRequested && f.began > 0 {
		// A client that opens a flow for a request has waited since then.
		age = max(age, now-f.began)
	}
	return age >= route.Timeout
}

// dropStale drops a packet with data whose client may have given up. It is always safe to drop a packet.
func (t *Tracker) dropStale() Verdict {
	t.stale++
	return Verdict{Decision: Decision{Reason: "packet waited in a process until its client may have given up the request"}}
}

// StalePackets returns how many packets the agent has refused or dropped because their clients may have given up.
func (t *Tracker) StalePackets() uint64 {
	return t.stale
}

// StalePackets returns how many opening packets the balancer has refused because their clients may have given up.
func (d *Director) StalePackets() uint64 {
	return d.stale
}
