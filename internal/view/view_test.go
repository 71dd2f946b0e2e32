package view

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// inForceTarget is the stated time for a change to be in force everywhere.
const inForceTarget = 6 * time.Second

// treeValue is a valid tree with an upstream in each of two places.
func treeValue(slots int) string {
	return fmt.Sprintf(`
firm: agencia
policy: {slots: %d}
services:
  orders: {number: 1, address: "127.0.0.1:8443"}
places:
  north:
    services:
      orders:
        upstreams:
          n1: {number: 1, agent: "127.0.1.0:9001", peer: "127.0.1.0:9101", url: "http://127.0.0.1:9201"}
          n2: {number: 2, agent: "127.0.1.1:9001", peer: "127.0.1.1:9101", url: "http://127.0.0.1:9202"}
  south:
    services:
      orders:
        upstreams:
          s1: {number: 3, agent: "127.0.2.0:9001", peer: "127.0.2.0:9101", url: "http://127.0.0.1:9203"}
          s2: {number: 4, agent: "127.0.2.1:9001", peer: "127.0.2.1:9101", url: "http://127.0.0.1:9204"}
`, slots)
}

func address(place, i int) string {
	return fmt.Sprintf("127.0.%d.%d:9101", place, i)
}

// startPlaces starts the same number of views in each of two places.
func startPlaces(f *fleet, perPlace int) {
	for i := range perPlace {
		f.start(address(1, i), "north", true)
		f.start(address(2, i), "south", true)
	}
}

func run(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		test(t, f)
		f.stop()
	})
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.inForceAtStart(20)
		took := f.inForce(f.platform.publish(treeValue(6)), inForceTarget)
		t.Logf("in force after %v", took)
	})
}

// inForceAtStart starts two places and waits until the first revision is in force and settled.
func (f *fleet) inForceAtStart(perPlace int) {
	f.platform.publish(treeValue(5))
	startPlaces(f, perPlace)
	f.inForce(1, time.Minute)
	f.advance(30 * time.Second)
	for address, v := range f.views {
		if err := v.Ready(); err != nil {
			f.t.Fatalf("%s: %v", address, err)
		}
	}
}

func TestPlatformDownAnHourThenOlder(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.inForceAtStart(8)
		old := &bramleyv1.GetResponse{Revision: 1, Value: []byte(treeValue(5))}
		f.inForce(f.platform.publish(treeValue(6)), inForceTarget)
		f.platform.fault(true, nil)
		f.advance(time.Hour)
		f.platform.fault(false, old)
		f.advance(time.Minute)
		if behind := f.behind(2); len(behind) > 0 {
			t.Fatalf("reverted: %v", behind)
		}
		f.platform.fault(false, nil)
		f.inForce(f.platform.publish(treeValue(7)), inForceTarget)
	})
}

func TestAllReadersDie(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.inForceAtStart(20)
		killed := 0
		for _, address := range f.readers() {
			f.kill(address)
			killed++
		}
		took := f.inForce(f.platform.publish(treeValue(6)), inForceTarget)
		t.Logf("%d readers killed, in force after %v", killed, took)
	})
}

func (f *fleet) readers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, v := range f.views {
		if v.IsReader() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func TestHalfOfTheListIsStale(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		for i := range 20 {
			f.platform.vms = append(f.platform.vms,
				&bramleyv1.VM{Name: "gone", Place: "north", Address: address(1, 100+i)},
				&bramleyv1.VM{Name: "gone", Place: "south", Address: address(2, 100+i)})
		}
		f.inForceAtStart(20)
		took := f.inForce(f.platform.publish(treeValue(6)), inForceTarget)
		t.Logf("in force after %v", took)
	})
}

func TestPartitionBetweenPlacesHeals(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.inForceAtStart(8)
		cutOff := func(address string) bool { return address[:len("127.0.2")] == "127.0.2" }
		f.setCut(func(from, to string) bool { return cutOff(from) != cutOff(to) })
		// A watch that waits already would still deliver; let it end.
		f.advance(time.Minute)
		f.platform.publish(treeValue(6))
		f.advance(time.Hour)
		north, south := f.views[address(1, 0)].Revision(), f.views[address(2, 0)].Revision()
		if north != 2 || south != 1 {
			t.Fatalf("during the partition: north %d, south %d", north, south)
		}
		if err := f.views[address(2, 0)].Ready(); err != nil {
			t.Fatalf("the side without the platform stopped serving: %v", err)
		}
		f.setCut(func(string, string) bool { return false })
		took := f.inForce(2, inForceTarget)
		t.Logf("in force %v after the partition healed", took)
	})
}

