package balancer

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/placement"
)

const (
	// dialInterval is the time between two connections to an agent that does not answer.
	dialInterval = 500 * time.Millisecond
	// dialTimeout bounds one connection.
	dialTimeout = 500 * time.Millisecond
	// maxDials bounds the connections of one interval, as when a whole place is silent.
	maxDials = 8
	// refusalCapacity bounds the refusals that wait for the keeper.
	refusalCapacity = 16
)

// dialSilent connects to the peer addresses of agents that do not answer, to tell a process that has died from
// one that is paused or out of reach: only the first refuses a connection.
func (k *keeper) dialSilent(now time.Duration) {
	if now-k.dialed < dialInterval {
		return
	}
	k.dialed = now
	dials := 0
	for _, a := range k.balancer.table.Load().Agents() {
		open := k.liveness.Unanswered(now, a.Server) && k.liveness.Health(a.Server) != placement.HealthGone
		if !open || !a.Peer.IsValid() || dials == maxDials {
			continue
		}
		dials++
		k.dials.Go(func() { k.dial(a.Server, a.Peer.String()) })
	}
}

// dial reports a refusal; it drops and counts one that the keeper can't follow.
func (k *keeper) dial(server uint32, address string) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err == nil {
		conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	select {
	case k.refusals <- server:
	default:
		k.balancer.counts.refusalDrops.Add(1)
	}
}

// takeRefusals hands the refusals to the liveness.
func (k *keeper) takeRefusals() {
	for {
		select {
		case server := <-k.refusals:
			k.liveness.RecordRefusal(server)
		default:
			return
		}
	}
}
