package flow

import "time"

// TrackerConfig holds the limits and time-outs of a Tracker.
type TrackerConfig struct {
	// Service is the name of the server's service, and Address is where the server receives packets.
	Service string
	Address Endpoint
	// Place is the availability zone of the VM. The entry of the server takes precedence.
	Place string
	// StartTime is the Unix millisecond at which the agent started, or zero if it is not known. It is compared with the
	// incarnation of the server, which comes from the same clock.
	StartTime uint64
	// MaxFlows bounds the tracked flows. A flow takes about 250 bytes; packets of a flow that was evicted are
	// checked with the server again.
	MaxFlows int
	// MaxDisclaimed bounds the flows of which it is known that the server does not hold them because it has returned a packet
	// that was given to it to find the flow. One takes about 130 bytes; a packet of a flow beyond them is given to the server
	// again.
	MaxDisclaimed int
	// IdleTimeout is how long an idle flow is tracked at least. A configuration may state a longer time, of which at most
	// MaxFlowAge counts, the age above which a flow need not be found again. A flow that is not tracked is asked for at the
	// server until the agent has been running for that time.
	IdleTimeout, MaxFlowAge time.Duration
	// AnswerTimeout is how long a server may take to answer an opening packet.
	AnswerTimeout time.Duration
	// MaxUnanswered is how many answer time-outs in a row make the server unhealthy, so that new flows are passed
	// on.
	MaxUnanswered int
	// TrialInterval is the time between two packets that an unhealthy server is given as a trial.
	TrialInterval time.Duration
	// ContinueAfter is how long a server may send nothing after it was given a packet of a search before the search goes on
	// to other agents. It must exceed the time in which a server returns a packet of a flow that it does not hold.
	ContinueAfter time.Duration
	// SilentAfter is how long a server may send nothing at all while it is given at least SilentPackets packets,
	// before new flows avoid it. Its flows are kept: a server that works on long requests may send nothing for longer.
	SilentAfter   time.Duration
	SilentPackets int
	// MinChecks is how often the agent must have checked for an answer during ContinueAfter or SilentAfter, so that its
	// own pause is not mistaken for one of the server.
	MinChecks int
	// RequestTimeout is how long an unanswered request counts as running.
	RequestTimeout time.Duration
	// SlowTrialInterval is the time between two trial flows for a server whose measured service time is too long for
	// its routes. A short interval detects sooner that the server has become fast again; each trial flow may be
	// answered late.
	SlowTrialInterval time.Duration
	// ReservationTimeout is how long a new flow counts as busy before its first request. A client sends the request one
	// round trip after the flow has opened; a client that took another server's answer never sends it.
	ReservationTimeout time.Duration
	// MinPatience is the timeout of a route from which its clients count as patient. A client gives up an attempt after
	// 1.4 s, and needs time for another one after that.
	MinPatience time.Duration
	// PatientPart is the part of a patient route's timeout for which an opening packet may wait. After a third, a whole
	// attempt of 1.4 s still fits into the shortest timeout, MinPatience.
	PatientPart float64
	// MaxWait bounds the time, from its client's first packet on, for which an opening packet waits at the agent for a
	// slot. The client gives up the attempt after 1.4 s; the rest is left for the way to the client and the tick.
	MaxWait time.Duration
	// MaxWaiting bounds the opening packets that wait at the agent. One takes up to 2 KB.
	MaxWaiting int
	// ShareWindow is the time constant of the offered work by priority. It must span many openings for a server, so that
	// the shares are steady, and be short against a burst.
	ShareWindow time.Duration
	// MinWaitingPart is the least part of its waiting budget that a route may use in a shortage. With 1, all routes may
	// use all of it. A quarter of the server's queue is two requests, enough for a slot that becomes free to find a
	// request while the next opening packet is on its way, so that no capacity is lost.
	MinWaitingPart float64
	// HoldPart is the part of its route's timeout for which the agent may hold a request on an open flow, at most MaxHold.
	// After that, the server gets it whether it has room or not. A quarter of the timeout is left for its answer. A shorter
	// time would let late requests take more room from those that can be answered in time.
	HoldPart float64
	MaxHold  time.Duration
	// MaxPayload is the payload of a full packet. More data of its request follows, so the server can't run that yet.
	MaxPayload int
	// MaxHeldPackets bounds the packets that the agent holds. One takes up to 2 KB. Requests beyond that go to the server.
	MaxHeldPackets int
	// MaxVersionSkew is how long an agent that has applied a balancer's newer configuration may continue to use an older
	// one before it has received the newer one itself. The required limit is 250 ms.
	MaxVersionSkew time.Duration
	// RegistrationTime bounds the time that a server takes to write its entry after its start. For a service with a cold
	// rate, an agent that has just started counts its server as cold until the store has confirmed its state for this
	// long, since both may have started together. A long time loses capacity when only agents restart.
	RegistrationTime time.Duration
}

// DefaultTrackerConfig returns the default configuration of the agent beside a server.
func DefaultTrackerConfig(service string, address Endpoint) TrackerConfig {
	return TrackerConfig{
		Service:            service,
		Address:            address,
		MaxFlows:           1 << 14,
		MaxDisclaimed:      1 << 12,
		IdleTimeout:        15 * time.Second,
		MaxFlowAge:         time.Minute,
		AnswerTimeout:      60 * time.Millisecond,
		MaxUnanswered:      2,
		TrialInterval:      200 * time.Millisecond,
		ContinueAfter:      100 * time.Millisecond,
		SilentAfter:        500 * time.Millisecond,
		SilentPackets:      6,
		MinChecks:          3,
		RequestTimeout:     5 * time.Second,
		SlowTrialInterval:  time.Second,
		ReservationTimeout: 100 * time.Millisecond,
		MinPatience:        2800 * time.Millisecond,
		PatientPart:        0.33,
		MaxWait:            1300 * time.Millisecond,
		MaxWaiting:         256,
		ShareWindow:        2 * time.Second,
		MinWaitingPart:     0.25,
		HoldPart:           0.75,
		MaxHold:            3 * time.Second,
		MaxPayload:         1200,
		MaxHeldPackets:     512,
		MaxVersionSkew:     200 * time.Millisecond,
		RegistrationTime:   500 * time.Millisecond,
	}
}
