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
}

// Liveness tells dead agents from slow and idle ones by comparing what was forwarded to them with
// what they returned. It is not safe for concurrent use.
type Liveness struct {
	config LivenessConfig
	agents map[uint32]*agentLiveness
	// places holds the last time at which any agent of a place returned anything.
	places map[string]time.Duration
	last   time.Duration
	// heard is the last time at which any agent returned anything.
	heard time.Duration
	// idle is the position of the next idle agent to probe.
	idle   int
	cutOff bool
}

type agentLiveness struct {
	progress Progress
	// waiting says that something was forwarded since the agent was last heard.
	waiting bool
	since   time.Duration
	next    time.Duration
	heard   time.Duration
	health  Health
	refused bool
	seen    bool
}

// NewLiveness returns a Liveness that takes every agent for live.
func NewLiveness(config LivenessConfig, now time.Duration) *Liveness {
	return &Liveness{config: config, agents: map[uint32]*agentLiveness{}, places: map[string]time.Duration{}, last: now, heard: now}
}

// Step takes the counts of all agents and returns the agents to probe now. Agents that are not
// listed any more are forgotten.
func (l *Liveness) Step(now time.Duration, progress []Progress) (probes []uint32) {
	paused := now-l.last > l.config.MaxStep
	l.last = now
	for _, p := range progress {
		l.update(now, p)
	}
	reconnected := l.cutOff && l.heard == now
	for _, a := range l.agents {
		if paused || reconnected || l.placeReconnected(now, a.progress.Place) {
			a.restartWait(now)
		}
	}
	l.hearPlaces(now)
	if paused {
		l.heard = now
	}
	l.forget()
	l.judge(now)
	return l.probes(now, progress)
}

// restartWait discards the silence while the balancer was paused or a part of the network cut off.
func (a *agentLiveness) restartWait(now time.Duration) {
	a.since = now
	a.next = now
}

// placeReconnected reports whether a place is heard again after a silence.
func (l *Liveness) placeReconnected(now time.Duration, place string) bool {
	if l.reachable(now, place) {
		return false
	}
	for _, a := range l.agents {
		if a.progress.Place == place && a.heard == now {
			return true
		}
	}
	return false
}

func (l *Liveness) hearPlaces(now time.Duration) {
	for _, a := range l.agents {
		if a.heard == now {
			l.places[a.progress.Place] = now
		}
	}
}

// reachable reports whether any agent of a place was heard lately.
func (l *Liveness) reachable(now time.Duration, place string) bool {
	heard, ok := l.places[place]
	return ok && now-heard <= l.config.DeadAfter
}

func (l *Liveness) update(now time.Duration, p Progress) {
	a := l.agents[p.Server]
	if a == nil {
		a = &agentLiveness{progress: Progress{Server: p.Server}}
		l.agents[p.Server] = a
	}
	a.seen = true
	switch {
	case p.Returned != a.progress.Returned:
		a.waiting = false
		a.health = HealthLive
		a.refused = false
		a.heard = now
		l.heard = now
	case p.Forwarded != a.progress.Forwarded && !a.waiting:
		a.waiting = true
		a.since = now
		a.next = now + l.config.ProbeAfter
	}
	a.progress = p
}

func (l *Liveness) forget() {
	for server, a := range l.agents {
		if !a.seen {
			delete(l.agents, server)
		}
		a.seen = false
	}
}

// judge sets the health of agents that do not answer. A balancer that hears no agent at all takes
// itself for cut off, well before DeadAfter, and condemns none.
func (l *Liveness) judge(now time.Duration) {
	l.cutOff = len(l.agents) > 1 && now-l.heard > l.config.DeadAfter/2 && l.anyWaiting()
	if l.cutOff {
		return
	}
	for _, a := range l.agents {
		if !a.waiting {
			continue
		}
		switch silence := now - a.since; {
		case silence > l.config.GoneAfter && l.reachable(now, a.progress.Place):
			a.health = HealthGone
		case silence > l.config.DeadAfter:
			a.health = max(a.health, HealthSilent)
		}
	}
}

func (l *Liveness) anyWaiting() bool {
	for _, a := range l.agents {
		if a.waiting {
			return true
		}
	}
	return false
}

func (l *Liveness) probes(now time.Duration, progress []Progress) []uint32 {
	var probes []uint32
	for _, p := range progress {
		a := l.agents[p.Server]
		if a.waiting && now >= a.next {
			a.next = now + l.probeDelay(a)
			probes = append(probes, p.Server)
		}
	}
	for range min(l.config.IdleProbes, len(progress)) {
		l.idle = (l.idle + 1) % len(progress)
		server := progress[l.idle].Server
		if !l.agents[server].waiting && !slices.Contains(probes, server) {
			probes = append(probes, server)
		}
	}
	return probes
}

// goneProbeFactor lengthens the time between probes of an agent that is gone.
const goneProbeFactor = 10

func (l *Liveness) probeDelay(a *agentLiveness) time.Duration {
	if a.health == HealthGone {
		return goneProbeFactor * l.config.ProbeInterval
	}
	return l.config.ProbeInterval
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
	return a != nil && a.waiting && now-a.since > l.config.ProbeAfter+l.config.ProbeInterval
}

// Refuse takes in the evidence that the process of an agent does not run, as its address refuses
// connections. A paused process does not refuse them. It reports whether the agent counts as gone
// for this reason.
func (l *Liveness) Refuse(server uint32) bool {
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
