package flow

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
)

// AgentExplanation is what an agent would do now with the first copy of an opening packet from a balancer that uses the
// same configuration, and why.
type AgentExplanation struct {
	Flow string `json:"flow"`
	// Server is the address of the server beside the agent.
	Server  string           `json:"server"`
	Service string           `json:"service"`
	Place   string           `json:"place"`
	View    *nodestatus.View `json:"view"`
	// Route is set if the configuration directs new flows to the address to the server's service.
	Route bool `json:"route"`
	// Outcome is OutcomeTake, OutcomePass, OutcomeRefuse or OutcomeDrop if there are further agents to try. LastOutcome
	// is one of these or OutcomeWait, if there are none.
	Outcome     string `json:"outcome"`
	Reason      string `json:"reason,omitempty"`
	LastOutcome string `json:"last_outcome"`
	LastReason  string `json:"last_reason,omitempty"`
	// Holds is set if the server is known to hold the flow.
	Holds bool `json:"holds"`
	// State is that of the server. ExpectedMs is the expected time until a new request of the route is answered, and
	// BudgetMs the time within which it must be for the flow to be taken.
	State      nodestatus.Server `json:"state"`
	ExpectedMs float64           `json:"expected_ms"`
	BudgetMs   float64           `json:"budget_ms"`
	// Request is what a new request on an open flow to the address would meet.
	Request ExplainedRequest `json:"request"`
	// Evacuation is that of the server's place, or nil.
	Evacuation *ExplainedEvacuation `json:"evacuation,omitempty"`
}

// ExplainedRequest is what an agent would do now with a new request on a flow that its server holds.
type ExplainedRequest struct {
	// Outcome is OutcomeTake, or OutcomeWait if the agent would hold the request.
	Outcome string `json:"outcome"`
	// Ahead is the number of requests that precede it at the server and the agent. ExpectedMs is the expected wait for a
	// slot, and LimitMs the time after which the agent would pass the request to the server in any case.
	Ahead      int     `json:"ahead"`
	ExpectedMs float64 `json:"expected_ms"`
	LimitMs    float64 `json:"limit_ms"`
}

// explainRequest returns what a new request on an open flow would meet. It changes the Tracker, which must be a copy.
func (t *Tracker) explainRequest(now time.Duration, key Key) ExplainedRequest {
	route := t.routes[key.Service]
	// The request that the agent may hold on the flow already counts as one that precedes the new one.
	delete(t.held.work, key)
	f, p := &trackedFlow{state: open}, Packet{Key: key, Length: 1}
	ahead := t.ahead(now, route)
	e := ExplainedRequest{
		Outcome: OutcomeTake, Ahead: ahead,
		ExpectedMs: milliseconds(t.load.waitForSlot(latencyBudget(route), ahead)), LimitMs: milliseconds(t.requestLimit(route)),
	}
	if _, held := t.holdRequest(now, &p, f, Request{}); held {
		e.Outcome = OutcomeWait
	}
	return e
}

// Explain returns what the agent would do now with the first copy of a flow's opening packet. It lets copies of the
// Tracker decide, so it can't differ from the decision itself, and changes nothing. The caller sets the view.
func (t *Tracker) Explain(now time.Duration, key Key) AgentExplanation {
	route := t.routes[key.Service]
	trial := t.copyFor(key)
	trial.load.advance(now)
	trial.load.releaseExpired(now)
	state, budget := trial.ServerState(now), latencyBudget(route)
	e := AgentExplanation{
		Flow: key.String(), Server: t.config.Address.String(), Service: t.config.Service, Place: t.place(), Route: route != nil, Holds: t.holds(key),
		State:      state.Status(now, t.config.Service),
		ExpectedMs: milliseconds(trial.load.expectedTime(budget, trial.ahead(now, route))),
		BudgetMs:   milliseconds(budget),
	}
	e.Request = trial.explainRequest(now, key)
	// The address of the next agent has no influence on the decision.
	e.Outcome, e.Reason = t.explainOpening(now, key, []IP{{}})
	e.LastOutcome, e.LastReason = t.explainOpening(now, key, nil)
	if t.evacuated {
		e.Evacuation = &ExplainedEvacuation{Evacuation: nodestatus.NewEvacuation(now, t.evacuation), Applies: evacuated(now, t.evacuation, key.Hash())}
	}
	return e
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// explainOpening returns the outcome of an opening packet and the reason.
func (t *Tracker) explainOpening(now time.Duration, key Key, remaining []IP) (outcome, reason string) {
	p := Packet{Key: key, Kind: Opening}
	v := t.copyFor(key).FromNode(now, &p, nil, Request{Purpose: PurposeOpen, Service: t.service, Version: t.version, Remaining: remaining})
	switch v.Action {
	case ToServer:
		return OutcomeTake, v.Reason
	case Forward:
		return OutcomePass, v.Reason
	case Reset:
		return OutcomeRefuse, v.Reason
	case Wait:
		return OutcomeWait, v.Reason
	}
	return OutcomeDrop, v.Reason
}

// copyFor returns a copy of the Tracker whose decision on an opening packet changes nothing in the original. Whatever
// that decision changes through a pointer, slice or map must be copied here.
func (t *Tracker) copyFor(key Key) *Tracker {
	c := *t
	c.versions.applied = slices.Clone(t.versions.applied)
	c.probes = slices.Clone(t.probes)
	c.shortage = t.shortage.clone()
	c.held.backlog, c.held.work = t.held.backlog.Clone(), maps.Clone(t.held.work)
	c.load.requests = slices.Clone(t.load.requests)
	// Expired reservations are released before a decision.
	c.load.reserved = make([]*trackedFlow, len(t.load.reserved))
	copies := map[*trackedFlow]*trackedFlow{}
	for i, f := range t.load.reserved {
		if copies[f] == nil {
			copied := *f
			copies[f] = &copied
		}
		c.load.reserved[i] = copies[f]
	}
	for i, f := range c.load.requests {
		if copied := copies[f]; copied != nil {
			c.load.requests[i] = copied
		}
	}
	flows, err := simplelru.NewLRU(1, func(_ Key, f *trackedFlow) { c.end(f) })
	if err != nil {
		panic(err)
	}
	c.flows = flows
	if c.disclaimed, err = simplelru.NewLRU[Key, struct{}](1, nil); err != nil {
		panic(err)
	}
	if f, ok := t.flows.Peek(key); ok {
		copied := copies[f]
		if copied == nil {
			value := *f
			copied = &value
			if i := slices.Index(c.load.requests, f); i >= 0 {
				c.load.requests[i] = copied
			}
		}
		c.flows.Add(key, copied)
	}
	return &c
}
