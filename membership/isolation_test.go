package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/membership"
)

// peerTable is a table that monitors its addresses, all of which were heard from at time zero.
type peerTable struct {
	*membership.Table
	addresses []string
}

func newPeerTable(count int) *peerTable {
	p := &peerTable{Table: membership.New(membership.DefaultConfig())}
	for i := range count {
		p.addresses = append(p.addresses, fmt.Sprintf("10.0.0.%d:9101", i+1))
	}
	p.Monitor(0, p.addresses)
	p.receiveFrom(0, p.addresses...)
	return p
}

func (p *peerTable) receiveFrom(now time.Duration, addresses ...string) {
	for _, address := range addresses {
		p.RecordHeartbeat(now, membership.Heartbeat{Address: address, Place: "zone", Incarnation: 5, Revision: 7})
	}
}

// run ticks from one time to another while only the given peers keep sending heartbeats.
func (p *peerTable) run(from, to time.Duration, answering ...string) membership.TickResult {
	var result membership.TickResult
	for now := from; now <= to; now += 100 * time.Millisecond {
		p.receiveFrom(now, answering...)
		result = p.Tick(now)
	}
	return result
}

func (p *peerTable) state(address string) membership.State {
	member, _ := p.Member(address)
	return member.State
}

func TestAllSilentMeansIsolated(t *testing.T) {
	p := newPeerTable(5)
	result := p.run(0, time.Minute)
	if !result.Isolated {
		t.Fatal("all peers are silent, and the process does not count as isolated")
	}
	for _, address := range p.addresses {
		if got := p.state(address); got != membership.StateSuspect {
			t.Fatalf("%s is %v, want suspect", address, got)
		}
	}
	if result = p.run(time.Minute, time.Minute+time.Second, p.addresses...); result.Isolated {
		t.Fatal("all peers are heard from again, and the process still counts as isolated")
	}
}

func TestReplacedVMIsAliveAgain(t *testing.T) {
	p := newPeerTable(5)
	p.run(0, 3*time.Second, p.addresses[1:]...)
	p.RecordHeartbeat(4*time.Second, membership.Heartbeat{Address: p.addresses[0], Incarnation: 6})
	if got := p.state(p.addresses[0]); got != membership.StateAlive {
		t.Fatalf("replaced VM is %v, want alive", got)
	}
}
