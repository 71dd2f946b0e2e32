package placement

import (
	"slices"
	"time"
)

// Health is the state of an agent as observed by a balancer itself.
type Health uint8

// Health states of an agent.
const (
	// HealthLive agents answer, or have not been sent anything yet.
	HealthLive Health = iota
	// HealthSilent agents have not answered for DeadAfter, according to probes or to the report of a
	// peer. They get no new flows.
	HealthSilent
	// HealthGone agents have not answered for GoneAfter while other agents of their place did, or
	// their address refuses connections. Their flows are to be reset.
	HealthGone
)

// LivenessConfig configures the detection of dead agents.
type LivenessConfig struct {
	// ProbeAfter is how long forwarded packets may go unanswered before the agent is probed.
	ProbeAfter time.Duration
	// ProbeInterval is the time between probes of an agent that does not answer.
	ProbeInterval time.Duration
	// MaxProbes bounds the probes per step of agents that have not answered forwarded packets. The
	// answers of an agent return through many balancers, so to a balancer in front of thousands of agents
	// some always seem not to answer. Higher values find dead agents earlier without reports from their
	// peers, and cost more traffic.
	MaxProbes int
	// IdleProbes bounds the probes per step of agents that get no traffic. Higher values find dead idle
	// agents earlier and cost more control traffic.
	IdleProbes int
	// DeadAfter is the silence after which an agent gets no new flows.
	DeadAfter time.Duration
	// GoneAfter is the silence after which the flows of an agent are reset. It must exceed the longest
	// pause that flows are meant to survive.
	GoneAfter time.Duration
	// MaxStep is the time between two steps above which the balancer assumes that it was paused itself.
	MaxStep time.Duration
}

// DefaultLivenessConfig returns the configuration for one step every 100 ms.
func DefaultLivenessConfig() LivenessConfig {
	return LivenessConfig{
		ProbeAfter:    300 * time.Millisecond,
		ProbeInterval: 300 * time.Millisecond,
		MaxProbes:     4,
		IdleProbes:    1,
		DeadAfter:     2 * time.Second,
		GoneAfter:     15 * time.Second,
		MaxStep:       time.Second,
	}
}

// Progress counts the packets between a balancer and an agent since the balancer started.
type Progress struct {
	Server uint32
	// Place is the availability zone of the agent.
	Place string
	// Forwarded counts the packets and probes that the agent should answer.
	Forwarded uint64
	// Returned counts the returned packets and the answers to probes.
	Returned uint64
	// ReportedSilent is when another agent of the service last reported this one silent, or zero if none
	// ever did.
	ReportedSilent time.Duration
}

// Liveness distinguishes dead agents from slow and idle ones by comparing what was forwarded to them
// with what they returned. It is not safe for concurrent use.
type Liveness struct {
	config LivenessConfig
	agents map[uint32]*agentLiveness
	// listed holds the agents of the last step, in the order of its progress argument.
	listed   []*agentLiveness
	places   map[string]*placeLiveness
	lastStep time.Duration
	// lastHeard is the last time at which any agent returned a packet or an answer to a probe.
	lastHeard time.Duration
	// idleCursor is the position of the agent that was last considered for an idle probe.
	idleCursor int
	cutOff     bool
}

type placeLiveness struct {
	lastHeard time.Duration
	everHeard bool
	// heardNow is set if an agent of the place was heard from in this step.
	heardNow bool
	// reconnected is set if the place was silent or unknown until it was heard from in this step.
	reconnected bool
}

type agentLiveness struct {
	progress Progress
	place    *placeLiveness
	// waiting is set once something was forwarded since the agent was last heard from.
	waiting      bool
	waitingSince time.Duration
	nextProbe    time.Duration
	lastHeard    time.Duration
	health       Health
	refused      bool
	// unanswered counts the probes since the agent was last heard from.
	unanswered int
}

// minUnanswered is how many probes an agent must leave unanswered before it counts as silent.
const minUnanswered = 3

