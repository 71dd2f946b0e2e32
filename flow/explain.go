package flow

import (
	"fmt"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
	"github.com/bramleyrack/bramleyrack/placement"
)

// maxExplained bounds the candidates of an Explanation, so that its size does not depend on the size of a service. The
// agents in the list of the flow are included in any case.
const maxExplained = 64

// The outcomes of an opening packet in an Explanation.
const (
	// OutcomeForward means that a balancer would forward the packet to the first agent in its list.
	OutcomeForward = "forward"
	// OutcomeTake means that an agent would give the packet to its server.
	OutcomeTake = "take"
	// OutcomePass means that an agent would forward the packet to the next agent.
	OutcomePass = "pass"
	// OutcomeRefuse means that the client would get a reset.
	OutcomeRefuse = "refuse"
	// OutcomeDrop means that nothing would be sent.
	OutcomeDrop = "drop"
	// OutcomeWait means that the packet would wait at an agent for a free slot of its server.
	OutcomeWait = "wait"
)

// Explanation is what a balancer would do now with the first copy of an opening packet, and why.
type Explanation struct {
	Flow string `json:"flow"`
	// View is nil if there is none yet.
	View *nodestatus.View `json:"view"`
	// Routes holds the addresses that have a route, if the address of the flow has none.
	Routes []string `json:"routes,omitempty"`
	// Services holds the services to which the route directs new flows, and Service the one selected for the flow.
	Services []ExplainedShare `json:"services,omitempty"`
	Service  string           `json:"service,omitempty"`
	// Evacuations holds those in force in places where the service has servers.
	Evacuations []ExplainedEvacuation `json:"evacuations,omitempty"`
	// Outcome is OutcomeForward, OutcomeRefuse or OutcomeDrop, the latter two with a reason. Agents holds the agents that
	// the packet would visit, in order.
	Outcome string   `json:"outcome"`
	Reason  string   `json:"reason,omitempty"`
	Agents  []string `json:"agents,omitempty"`
	// Candidates holds the highest-ranked servers of the service; Servers is the number of all.
	Candidates []ExplainedCandidate `json:"candidates,omitempty"`
	Servers    int                  `json:"servers"`
	// Owner describes what the balancer knows of the flow if it has been opened already, and is nil if it knows nothing.
	Owner *Ownership `json:"owner,omitempty"`
	// Unknown holds what the balancer does not know and might change the outcome.
	Unknown []string `json:"unknown,omitempty"`
}

// ExplainedShare is the share of a route's new flows that goes to one service.
type ExplainedShare struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// ExplainedEvacuation is an evacuation. Applies is set if the flow avoids the place already; in the first second of an
// evacuation only some flows do.
type ExplainedEvacuation struct {
	nodestatus.Evacuation
	Applies bool `json:"applies"`
}

// ExplainedCandidate is a server that the balancer considered for a flow.
type ExplainedCandidate struct {
	// Rank starts at one. Position is the place in the list of agents to visit, which also starts at one, or zero if the
	// agent is not in it.
	Rank     int    `json:"rank"`
	Position int    `json:"position"`
	Agent    string `json:"agent"`
	Place    string `json:"place"`
	Class    string `json:"class"`
	Reason   string `json:"reason,omitempty"`
	// Reported is the latest status of the agent, or nil if it has sent none.
	Reported *ReportedLoad `json:"reported"`
	// SentFlows is the number of new flows that this balancer sent to the agent after that status.
	SentFlows uint32 `json:"sent_flows"`
	// Capacity is the number of requests that the server can run at once, in requests at its warm speed. ColdMs is the
	// time until it is warm.
	Capacity float64 `json:"capacity"`
	// Speed is how fast the server processes requests relative to the median of its service, or zero if it is unknown.
	// ExpectedLoad is the work per capacity and speed that is expected with one more flow; the first agents of a class
	// are ordered by it, up to a random part.
	Speed        float64 `json:"speed"`
	ExpectedLoad float64 `json:"expected_load"`
	ColdMs       int64   `json:"cold_ms"`
}

