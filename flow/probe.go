package flow

import "time"

// maxProbes bounds the packets that wait for the server to answer. Further packets are never denied, so the
// searches that they belong to time out without proof that the flow is lost.
const maxProbes = 256

// probe is a packet of a flow that the server may hold, which was forwarded to the server and has not been
// answered.
type probe struct {
	packet  Packet
	raw     []byte
	request Request
	sentAt  time.Duration
	// checks counts the calls of Check since the packet was forwarded.
	checks int
}

// addProbe stores a packet that was forwarded to the server, in case the server never answers it.
func (t *Tracker) addProbe(now time.Duration, p *Packet, raw []byte, request Request) {
	if len(t.probes) >= maxProbes {
		return
	}
	t.probes = append(t.probes, probe{packet: *p, raw: append([]byte(nil), raw...), request: request, sentAt: now})
}

// NextUnanswered returns the next packet that the server has left unanswered, with the decision on it: a server that
// has sent nothing at all since then does not hold the flow. The packet is nil if there is none.
func (t *Tracker) NextUnanswered(now time.Duration) (Verdict, *Packet, []byte) {
	for len(t.probes) > 0 {
		first := t.probes[0]
		if first.checks < t.config.MinChecks || now-first.sentAt < t.config.DenyAfter {
			return Verdict{}, nil, nil
		}
		t.probes = t.probes[1:]
		f, ok := t.flows.Peek(first.packet.Key)
		if !ok || f.state == open || f.state == ended || f.request.SearchID != first.request.SearchID || t.server.lastHeard >= first.sentAt {
			continue
		}
		t.flows.Remove(first.packet.Key)
		return t.deny(first.request, "server does not answer"), &first.packet, first.raw
	}
	return Verdict{}, nil, nil
}
