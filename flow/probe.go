package flow

import "time"

// maxProbes bounds the packets that wait for the server to answer. The searches of further packets end without
// proof that the flow is lost.
const maxProbes = 256

// probe is a packet of a flow that the server may hold, which was forwarded to the server and has not been
// answered.
type probe struct {
	packet  Packet
	raw     []byte
	request Request
	at      time.Duration
	// checks counts the calls of Check since the packet was forwarded.
	checks int
}

// probe stores a packet of a search, in case the server never answers it.
func (k *Tracker) probe(now time.Duration, p *Packet, raw []byte, request Request) {
	if len(k.probes) >= maxProbes {
		return
	}
	k.probes = append(k.probes, probe{packet: *p, raw: append([]byte(nil), raw...), request: request, at: now})
}

// NextUnanswered returns the next packet that the server has left unanswered, with the decision on it: a server that
// has sent nothing at all since then does not hold the flow. The packet is nil if there is none.
func (k *Tracker) NextUnanswered(now time.Duration) (Verdict, *Packet, []byte) {
	for len(k.probes) > 0 {
		first := k.probes[0]
		if first.checks < k.config.MinChecks || now-first.at < k.config.DenyAfter {
			return Verdict{}, nil, nil
		}
		k.probes = k.probes[1:]
		f, ok := k.flows.Peek(first.packet.Key)
		if !ok || f.state == open || f.state == ended || f.request.SearchID != first.request.SearchID || k.server.lastHeard >= first.at {
			continue
		}
		k.flows.Remove(first.packet.Key)
		return k.deny(first.request, "server does not answer"), &first.packet, first.raw
	}
	return Verdict{}, nil, nil
}
