package flow

import (
	"math"
	"time"
)

// workMeter measures the work that a server has to do for the flows that it holds, in slots that they keep busy.
type workMeter struct {
	// busy, flows and opened are the means of the running or waiting requests, of the open flows and of the flows
	// opened per second.
	busy, flows, opened float64
	// sumBusy, sumFlows and sumOpened are the sums since the means were last updated.
	sumBusy, sumFlows, sumOpened float64
	since, updated               time.Duration
	lastFlows                    int
}

const (
	// workDecay is the time constant of the means.
	workDecay = 2 * time.Second
	// workInterval is the time between two updates of the means, so that a packet does not cost one.
	workInterval = 20 * time.Millisecond
	// minMeanFlows is the mean number of flows below which a server counts as idle. After some 20 min without flows the mean
	// is a denormal number, whose reciprocal is infinite.
	minMeanFlows = 1e-6
)

// advance records that the server has had the given number of requests and flows since the last call.
func (w *workMeter) advance(now time.Duration, busy, flows int) {
	passed := (now - w.since).Seconds()
	w.since = now
	w.sumBusy += float64(busy) * passed
	w.sumFlows += float64(flows) * passed
	w.sumOpened += float64(max(0, flows-w.lastFlows))
	w.lastFlows = flows
	elapsed := now - w.updated
	if elapsed < workInterval {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(workDecay))
	w.busy += weight * (w.sumBusy/elapsed.Seconds() - w.busy)
	w.flows += weight * (w.sumFlows/elapsed.Seconds() - w.flows)
	w.opened += weight * (w.sumOpened/elapsed.Seconds() - w.opened)
	w.sumBusy, w.sumFlows, w.sumOpened, w.updated = 0, 0, 0, now
}

// expected returns the work that is expected from the given number of flows. The number of short flows changes too fast
// to be of use, so it counts only as far as flows last for longer than workDecay.
func (w *workMeter) expected(flows int) float64 {
	if w.flows < minMeanFlows {
		return w.busy
	}
	lifetime := w.flows / max(w.opened, 1e-3)
	weight := lifetime / (lifetime + workDecay.Seconds())
	return w.busy * max(0, 1+weight*(float64(flows)/w.flows-1))
}
