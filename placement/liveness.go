package placement

import (
	"slices"
	"time"
)

// Health is what a balancer knows of an agent first hand.
type Health uint8

// The healths of an agent.
const (
	// HealthLive agents answer, or have not been asked.
	HealthLive Health = iota
	// HealthSilent agents have not answered for DeadAfter and get no new flows.
	HealthSilent
	// HealthGone agents have not answered for GoneAfter while their place did; their flows are to be
	// reset.
	HealthGone
)

// LivenessConfig tunes the detection of dead agents.
type LivenessConfig struct {
	// ProbeAfter is how long forwarded packets may stay without a returned one before a probe.
	ProbeAfter time.Duration
	// ProbeInterval is the time between probes of an agent that does not answer.
	ProbeInterval time.Duration
	// MaxProbes bounds the probes in one step of agents that get traffic. The answers of an agent
	// return through many balancers, so a balancer before thousands of agents always misses some.
	// Higher values find dead agents earlier without the help of their peers and cost more traffic.
	MaxProbes int
	// IdleProbes bounds the probes in one step of agents that get no traffic. Higher values find
	// dead idle agents earlier and cost more control traffic.
	IdleProbes int
	// DeadAfter is the silence after which an agent gets no new flows.
	DeadAfter time.Duration
	// GoneAfter is the silence after which the flows of an agent are reset. It must exceed the
	// longest pause that flows are to survive.
	GoneAfter time.Duration
	// MaxStep is the time between two steps above which the balancer itself counts as paused.
	MaxStep time.Duration
}

// DefaultLivenessConfig returns the configuration for a step every 100 ms.
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

// Progress counts the packets between a balancer and an agent, both since the start.
type Progress struct {
	Server uint32
	// Place is the availability zone of the agent.
	Place string
	// Forwarded counts packets and probes that the agent should answer.
	Forwarded uint64
	// Returned counts packets and answers to probes.
	Returned uint64
	// ReportedSilent is the last time at which another agent of the service said that it misses this one;
	// zero if none ever did.
	ReportedSilent time.Duration
}

// Liveness tells dead agents from slow and idle ones by comparing what was forwarded to them with
// what they returned. It is not safe for concurrent use.
type Liveness struct {
	config LivenessConfig
	agents map[uint32]*agentLiveness
	// listed holds the agents in the order of the last step.
	listed []*agentLiveness
	places map[string]*placeLiveness
	last   time.Duration
	// heard is the last time at which any agent returned anything.
	heard time.Duration
	// idle is the position of the next idle agent to probe.
	idle   int
	cutOff bool
}

// placeLiveness is what is known of the agents of one place together.
type placeLiveness struct {
	// heard is the last time at which any agent of the place returned anything.
	heard time.Duration
	known bool
	// now says that an agent of the place was heard in this step.
	now bool
	// reconnected says that the place had fallen silent before this step heard it.
	reconnected bool
}

type agentLiveness struct {
	progress Progress
	place    *placeLiveness
	// waiting says that something was forwarded since the agent was last heard.
	waiting bool
	since   time.Duration
	next    time.Duration
	heard   time.Duration
	health  Health
	refused bool
	// probes counts the probes since the agent was last heard.
	probes int
}

// minProbes is how many probes an agent must leave without an answer before it counts as silent.
const minProbes = 3

// NewLiveness returns a Liveness that takes every agent for live.
func NewLiveness(config LivenessConfig, now time.Duration) *Liveness {
	return &Liveness{config: config, agents: map[uint32]*agentLiveness{}, places: map[string]*placeLiveness{}, last: now, heard: now}
}

// Step takes the counts of all agents and returns the agents to probe now. Agents that are not
// listed any more are forgotten.
func (l *Liveness) Step(now time.Duration, progress []Progress) (probes []uint32) {
	paused := now-l.last > l.config.MaxStep
	l.last = now
	l.list(progress)
	for i, a := range l.listed {
		l.update(now, a, progress[i])
	}
	restart := paused || l.cutOff && l.heard == now
	l.hearPlaces(now)
	for _, a := range l.listed {
		if restart || a.place.reconnected {
			a.restartWait(now)
		}
	}
	if paused {
		l.heard = now
	}
	l.judge(now)
	return l.probes(now)
}

