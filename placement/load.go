package placement

import (
	"math"
	"time"
)

// minRamp is the share of its weight that an upstream has at the start of its slow start.
const minRamp = 0.1

// Ramp returns the share of its weight that an upstream has after age of a slow start.
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

// ramp returns the share of its weight that an agent has that started at a time.
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
	return weight(&peer.Load) * a.ramp(now, a.peers[peer.Server].since)
}

// relative is the number of flows of the upstream over its share, with the flow to be placed.
func (a *Acceptor) relative(now time.Duration, own Load) float64 {
	return float64(own.Flows+1) / a.ownShare(now, &own)
}

func (a *Acceptor) peerRelative(now time.Duration, peer *PeerLoad) float64 {
	return float64(a.peerFlows(peer)+1) / a.peerShare(now, peer)
}

func (a *Acceptor) peerFlows(peer *PeerLoad) uint32 {
	return peer.Load.Flows + a.peers[peer.Server].passed
}

// fits reports whether an upstream with flows may take one more within (1+ε) times its share of
// the mean.
func (a *Acceptor) fits(flows uint32, share, mean float64) bool {
	capacity := math.Ceil(mean * (1 + a.config.Slack) * share)
	return float64(flows+1) <= capacity
}

func hasSlot(l *Load) bool {
	return l.Slots == 0 || l.BusySlots < l.Slots
}

// meanLoad is the number of flows, with the one to be placed, over the shares of all upstreams that
// take new ones.
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
