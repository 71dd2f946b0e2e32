package flow

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The load figures that a balancer has are up to some seconds old, and other balancers choose at the same time. The
// choice therefore compares the work that is expected at the first ranks of a flow instead of momentary figures, and
// depends on chance the more the older the figures are. See docs/design/even-load.md.

const (
	// firstRanks is how many agents at the head of a class are ordered by load. With two, the busiest server had up to
	// 1.15 times the mean load of short flows and 1.67 times that of long ones in trials of the model, instead of 1.11 and
	// 1.37 with four. With more, searches visit more agents before the owner.
	firstRanks = 4
	// relaxation is the time constant with which a reported load approaches that of the service, and momentaryDecay the
	// one with which the number of open flows approaches its mean if flows are short.
	relaxation     = 4 * time.Second
	momentaryDecay = 100 * time.Millisecond
	// spreadNew is the scale of the random part of a load relative to the mean load if the statuses are new, and
	// spreadPerSecond its growth per second of their age.
	spreadNew       = 0.04
	spreadPerSecond = 0.1
	// maxAge is the age beyond which a status does not make the choice more random.
	maxAge = 10 * time.Second
	// totalsTTL is how long the totals of a service are used.
	totalsTTL = 200 * time.Millisecond
)

// totals sums up the latest statuses of the servers of a service.
type totals struct {
	// load is the work per capacity, workPerFlow the work that is expected for an open flow, and workPerSent the work
	// that is counted for a flow that was sent to a server after its status.
	load, workPerFlow, workPerSent float64
	updated                        time.Duration
}

// totals returns the totals of a service.
func (d *Director) totals(now time.Duration, s *service) *totals {
	t := &s.totals
	if t.updated != 0 && now-t.updated < totalsTTL {
		return t
	}
	var measured, measuredFlows, flows, sent, capacity float64
	for i := range s.candidates {
		a := d.agents[ipFromNumber(s.candidates[i].Number)]
		if a.status.process == 0 {
			continue
		}
		if a.status.work > 0 {
			measured += a.status.work
			measuredFlows += float64(a.status.flows)
		}
		flows += float64(a.status.flows)
		sent += float64(a.sentFlows)
		capacity += a.effectiveCapacity(now)
	}
	// Without any measured work, the loads are numbers of flows.
	*t = totals{workPerFlow: 1, updated: now}
	if measuredFlows > 0 {
		t.workPerFlow = measured / measuredFlows
	}
	work := measured + t.workPerFlow*(flows-measuredFlows)
	// Short flows have ended by the time of the next status. All flows sent since then can't cause more work than there
	// is.
	t.workPerSent = t.workPerFlow
	if sent > flows {
		t.workPerSent = work / sent
	}
	if capacity > 0 {
		t.load = work / capacity
	}
	return t
}

// effectiveCapacity returns how many requests the server can run at once, in requests at the median speed of its
// service.
func (a *agent) effectiveCapacity(now time.Duration) float64 {
	if a.status.speed > 0 {
		return a.capacity(now) * a.status.speed
	}
	return a.capacity(now)
}

// expectedLoad returns the work per capacity that is expected at a server if it is given one more flow. The flows that
// other balancers have sent since the status, and those that have ended, move the load towards that of the service.
func (a *agent) expectedLoad(now time.Duration, t *totals) float64 {
	capacity := a.effectiveCapacity(now)
	next := t.workPerSent / capacity
	if a.status.process == 0 {
		return t.load + next
	}
	age := now - a.lastHeard
	fromFlows := t.workPerFlow * float64(a.status.flows)
	work := a.status.work
	if work == 0 {
		work = fromFlows
	}
	// Flows with one request each are busy all the time, so a new status shows how many are there. Flows with pauses
	// show less about the work than its mean does. The factor allows for the variation of the
	// number of flows at the times of the statuses.
	work += min(1, 1.25*t.workPerFlow) * decay(age, momentaryDecay) * (fromFlows - work)
	work += t.workPerSent * float64(a.sentFlows)
	return t.load + decay(age, relaxation)*(work/capacity-t.load) + next
}

// decay returns the share of a difference that is left after some time.
func decay(passed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(passed) / float64(timeConstant))
}

// orderByLoad sorts the first agents of a list by their expected load plus a random amount that grows with the age of
// the statuses. The list must be in the rank order of the flow with the given hash and hold agents of one class.
func (d *Director) orderByLoad(now time.Duration, s *service, hash uint64, list []IP) {
	list = list[:min(len(list), firstRanks)]
	if len(list) < 2 {
		return
	}
	var age time.Duration
	for _, ip := range list {
		age += min(now-d.agents[ip].lastHeard, maxAge)
	}
	age /= time.Duration(len(list))
	t := d.totals(now, s)
	spread := t.load * (spreadNew + spreadPerSecond*age.Seconds())
	var loads [firstRanks]float64
	for i, ip := range list {
		a := d.agents[ip]
		load := a.expectedLoad(now, t) - spread*(math.Log(a.effectiveCapacity(now))+gumbel(hash, ip))
		j := i
		for ; j > 0 && loads[j-1] > load; j-- {
			loads[j], list[j] = loads[j-1], list[j-1]
		}
		loads[j], list[j] = load, ip
	}
}

// gumbel returns a number for a flow and an agent that varies over flows like a random one with the standard Gumbel
// distribution. Without differences in load, the probability that an agent becomes the first is then proportional to
// its capacity.
func gumbel(hash uint64, ip IP) float64 {
	const mantissa = 1 << 53
	var b [12]byte
	binary.BigEndian.PutUint64(b[:], hash)
	copy(b[8:], ip[:])
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / mantissa
	return -math.Log(-math.Log(u))
}