// ReportedLoad is the load that an agent reported.
type ReportedLoad struct {
	AgeMs int64  `json:"age_ms"`
	Busy  uint32 `json:"busy"`
	Slots uint32 `json:"slots"`
	Flows uint32 `json:"flows"`
}

// Ownership is what a balancer knows of a flow that may be open. Owner is the agent beside the server that holds it, or
// empty if it is not known.
type Ownership struct {
	Owner string `json:"owner,omitempty"`
	// SeenMs is the time since the last packet of the flow.
	SeenMs int64 `json:"seen_ms"`
	// AwaitsReport is set while no agent has answered the opening packet, and Searching while the owner is searched for.
	AwaitsReport bool `json:"awaits_report"`
	Searching    bool `json:"searching"`
}

// Explain returns what the balancer would do now with the first copy of a flow's opening packet. It lets a copy of the
// Director decide, so it can't differ from the decision itself, and changes nothing.
func (d *Director) Explain(now time.Duration, key Key) Explanation {
	e := Explanation{Flow: key.String(), View: nodestatus.NewView(now, d.view), Owner: d.ownership(now, key)}
	p := Packet{Key: key, Kind: Opening}
	trial := d.copyFor(key)
	decision := trial.FromClient(now, &p, nil)
	e.Reason = decision.Reason
	switch decision.Action {
	case Forward:
		e.Outcome = OutcomeForward
		e.Agents = append(e.Agents, decision.To.String())
		for _, ip := range decision.Request.Remaining {
			e.Agents = append(e.Agents, ip.String())
		}
	case Reset:
		e.Outcome = OutcomeRefuse
	default:
		e.Outcome = OutcomeDrop
	}
	if d.view == nil {
		return e
	}
	r := d.routes[key.Service]
	if r == nil {
		e.Routes = d.explainRoutes()
		return e
	}
	for i, s := range r.services {
		e.Services = append(e.Services, ExplainedShare{Service: s.name, Weight: r.weights[i]})
	}
	s := r.pick(key)
	e.Service, e.Servers = s.name, len(s.candidates)
	e.Candidates = d.explainCandidates(now, s, key, e.Agents)
	e.Evacuations = d.explainEvacuations(now, s, key)
	e.Unknown = d.explainUnknown(now, s)
	return e
}

// copyFor returns a copy of the Director whose decision on an opening packet changes nothing in the original. Whatever
// that decision changes through a pointer, slice or map must be copied here.
func (d *Director) copyFor(key Key) *Director {
	c := *d
	c.rankBuf, c.listBuf = nil, nil
	c.openings = newOpenings(d.config)
	r := d.routes[key.Service]
	if r == nil {
		return &c
	}
	copiedRoute := *r
	copiedRoute.services = make([]*service, len(r.services))
	c.agents = map[IP]*agent{}
	for i, s := range r.services {
		copied := *s
		copiedRoute.services[i] = &copied
		for _, candidate := range s.candidates {
			ip := ipFromNumber(candidate.Number)
			a := *d.agents[ip]
			c.agents[ip] = &a
		}
	}
	c.routes = map[Endpoint]*route{key.Service: &copiedRoute}
	return &c
}

// ownership returns what is known of a flow, without marking it as used.
func (d *Director) ownership(now time.Duration, key Key) *Ownership {
	var o Ownership
	h, hinted := d.hints.lru.Peek(key)
	if hinted = hinted && now-h.seen <= d.hints.idle; hinted {
		o.Owner, o.SeenMs = h.owner.String(), (now - h.seen).Milliseconds()
	}
	o.AwaitsReport = d.openings.pending[key] != nil
	if s, ok := d.searches.lru.Peek(key); ok {
		o.Searching = now-s.started < d.searchTimeout(s)
	}
	if !hinted && !o.AwaitsReport && !o.Searching {
		return nil
	}
	return &o
}

func (d *Director) explainRoutes() []string {
	var routes []string
	for endpoint := range d.routes {
		routes = append(routes, endpoint.String())
	}
	slices.Sort(routes)
	return routes[:min(len(routes), maxExplained)]
}

