package balancer

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/placement"
)

const (
	// dialInterval is the time between two connection attempts to an agent that does not answer.
	dialInterval = 500 * time.Millisecond
	dialTimeout  = 500 * time.Millisecond
	// maxDials limits the connection attempts per interval, since a whole place may be silent at once.
	maxDials = 8
	// refusalQueueLength is the number of refusals that may wait for the controller.
	refusalQueueLength = 16
)

// dialSilent connects to the peer addresses of agents that do not answer, to distinguish a dead
// process from a paused or unreachable one: only the address of a dead one refuses connections.
func (c *controller) dialSilent(now time.Duration) {
	if now-c.lastDial < dialInterval {
		return
	}
	c.lastDial = now
	dials := 0
	for _, a := range c.balancer.table.Load().Agents() {
		needsDial := c.liveness.Unanswered(now, a.Server) && c.liveness.Health(a.Server) != placement.HealthGone
		if !needsDial || !a.Peer.IsValid() || dials == maxDials {
			continue
		}
		dials++
		c.dials.Go(func() { c.dial(a.Server, a.Peer.String()) })
	}
}

// dial connects to an agent's peer address and queues a refusal for the controller if the address
// refuses the connection. If the queue is full, it drops and counts the refusal.
func (c *controller) dial(server uint32, address string) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err == nil {
		conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	select {
	case c.refusals <- server:
	default:
		c.balancer.counts.refusalDrops.Add(1)
	}
}

// recordRefusals passes the queued refusals on to the liveness tracking.
func (c *controller) recordRefusals() {
	for {
		select {
		case server := <-c.refusals:
			c.liveness.RecordRefusal(server)
		default:
			return
		}
	}
}
