package flow

import "time"

// TrackerConfig holds the limits and time-outs of a Tracker.
type TrackerConfig struct {
	// Service is the name of the server's service, and Address is where the server receives packets.
	Service string
	Address Endpoint
	// Place is the availability zone of the VM. The entry of the server takes precedence.
	Place string
	// MaxFlows bounds the tracked flows. A flow takes about 250 bytes; packets of a flow that was evicted are
	// checked with the server again.
	MaxFlows int
	// IdleTimeout is how long an idle flow is tracked. An agent that has been running for longer knows every flow
	// of its server.
	IdleTimeout time.Duration
	// AnswerTimeout is how long a server may take to answer an opening packet.
	AnswerTimeout time.Duration
	// MaxUnanswered is how many answer time-outs in a row make the server unhealthy, so that new flows are passed
	// on.
	MaxUnanswered int
	// TrialInterval is the time between two packets that an unhealthy server is given as a trial.
	TrialInterval time.Duration
	// DenyAfter is how long a server may send nothing after it was given a packet of a search before it counts as
	// not holding the flow.
	DenyAfter time.Duration
	// SilentAfter is how long a server may send nothing at all while it is given at least SilentPackets packets,
	// before its flows count as lost. A working server acknowledges every second packet immediately.
	SilentAfter   time.Duration
	SilentPackets int
	// MinChecks is how often the agent must have checked for an answer during DenyAfter or SilentAfter, so that its
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
	// RecoveryTime is how long after its start an agent does not refuse new flows of patient clients because all servers
	// are busy, but leaves them to the client's next copy. After a restart of many processes all clients that have
	// waited come at once, and a client whose flow is refused repeats it at once and soon has no repetition left. In a
	// lasting overload the copies would only make more requests late.
	RecoveryTime time.Duration
	// MinPatience is the timeout of a route from which its clients count as patient. A client sends copies of an
	// opening packet for 1.4 s, and needs time for another attempt after that.
	MinPatience time.Duration
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
		IdleTimeout:        15 * time.Second,
		AnswerTimeout:      60 * time.Millisecond,
		MaxUnanswered:      2,
		TrialInterval:      200 * time.Millisecond,
		DenyAfter:          100 * time.Millisecond,
		SilentAfter:        500 * time.Millisecond,
		SilentPackets:      6,
		MinChecks:          3,
		RequestTimeout:     5 * time.Second,
		SlowTrialInterval:  time.Second,
		ReservationTimeout: 100 * time.Millisecond,
		RecoveryTime:       5 * time.Second,
		MinPatience:        2800 * time.Millisecond,
		MaxVersionSkew:     200 * time.Millisecond,
		RegistrationTime:   500 * time.Millisecond,
	}
}