func (d *Director) explainCandidates(now time.Duration, s *service, key Key, list []string) []ExplainedCandidate {
	var candidates []ExplainedCandidate
	// A copy of the service leaves the totals that the next decision uses unchanged.
	copied := *s
	t := d.totals(now, &copied)
	for i, number := range placement.Rank(nil, key.Hash(), d.config.Place, s.candidates) {
		a := d.agents[ipFromNumber(number)]
		position := slices.Index(list, a.ip.String()) + 1
		if i >= maxExplained && position == 0 {
			continue
		}
		c := d.classify(now, a, key.Hash())
		candidate := ExplainedCandidate{
			Rank: i + 1, Position: position, Agent: a.ip.String(), Place: a.place, Class: classNames[c], Reason: d.explainClass(now, a, c, key.Hash()),
			SentFlows: a.sentFlows, Capacity: a.capacity(now), Speed: a.status.speed, ExpectedLoad: a.expectedLoad(now, t), ColdMs: max(0, (a.warmAt - now).Milliseconds()),
		}
		if a.status.process > 0 {
			candidate.Reported = &ReportedLoad{
				AgeMs: (now - a.lastHeard).Milliseconds(), Busy: a.status.busy, Slots: a.status.slots, Flows: a.status.flows,
			}
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// classNames are the names of the classes in explanations. Agents of the last two take no new flows; the reason tells
// them apart.
var classNames = [...]string{"local", "remote", "exhausted", "unresponsive", "unavailable", "unavailable"}

// explainClass returns why an agent is in a class. The conditions are in the order in which classify checks them.
func (d *Director) explainClass(now time.Duration, a *agent, c class, flow uint64) string {
	switch {
	case c == local || c == remote:
		return ""
	case c == exhausted:
		return "the server is cold and has used up its limit on new flows"
	case !a.present:
		return "the view does not name the server"
	case a.draining:
		return "the server drains"
	case d.evacuated(now, a.place, flow):
		return "availability zone is evacuated"
	case a.status.process > 0 && !a.status.accepting:
		return "the agent reports that its server takes no new flows"
	case a.leaving:
		return "the agent has announced that it is stopping"
	case a.unresponsive(now, d.config.UnresponsiveAfter):
		return fmt.Sprintf("the agent has left a message unanswered for %v", (now - a.waitingSince).Round(time.Millisecond))
	}
	return ""
}

func (d *Director) explainEvacuations(now time.Duration, s *service, key Key) []ExplainedEvacuation {
	inPlace := map[string]bool{}
	for _, candidate := range s.candidates {
		inPlace[candidate.Place] = true
	}
	var list []ExplainedEvacuation
	for _, e := range d.view.Evacuations {
		if inPlace[e.Place] {
			list = append(list, ExplainedEvacuation{Evacuation: nodestatus.NewEvacuation(now, e), Applies: evacuated(now, e, key.Hash())})
		}
	}
	return list
}

// explainUnknown returns what the balancer does not know and might change the outcome.
func (d *Director) explainUnknown(now time.Duration, s *service) []string {
	var unknown []string
	if age := now - d.view.Confirmed; age > d.config.MaxViewAge {
		unknown = append(unknown, fmt.Sprintf("changes of the last %v: the view is too old to refuse a flow", age.Round(time.Millisecond)))
	}
	var silent, old []string
	for _, candidate := range s.candidates {
		a := d.agents[ipFromNumber(candidate.Number)]
		switch {
		case !a.present:
		case a.status.process == 0:
			silent = append(silent, a.ip.String())
		case now-a.lastHeard > oldReport:
			old = append(old, a.ip.String())
		}
	}
	unknown = appendAgents(unknown, "load of agents that have sent no status yet", silent)
	return appendAgents(unknown, fmt.Sprintf("present load of agents whose last status is older than %v", oldReport), old)
}

// oldReport is the age from which a status is listed as unknown. Agents that answer send one about once a second.
const oldReport = 2 * time.Second

// appendAgents appends a line that names agents, if there are any.
func appendAgents(lines []string, what string, agents []string) []string {
	if len(agents) == 0 {
		return lines
	}
	slices.Sort(agents)
	line := fmt.Sprintf("%s (%d):", what, len(agents))
	for _, agent := range agents[:min(len(agents), maxExplained)] {
		line += " " + agent
	}
	return append(lines, line)
}
