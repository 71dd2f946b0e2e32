package flow

import "time"

// maxProbes bounds the packets that wait for the server to answer. The searches of further packets are not continued by the
// agent; they start again at their balancer.
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

// NextUnanswered returns the next packet that the server has left unanswered, with the decision on it. The packet is nil if
// there is none. A silent server may hold the flow: it sends nothing while it works on a request of a single packet. So
// the packet goes on to the agents that have not been asked, and the denials of the search prove nothing. Only a server that
// does not run holds no flow.
func (t *Tracker) NextUnanswered(now time.Duration) (Verdict, *Packet, []byte) {
	for len(t.probes) > 0 {
		first := t.probes[0]
		if !t.server.down && (first.checks < t.config.MinChecks || now-first.sentAt < t.config.ContinueAfter) {
			return Verdict{}, nil, nil
		}
		t.probes = t.probes[1:]
		f, ok := t.flows.Peek(first.packet.Key)
		switch {
		case t.server.down && (!ok || !f.confirmed):
			t.flows.Remove(first.packet.Key)
			return t.deny(first.request, "server is not running"), &first.packet, first.raw
		case !ok || f.confirmed || f.state == ended || f.request.SearchID != first.request.SearchID || t.server.lastHeard >= first.sentAt:
			continue
		}
		// If the server returns the packet later, the other agents have been asked already.
		f.request.Remaining, f.passedOn = nil, true
		return t.doubt(first.request, "server does not answer"), &first.packet, first.raw
	}
	return Verdict{}, nil, nil
}

// oldestUnanswered returns when the server was given the first packet that may be one of a flow that it does not hold, and that
// it has left unanswered although it has sent nothing else since then; zero if there is none.
func (t *Tracker) oldestUnanswered() time.Duration {
	if len(t.probes) == 0 || t.server.lastHeard >= t.probes[0].sentAt {
		return 0
	}
	return t.probes[0].sentAt
}