// NewLiveness returns a Liveness that considers every agent live.
func NewLiveness(config LivenessConfig, now time.Duration) *Liveness {
	return &Liveness{config: config, agents: map[uint32]*agentLiveness{}, places: map[string]*placeLiveness{}, lastStep: now, lastHeard: now}
}

// Step takes the counts of all agents and returns the agents to probe now. It forgets agents that are
// no longer in progress.
func (l *Liveness) Step(now time.Duration, progress []Progress) (probes []uint32) {
	paused := now-l.lastStep > l.config.MaxStep
	l.lastStep = now
	l.syncAgents(progress)
	for i, a := range l.listed {
		l.update(now, a, progress[i])
	}
	restart := paused || l.cutOff && l.lastHeard == now
	l.updatePlaces(now)
	for _, a := range l.listed {
		if restart || a.place.reconnected {
			a.restartWait(now)
		}
	}
	if paused {
		l.lastHeard = now
	}
	l.updateHealth(now)
	return l.probes(now)
}

// syncAgents makes the listed agents match progress, in its order, and forgets the others.
func (l *Liveness) syncAgents(progress []Progress) {
	if len(l.listed) > len(progress) {
		l.listed = l.listed[:len(progress)]
	}
	for i := range progress {
		if i == len(l.listed) {
			l.listed = append(l.listed, nil)
		}
		if a := l.listed[i]; a == nil || a.progress.Server != progress[i].Server {
			l.listed[i] = l.agent(progress[i].Server)
		}
	}
	if len(l.agents) == len(progress) {
		return
	}
	clear(l.agents)
	for _, a := range l.listed {
		l.agents[a.progress.Server] = a
	}
}

func (l *Liveness) agent(server uint32) *agentLiveness {
	a := l.agents[server]
	if a == nil {
		a = &agentLiveness{progress: Progress{Server: server}}
		l.agents[server] = a
	}
	return a
}

func (l *Liveness) place(name string) *placeLiveness {
	place := l.places[name]
	if place == nil {
		place = &placeLiveness{}
		l.places[name] = place
	}
	return place
}

// restartWait discards silence that was measured while the balancer was paused or cut off from a part
// of the network.
func (a *agentLiveness) restartWait(now time.Duration) {
	a.waitingSince = now
	a.nextProbe = now
}

func (l *Liveness) updatePlaces(now time.Duration) {
	for _, place := range l.places {
		place.reconnected = place.heardNow && !l.reachable(now, place)
		if place.heardNow {
			place.lastHeard = now
			place.everHeard = true
		}
		place.heardNow = false
	}
}

func (l *Liveness) reachable(now time.Duration, place *placeLiveness) bool {
	return place.everHeard && now-place.lastHeard <= l.config.DeadAfter
}

func (l *Liveness) update(now time.Duration, a *agentLiveness, p Progress) {
	if a.place == nil || a.progress.Place != p.Place {
		a.place = l.place(p.Place)
	}
	switch {
	case p.Returned != a.progress.Returned:
		a.waiting = false
		a.unanswered = 0
		a.health = HealthLive
		a.refused = false
		a.lastHeard = now
		a.place.heardNow = true
		l.lastHeard = now
	case p.Forwarded != a.progress.Forwarded && !a.waiting:
		a.waiting = true
		a.waitingSince = now
		a.nextProbe = now + l.config.ProbeAfter
	}
	a.progress = p
}

// updateHealth sets the health of agents that do not answer. A balancer that hears from no agent at
// all assumes that it is cut off, well before DeadAfter, and marks none as silent.
func (l *Liveness) updateHealth(now time.Duration) {
	l.cutOff = len(l.agents) > 1 && now-l.lastHeard > l.config.DeadAfter/2 && l.anyWaiting()
	if l.cutOff {
		return
	}
	for _, a := range l.listed {
		if !a.waiting {
			continue
		}
		silence := now - a.waitingSince
		probed := a.unanswered >= minUnanswered
		switch {
		case probed && silence > l.config.GoneAfter && l.reachable(now, a.place):
			a.health = HealthGone
		case probed && silence > l.config.DeadAfter, l.reportedSilent(now, a):
			a.health = max(a.health, HealthSilent)
		}
	}
}

