package flow

import "time"

// WorkMeter gives the model of the choice the meter that agents use.
type WorkMeter struct{ meter workMeter }

// Advance records the requests and flows since the last call.
func (w *WorkMeter) Advance(now time.Duration, busy, flows int) { w.meter.advance(now, busy, flows) }

// Expected returns the work that is expected from the given number of flows.
func (w *WorkMeter) Expected(flows int) float64 { return w.meter.expected(flows) }