func (f *fleet) setCut(cut func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func TestTwoRevisionsInARace(t *testing.T) {
	run(t, func(_ *testing.T, f *fleet) {
		f.inForceAtStart(10)
		f.platform.publish(treeValue(6))
		f.advance(time.Millisecond)
		f.inForce(f.platform.publish(treeValue(7)), inForceTarget)
	})
}

func TestBadRevisionBetweenTwoGood(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.inForceAtStart(10)
		f.platform.publish("firm: [")
		f.advance(inForceTarget)
		for address, v := range f.views {
			status := v.Status()
			if status.GetRevision() != 1 || status.GetRefusedRevision() != 2 || len(status.GetFindings()) == 0 {
				t.Fatalf("%s: in force %d, refused %d, findings %v",
					address, status.GetRevision(), status.GetRefusedRevision(), status.GetFindings())
			}
		}
		f.inForce(f.platform.publish(treeValue(7)), inForceTarget)
	})
}

func TestFrozenOverThreeChanges(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.inForceAtStart(8)
		frozen := f.views[address(1, 5)]
		f.freeze(address(1, 5))
		for slots := range 3 {
			f.platform.publish(treeValue(6 + slots))
			f.advance(time.Minute)
		}
		if frozen.Revision() > 2 {
			t.Fatalf("the frozen process holds %d", frozen.Revision())
		}
		f.unfreeze(address(1, 5))
		f.inForce(4, inForceTarget)
		f.advance(5 * time.Second)
		if err := frozen.Ready(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMassRestartStaysWithinTheCallBudget starts 100 processes of a fleet of 64,100 at once. In the
// time in which the whole budget allows each process of the fleet two calls, they may make 200.
// Readers are counted apart, since their number does not grow with the fleet.
func TestMassRestartStaysWithinTheCallBudget(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		const budget, perPlace = 2000, 50
		f.size = 64100
		f.platform.publish(treeValue(5))
		startPlaces(f, perPlace)
		f.advance(time.Duration(f.size) * 2 * time.Second / budget)
		calls := 0
		for address, v := range f.views {
			if !v.IsReader() {
				calls += f.callsOf(address)
			}
		}
		t.Logf("%d calls by followers, %d of %d behind", calls, len(f.behind(1)), 2*perPlace)
		if calls > 2*2*perPlace {
			t.Fatalf("%d calls", calls)
		}
	})
}

func (f *fleet) callsOf(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[address]
}

func TestBootstrapWithThePlatformDown(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.inForceAtStart(5)
		f.platform.fault(true, nil)
		f.advance(time.Minute)
		f.seeds = []string{address(1, 0), address(2, 0)}
		v := f.start(address(1, 50), "north", false)
		if v.Ready() == nil {
			t.Fatal("ready before it has asked anybody")
		}
		took := f.inForce(1, inForceTarget)
		f.advance(time.Second)
		if err := v.Ready(); err != nil {
			t.Fatalf("%v after %v", err, took)
		}
	})
}

// TestStalePlatformAtStart starts a process while the platform answers with an older revision than
// its peers hold.
func TestStalePlatformAtStart(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.inForceAtStart(5)
		f.inForce(f.platform.publish(treeValue(6)), inForceTarget)
		f.platform.fault(false, &bramleyv1.GetResponse{Revision: 1, Value: []byte(treeValue(5))})
		f.seeds = []string{address(1, 0), address(2, 0)}
		v := f.start(address(1, 50), "north", true)
		for range 200 {
			f.advance(50 * time.Millisecond)
			if v.Ready() == nil && v.Revision() != 2 {
				t.Fatalf("ready at revision %d", v.Revision())
			}
		}
		if v.Ready() != nil {
			t.Fatal(v.Ready())
		}
	})
}

// TestChangeOfALargeTreeSpreadsAsADelta checks that followers receive far less than the tree.
func TestChangeOfALargeTreeSpreadsAsADelta(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		padding := strings.Repeat("# padding of a large tree\n", 4<<10)
		f.platform.publish(treeValue(5) + padding)
		startPlaces(f, 10)
		f.inForce(1, time.Minute)
		f.advance(30 * time.Second)
		before := f.configurationBytes()
		f.inForce(f.platform.publish(treeValue(6)+padding), inForceTarget)
		f.advance(inForceTarget)
		received := (f.configurationBytes() - before) / uint64(len(f.views))
		if received > uint64(len(padding))/10 {
			t.Fatalf("%d bytes a process for a change of one digit", received)
		}
		t.Logf("%d bytes a process", received)
	})
}

func (f *fleet) configurationBytes() uint64 {
	total := uint64(0)
	for _, v := range f.views {
		total += v.config.Meter.Bytes()["configuration"]
	}
	return total
}
