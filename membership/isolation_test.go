package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/membership"
)

// peers is a table that monitors a few peers, all heard at time zero.
type peers struct {
	*membership.Table
	addresses []string
}

func newPeers(count int) *peers {
	p := &peers{Table: membership.New(membership.DefaultConfig())}
	for i := range count {
		p.addresses = append(p.addresses, fmt.Sprintf("10.0.0.%d:9101", i+1))
	}
	p.Monitor(0, p.addresses)
	p.hear(0, p.addresses...)
	return p
}

func (p *peers) hear(now time.Duration, addresses ...string) {
	for _, address := range addresses {
		p.RecordHeartbeat(now, membership.Heartbeat{Address: address, Place: "zone", Incarnation: 5, Revision: 7})
	}
}

// run ticks from one time to another while the given peers keep answering.
func (p *peers) run(from, to time.Duration, answering ...string) membership.TickResult {
	var verdict membership.TickResult
	for now := from; now <= to; now += 100 * time.Millisecond {
		p.hear(now, answering...)
		verdict = p.Tick(now)
	}
	return verdict
}

func (p *peers) state(address string) membership.State {
	member, _ := p.Member(address)
	return member.State
}

func TestAllSilentMeansCutOff(t *testing.T) {
	p := newPeers(5)
	verdict := p.run(0, time.Minute)
	if !verdict.Isolated {
		t.Fatal("blames its peers")
	}
	for _, address := range p.addresses {
		if got := p.state(address); got != membership.StateSuspect {
			t.Fatalf("%s is %v", address, got)
		}
	}
	if verdict = p.run(time.Minute, time.Minute+time.Second, p.addresses...); verdict.Isolated {
		t.Fatal("still cut off with all peers back")
	}
}

func TestReplacedVMIsAliveAgain(t *testing.T) {
	p := newPeers(5)
	p.run(0, 3*time.Second, p.addresses[1:]...)
	p.RecordHeartbeat(4*time.Second, membership.Heartbeat{Address: p.addresses[0], Incarnation: 6})
	if got := p.state(p.addresses[0]); got != membership.StateAlive {
		t.Fatalf("got %v", got)
	}
}
