package flow

import "time"

// maxProbes bounds the packets that wait for a word of the server; the searches of further ones end without a proof.
const maxProbes = 256

// probe is a packet of a flow that the server may hold, which it was given and has not answered.
type probe struct {
	packet  Packet
	raw     []byte
	request Request
	at      time.Duration
	// looks counts how often the agent has looked for an answer.
	looks int
}

// probe remembers a packet that is searched for, for the case that the server says nothing.
func (k *Tracker) probe(now time.Duration, p *Packet, raw []byte, request Request) {
	if len(k.probes) >= maxProbes {
		return
	}
	k.probes = append(k.probes, probe{packet: *p, raw: append([]byte(nil), raw...), request: request, at: now})
}

// NextUnanswered returns the next packet that was searched for here and that the server has not answered, with the
// decision on it: a server that says nothing at all holds no flow. The packet is nil when there is none.
func (k *Tracker) NextUnanswered(now time.Duration) (Verdict, *Packet, []byte) {
	for len(k.probes) > 0 {
		first := k.probes[0]
		if first.looks < k.config.MinChecks || now-first.at < k.config.DenyAfter {
			return Verdict{}, nil, nil
		}
		k.probes = k.probes[1:]
		h, ok := k.flows.Peek(first.packet.Key)
		if !ok || h.state == open || h.state == ended || h.request.Search != first.request.Search || k.server.heard >= first.at {
			continue
		}
		k.flows.Remove(first.packet.Key)
		return k.deny(first.request, "server does not answer"), &first.packet, first.raw
	}
	return Verdict{}, nil, nil
}