// list finds the agents of the progress in their order, and forgets the others.
func (l *Liveness) list(progress []Progress) {
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

// agent returns what is known of an agent.
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

// restartWait discards the silence while the balancer was paused or a part of the network cut off.
func (a *agentLiveness) restartWait(now time.Duration) {
	a.since = now
	a.next = now
}

// hearPlaces notes which places were heard, and which of them had fallen silent.
func (l *Liveness) hearPlaces(now time.Duration) {
	for _, place := range l.places {
		place.reconnected = place.now && !l.reachable(now, place)
		if place.now {
			place.heard = now
			place.known = true
		}
		place.now = false
	}
}

// reachable reports whether any agent of a place was heard lately.
func (l *Liveness) reachable(now time.Duration, place *placeLiveness) bool {
	return place.known && now-place.heard <= l.config.DeadAfter
}

func (l *Liveness) update(now time.Duration, a *agentLiveness, p Progress) {
	if a.place == nil || a.progress.Place != p.Place {
		a.place = l.place(p.Place)
	}
	switch {
	case p.Returned != a.progress.Returned:
		a.waiting = false
		a.probes = 0
		a.health = HealthLive
		a.refused = false
		a.heard = now
		a.place.now = true
		l.heard = now
	case p.Forwarded != a.progress.Forwarded && !a.waiting:
		a.waiting = true
		a.since = now
		a.next = now + l.config.ProbeAfter
	}
	a.progress = p
}

// judge sets the health of agents that do not answer. A balancer that hears no agent at all takes
// itself for cut off, well before DeadAfter, and marks none as silent.
func (l *Liveness) judge(now time.Duration) {
	l.cutOff = len(l.agents) > 1 && now-l.heard > l.config.DeadAfter/2 && l.anyWaiting()
	if l.cutOff {
		return
	}
	for _, a := range l.listed {
		if !a.waiting {
			continue
		}
		silence := now - a.since
		probed := a.probes >= minProbes
		switch {
		case probed && silence > l.config.GoneAfter && l.reachable(now, a.place):
			a.health = HealthGone
		case probed && silence > l.config.DeadAfter, l.reported(now, a):
			a.health = max(a.health, HealthSilent)
		}
	}
}

// reported says whether a peer of the agent misses it and this balancer has not heard it either.
func (l *Liveness) reported(now time.Duration, a *agentLiveness) bool {
	at := a.progress.ReportedSilent
	return at > 0 && now-at <= l.config.DeadAfter && now-a.heard > l.config.DeadAfter
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
		a.probes++
		a.next = now + l.probeDelay(a)
		probes = append(probes, a.progress.Server)
	}
	for range min(l.config.IdleProbes, len(l.listed)) {
		l.idle = (l.idle + 1) % len(l.listed)
		if a := l.listed[l.idle]; !a.waiting {
			probes = append(probes, a.progress.Server)
		}
	}
	return probes
}

// dueProbes returns the agents that most need a probe, at most MaxProbes.
func (l *Liveness) dueProbes(now time.Duration) []*agentLiveness {
	var due []*agentLiveness
	for _, a := range l.listed {
		if !a.waiting || now < a.next {
			continue
		}
		i := len(due)
		for i > 0 && a.before(due[i-1]) {
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

// before reports whether an agent needs a probe more than another: first those that have left one
// without an answer and do not count as silent yet, then those that have been silent for longer.
func (a *agentLiveness) before(b *agentLiveness) bool {
	if a.doubted() != b.doubted() {
		return a.doubted()
	}
	return a.since < b.since
}

func (a *agentLiveness) doubted() bool { return a.probes > 0 && a.health == HealthLive }

// Factors that lengthen the time between probes of an agent that does not answer.
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

// Unanswered reports whether an agent has left a probe without an answer, so that it is worth
// finding out whether its process runs.
func (l *Liveness) Unanswered(now time.Duration, server uint32) bool {
	a := l.agents[server]
	return a != nil && a.waiting && a.probes > 1 && now-a.since > l.config.ProbeAfter+l.config.ProbeInterval
}

// RecordRefusal takes in the evidence that the process of an agent does not run, as its address refuses
// connections. A paused process does not refuse them. It reports whether the agent counts as gone
// for this reason.
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

// CutOff reports whether the balancer hears no agent at all.
func (l *Liveness) CutOff() bool {
	return l.cutOff
}

// String returns the name of a health for logs.
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
