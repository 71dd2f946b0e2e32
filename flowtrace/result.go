package flowtrace

import (
	"fmt"
	"time"
)

// Result is what a replay of a trace measured.
type Result struct {
	Policy string
	// Opened counts flows that were established, and FailedOpens those that were not.
	Opened      int
	FailedOpens int
	// BrokenByOwner counts flows that broke because their upstream was killed.
	BrokenByOwner int
	// Broken counts flows of a living upstream that were reset, or sent to another one.
	Broken int
	// TimedOut counts flows of a living upstream that reached it with no packet for too long.
	TimedOut int
	// OtherService counts packets that an upstream of another service accepted.
	OtherService int
	// SplitHandshakes counts handshakes whose packets were accepted by two upstreams.
	SplitHandshakes int
	// Packets and Passes count the packets of callers and their passes between agents.
	Packets int
	Passes  int
	// Imbalance is the largest ratio of maximum to mean of flows, sampled every second.
	Imbalance float64
	// ImbalanceFloor is the largest ratio that flows opened before the last change of upstreams force.
	ImbalanceFloor float64
	// ImbalanceExcess is the largest ratio of Imbalance to Forced in one sample.
	ImbalanceExcess float64
	// LastAcceptAfterDrain is the latest time at which a leaving upstream accepted a flow.
	LastAcceptAfterDrain time.Duration
}

// BrokenPer10000 is the number of flows broken otherwise than by the loss of their upstream, for
// each 10,000 opened.
func (r *Result) BrokenPer10000() float64 {
	return perFlow(r.Broken+r.TimedOut, r.Opened) * 10_000
}

// PassesPerPacket is the mean number of passes.
func (r *Result) PassesPerPacket() float64 {
	return perFlow(r.Passes, r.Packets)
}

func perFlow(count, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(count) / float64(of)
}

// Check returns each outcome of the trace that the result misses.
func (e *Expectation) Check(r *Result) []string {
	var missed []string
	miss := func(format string, args ...any) { missed = append(missed, fmt.Sprintf(format, args...)) }
	if r.OtherService > 0 {
		miss("%d packets accepted by another service", r.OtherService)
	}
	if r.Broken > e.Broken {
		miss("%d flows broken, expected at most %d", r.Broken, e.Broken)
	}
	if r.TimedOut > e.TimedOut {
		miss("%d flows timed out, expected at most %d", r.TimedOut, e.TimedOut)
	}
	if r.BrokenByOwner > e.BrokenByOwner {
		miss("%d flows broken with their owner, expected at most %d", r.BrokenByOwner, e.BrokenByOwner)
	}
	if r.FailedOpens > e.FailedOpens {
		miss("%d flows not opened, expected at most %d", r.FailedOpens, e.FailedOpens)
	}
	if e.Imbalance > 0 && r.ImbalanceExcess > e.Imbalance {
		miss("imbalance %.3f over what established flows force, expected at most %.3f", r.ImbalanceExcess, e.Imbalance)
	}
	if r.LastAcceptAfterDrain > e.LastAcceptAfterDrain {
		miss("a leaving upstream accepted a flow after %v, expected at most %v", r.LastAcceptAfterDrain, e.LastAcceptAfterDrain)
	}
	return missed
}