// reportedSilent reports whether another agent recently reported this one silent and this balancer has
// not heard from it within DeadAfter either.
func (l *Liveness) reportedSilent(now time.Duration, a *agentLiveness) bool {
	at := a.progress.ReportedSilent
	return at > 0 && now-at <= l.config.DeadAfter && now-a.lastHeard > l.config.DeadAfter
}

func (l *Liveness) anyWaiting() bool {
	for _, a := range l.listed {
		if a.waiting {
			return true
		}
	}
	return false
}

func (l *Liveness) probes(now time.Duration) []uint32 {
	var probes []uint32
	for _, a := range l.dueProbes(now) {
		a.unanswered++
		a.nextProbe = now + l.probeDelay(a)
		probes = append(probes, a.progress.Server)
	}
	for range min(l.config.IdleProbes, len(l.listed)) {
		l.idleCursor = (l.idleCursor + 1) % len(l.listed)
		if a := l.listed[l.idleCursor]; !a.waiting {
			probes = append(probes, a.progress.Server)
		}
	}
	return probes
}

// dueProbes returns the agents with the most urgent probes, at most MaxProbes.
func (l *Liveness) dueProbes(now time.Duration) []*agentLiveness {
	var due []*agentLiveness
	for _, a := range l.listed {
		if !a.waiting || now < a.nextProbe {
			continue
		}
		i := len(due)
		for i > 0 && a.probeBefore(due[i-1]) {
			i--
		}
		if i == l.config.MaxProbes {
			continue
		}
		due = slices.Insert(due, i, a)
		due = due[:min(len(due), l.config.MaxProbes)]
	}
	return due
}

// probeBefore reports whether probing agent a is more urgent than probing b. Agents that have left a
// probe unanswered but do not count as silent yet come first, then those that have waited longer.
func (a *agentLiveness) probeBefore(b *agentLiveness) bool {
	if a.suspect() != b.suspect() {
		return a.suspect()
	}
	return a.waitingSince < b.waitingSince
}

// suspect reports whether an agent has left a probe unanswered without counting as silent yet.
func (a *agentLiveness) suspect() bool { return a.unanswered > 0 && a.health == HealthLive }

// Factors on ProbeInterval for an agent that does not answer.
const (
	silentProbeFactor = 3
	goneProbeFactor   = 10
)

func (l *Liveness) probeDelay(a *agentLiveness) time.Duration {
	switch a.health {
	case HealthSilent:
		return silentProbeFactor * l.config.ProbeInterval
	case HealthGone:
		return goneProbeFactor * l.config.ProbeInterval
	default:
		return l.config.ProbeInterval
	}
}

// Health returns the health of an agent.
func (l *Liveness) Health(server uint32) Health {
	if a := l.agents[server]; a != nil {
		return a.health
	}
	return HealthLive
}

// Unanswered reports whether an agent has left a probe unanswered, so that it is worth checking
// whether its process is running.
func (l *Liveness) Unanswered(now time.Duration, server uint32) bool {
	a := l.agents[server]
	return a != nil && a.waiting && a.unanswered > 1 && now-a.waitingSince > l.config.ProbeAfter+l.config.ProbeInterval
}

// RecordRefusal records that the address of an agent refuses connections. Its process isn't running
// then, since a paused one would not refuse them. It reports whether the agent now counts as gone.
func (l *Liveness) RecordRefusal(server uint32) bool {
	a := l.agents[server]
	if a == nil || !a.waiting {
		return false
	}
	a.health = HealthGone
	a.refused = true
	return true
}

// Refused reports whether an agent is gone because its address refuses connections.
func (l *Liveness) Refused(server uint32) bool {
	a := l.agents[server]
	return a != nil && a.refused
}

// CutOff reports whether the balancer hears from no agent at all.
func (l *Liveness) CutOff() bool {
	return l.cutOff
}

// String returns the name of the health state for logs.
func (h Health) String() string {
	switch h {
	case HealthSilent:
		return "silent"
	case HealthGone:
		return "gone"
	default:
		return "live"
	}
}
