package flowtrace

import (
	"fmt"
	"time"
)

// Result holds the measurements of one replay.
type Result struct {
	Policy string
	// Opened counts flows that were established, and FailedOpens those that were not.
	Opened      int
	FailedOpens int
	// BrokenByOwner counts flows that broke because their upstream was killed.
	BrokenByOwner int
	// Broken counts flows of a live upstream that were reset or sent to another upstream.
	Broken int
	// TimedOut counts flows of a live upstream that accepted none of their packets within the idle timeout.
	TimedOut int
	// OtherService counts packets accepted by an upstream of another service.
	OtherService int
	// SplitHandshakes counts handshakes whose two packets were accepted by different upstreams.
	SplitHandshakes int
	// Packets counts the packets sent by callers, and Passes how often an agent passed one on to another agent.
	Packets int
	Passes  int
	// Imbalance is the largest ratio of the maximum to the mean number of flows per unit of weight of an upstream,
	// sampled every second.
	Imbalance float64
	// ImbalanceFloor is the largest ratio that flows opened before the last change of upstreams impose; no placement
	// of new flows can reduce it.
	ImbalanceFloor float64
	// ImbalanceExcess is the largest ratio of Imbalance to ImbalanceFloor in one sample.
	ImbalanceExcess float64
	// LastAcceptAfterDrain is the longest time after its drain at which a leaving upstream accepted a flow.
	LastAcceptAfterDrain time.Duration
}

// BrokenPer10000 returns the number of flows of live upstreams that broke or timed out, per 10,000 opened flows.
func (r *Result) BrokenPer10000() float64 {
	return ratio(r.Broken+r.TimedOut, r.Opened) * 10_000
}

// PassesPerPacket returns the mean number of times that agents passed a packet on.
func (r *Result) PassesPerPacket() float64 {
	return ratio(r.Passes, r.Packets)
}

func ratio(count, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(count) / float64(of)
}

// Check returns a message for each expectation that the result does not meet.
func (e *Expectation) Check(r *Result) []string {
	var missed []string
	miss := func(format string, args ...any) { missed = append(missed, fmt.Sprintf(format, args...)) }
	if r.OtherService > 0 {
		miss("%d packets accepted by an upstream of another service, expected none", r.OtherService)
	}
	if r.Broken > e.Broken {
		miss("%d flows of live upstreams broken, expected at most %d", r.Broken, e.Broken)
	}
	if r.TimedOut > e.TimedOut {
		miss("%d flows of live upstreams timed out, expected at most %d", r.TimedOut, e.TimedOut)
	}
	if r.BrokenByOwner > e.BrokenByOwner {
		miss("%d flows broken because their upstream was killed, expected at most %d", r.BrokenByOwner, e.BrokenByOwner)
	}
	if r.FailedOpens > e.FailedOpens {
		miss("%d flows failed to open, expected at most %d", r.FailedOpens, e.FailedOpens)
	}
	if e.Imbalance > 0 && r.ImbalanceExcess > e.Imbalance {
		miss("imbalance is %.3f times that imposed by flows established earlier, expected at most %.3f", r.ImbalanceExcess, e.Imbalance)
	}
	if r.LastAcceptAfterDrain > e.LastAcceptAfterDrain {
		miss("a leaving upstream accepted a flow %v after its drain, expected at most %v", r.LastAcceptAfterDrain, e.LastAcceptAfterDrain)
	}
	return missed
}
