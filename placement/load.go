package placement

import (
	"math"
	"time"
)

// minRamp is the fraction of its weight that an upstream has when its slow start begins.
const minRamp = 0.1

// Ramp returns the fraction of its weight that an upstream has when its slow start has lasted for age.
func Ramp(age, slowStart time.Duration) float64 {
	if slowStart <= 0 || age >= slowStart {
		return 1
	}
	return max(minRamp, float64(age)/float64(slowStart))
}

func weight(l *Load) float64 {
	if l.Weight <= 0 {
		return 1
	}
	return l.Weight
}

// ramp returns the fraction of its weight that an agent with the given start time has now. Only
// newcomers go through a slow start.
func (a *Acceptor) ramp(now, start time.Duration) float64 {
	if !a.newcomer(start) {
		return 1
	}
	return Ramp(now-start-a.config.SettleAfter, a.config.SlowStart)
}

func (a *Acceptor) ownShare(now time.Duration, own *Load) float64 {
	return weight(own) * a.ramp(now, a.started)
}

func (a *Acceptor) peerShare(now time.Duration, peer *PeerLoad) float64 {
	return weight(&peer.Load) * a.ramp(now, a.peers[peer.Server].started)
}

// relativeLoad is the number of flows of this upstream, plus the new one, divided by its share.
func (a *Acceptor) relativeLoad(now time.Duration, own Load) float64 {
	return float64(own.Flows+1) / a.ownShare(now, &own)
}

func (a *Acceptor) peerRelativeLoad(now time.Duration, peer *PeerLoad) float64 {
	return float64(a.peerFlows(peer)+1) / a.peerShare(now, peer)
}

func (a *Acceptor) peerFlows(peer *PeerLoad) uint32 {
	return peer.Load.Flows + a.peers[peer.Server].passed
}

// fits reports whether an upstream that holds flows stays within (1+ε) times its share of the mean
// when it takes one more.
func (a *Acceptor) fits(flows uint32, share, mean float64) bool {
	capacity := math.Ceil(mean * (1 + a.config.Slack) * share)
	return float64(flows+1) <= capacity
}

func hasFreeSlot(l *Load) bool {
	return l.Slots == 0 || l.BusySlots < l.Slots
}

// meanLoad is the number of flows, including the new one, per unit of share, over all upstreams that
// take new flows.
func (a *Acceptor) meanLoad(now time.Duration, own Load, peers []PeerLoad) float64 {
	flows, shares := 1.0, 0.0
	if own.Accepting {
		flows += float64(own.Flows)
		shares += a.ownShare(now, &own)
	}
	for i := range peers {
		if !a.usable(now, &peers[i]) {
			continue
		}
		flows += float64(a.peerFlows(&peers[i]))
		shares += a.peerShare(now, &peers[i])
	}
	if shares == 0 {
		return 0
	}
	return flows / shares
}
