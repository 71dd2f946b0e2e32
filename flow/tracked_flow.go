package flow

import "time"

// state is the state of a flow at the server.
type state uint8

const (
	// openingSent means that the server was given an opening packet.
	openingSent state = iota
	// searchDelivered means that the server was given a packet of a flow that it may not hold.
	searchDelivered
	// open means that the server has answered on the flow.
	open
	// ended means that the server or the client has ended the flow.
	ended
)

// trackedFlow is the state that an agent keeps about a flow.
type trackedFlow struct {
	state state
	// request is that of the latest packet, in case the server returns it.
	request Request
	// clientAck is the latest number that the client acknowledged; a reset must carry a number near it.
	clientAck uint32
	// work is the work that the server has to do for the flow, workSince is when that began, and processingSince is
	// when the server began to process the request.
	work                       work
	workSince, processingSince time.Duration
	// late is set once the running request has been counted as failed because it has been running for too long.
	late bool
	// hasRequested is set once the client has sent a request.
	hasRequested bool
	// receivedTo is the sequence number up to which the server was given the client's data, if receivedKnown is set.
	receivedTo    uint32
	receivedKnown bool
	// confirmed is set once the server has sent more than its answer to the opening packet. The client has then
	// opened the flow here and not at another server that received a copy of the opening packet.
	confirmed bool
	// passedOn is set once the latest packet was passed on to other agents because the server had not answered it.
	passedOn bool
	// counted is set if the opening packet was counted against the cold rate for the first request as well.
	counted bool
	// arrived is when the opening packet arrived, and waited is set if it has waited for a slot. began is when its client
	// sent the first copy of it, at the latest.
	arrived, began time.Duration
	waited         bool
	lastSeen       time.Duration
}

// hasReceived reports whether the server was given all data of a packet before. The packet is no new request then, even
// if the server has answered since.
func (f *trackedFlow) hasReceived(p *Packet) bool {
	return f.receivedKnown && p.Length > 0 && !before(f.receivedTo, p.Seq+uint32(p.Length))
}

// receive records that the server was given the client's data up to a sequence number.
func (f *trackedFlow) receive(to uint32) {
	if !f.receivedKnown || before(f.receivedTo, to) {
		f.receivedTo, f.receivedKnown = to, true
	}
}
