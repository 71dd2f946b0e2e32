package view

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// convergenceTarget is the maximum time until every process has applied a change.
const convergenceTarget = 6 * time.Second

// treeValue returns a valid settings tree with two upstreams in each of two places.
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

// startPlaces starts perPlace views in each of two places.
func startPlaces(f *fleet, perPlace int) {
	for i := range perPlace {
		f.start(address(1, i), "north", true)
		f.start(address(2, i), "south", true)
	}
}

func runWithFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		test(t, f)
		f.stop()
	})
}

func TestChangeReachesAllProcesses(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		f.startSettled(20)
		took := f.waitForRevision(f.platform.publish(treeValue(6)), convergenceTarget)
		t.Logf("applied everywhere after %v", took)
	})
}

// startSettled starts two places and waits until every process has applied the first revision and
// is ready.
func (f *fleet) startSettled(perPlace int) {
	f.platform.publish(treeValue(5))
	startPlaces(f, perPlace)
	f.waitForRevision(1, time.Minute)
	f.advance(30 * time.Second)
	for address, v := range f.views {
		if err := v.Ready(); err != nil {
			f.t.Fatalf("%s: %v", address, err)
		}
	}
}

func TestNoRevertToStalePlatformAfterOutage(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		f.startSettled(8)
		old := &bramleyv1.GetResponse{Revision: 1, Value: []byte(treeValue(5))}
		f.waitForRevision(f.platform.publish(treeValue(6)), convergenceTarget)
		f.platform.setFault(true, nil)
		f.advance(time.Hour)
		f.platform.setFault(false, old)
		f.advance(time.Minute)
		if behind := f.behind(2); len(behind) > 0 {
			t.Fatalf("not at revision 2 after the outage: %v", behind)
		}
		f.platform.setFault(false, nil)
		f.waitForRevision(f.platform.publish(treeValue(7)), convergenceTarget)
	})
}

func TestAllReadersKilled(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		f.startSettled(20)
		killed := 0
		for _, address := range f.readers() {
			f.kill(address)
			killed++
		}
		took := f.waitForRevision(f.platform.publish(treeValue(6)), convergenceTarget)
		t.Logf("%d readers killed, applied everywhere after %v", killed, took)
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

func TestHalfOfVMListStale(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		for i := range 20 {
			f.platform.vms = append(f.platform.vms,
				&bramleyv1.VM{Name: "gone", Place: "north", Address: address(1, 100+i)},
				&bramleyv1.VM{Name: "gone", Place: "south", Address: address(2, 100+i)})
		}
		f.startSettled(20)
		took := f.waitForRevision(f.platform.publish(treeValue(6)), convergenceTarget)
		t.Logf("applied everywhere after %v", took)
	})
}

func TestPartitionBetweenPlacesHeals(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		f.startSettled(8)
		cutOff := func(address string) bool { return address[:len("127.0.2")] == "127.0.2" }
		f.setPartition(func(from, to string) bool { return cutOff(from) != cutOff(to) })
		// A watch that is already pending would still return the new value, so wait until it has
		// timed out.
		f.advance(time.Minute)
		f.platform.publish(treeValue(6))
		f.advance(time.Hour)
		north, south := f.views[address(1, 0)].Revision(), f.views[address(2, 0)].Revision()
		if north != 2 || south != 1 {
			t.Fatalf("revisions during the partition: north %d, south %d; want 2 and 1", north, south)
		}
		if err := f.views[address(2, 0)].Ready(); err != nil {
			t.Fatalf("view cut off from the platform is not ready: %v", err)
		}
		f.setPartition(func(string, string) bool { return false })
		took := f.waitForRevision(2, convergenceTarget)
		t.Logf("applied everywhere %v after the partition healed", took)
	})
}

func (f *fleet) setPartition(cut func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = cut
}

func TestRevisionsInQuickSuccession(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, f *fleet) {
		f.startSettled(10)
		f.platform.publish(treeValue(6))
		f.advance(time.Millisecond)
		f.waitForRevision(f.platform.publish(treeValue(7)), convergenceTarget)
	})
}

func TestInvalidRevisionIsRefused(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		f.startSettled(10)
		f.platform.publish("firm: [")
		f.advance(convergenceTarget)
		for address, v := range f.views {
			status := v.Status()
			if status.GetRevision() != 1 || status.GetRefusedRevision() != 2 || len(status.GetFindings()) == 0 {
				t.Fatalf("%s: current revision %d, refused revision %d, findings %v; want 1, 2 and some findings",
					address, status.GetRevision(), status.GetRefusedRevision(), status.GetFindings())
			}
		}
		f.waitForRevision(f.platform.publish(treeValue(7)), convergenceTarget)
	})
}

func TestFrozenProcessCatchesUp(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		f.startSettled(8)
		frozen := f.views[address(1, 5)]
		f.freeze(address(1, 5))
		for slots := range 3 {
			f.platform.publish(treeValue(6 + slots))
			f.advance(time.Minute)
		}
		if frozen.Revision() > 2 {
			t.Fatalf("frozen process applied revision %d", frozen.Revision())
		}
		f.unfreeze(address(1, 5))
		f.waitForRevision(4, convergenceTarget)
		f.advance(5 * time.Second)
		if err := frozen.Ready(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMassRestartStaysWithinCallBudget starts 100 processes of a fleet of 64,100 at once. It runs
// for the time in which the platform's budget allows two calls for each process of the fleet, so
// the 100 may make 200. Calls of readers are excluded, since the number of readers does not grow
// with the fleet.
func TestMassRestartStaysWithinCallBudget(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		const budget, perPlace = 2000, 50
		f.assumedSize = 64100
		f.platform.publish(treeValue(5))
		startPlaces(f, perPlace)
		f.advance(time.Duration(f.assumedSize) * 2 * time.Second / budget)
		calls := 0
		for address, v := range f.views {
			if !v.IsReader() {
				calls += f.callsOf(address)
			}
		}
		t.Logf("%d calls by processes other than readers, %d of %d views behind", calls, len(f.behind(1)), 2*perPlace)
		if calls > 2*2*perPlace {
			t.Fatalf("processes other than readers made %d calls", calls)
		}
	})
}

func (f *fleet) callsOf(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[address]
}

func TestBootstrapDuringPlatformOutage(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		f.startSettled(5)
		f.platform.setFault(true, nil)
		f.advance(time.Minute)
		f.seeds = []string{address(1, 0), address(2, 0)}
		v := f.start(address(1, 50), "north", false)
		if v.Ready() == nil {
			t.Fatal("ready before it asked a peer")
		}
		took := f.waitForRevision(1, convergenceTarget)
		f.advance(time.Second)
		if err := v.Ready(); err != nil {
			t.Fatalf("not ready: %v; caught up after %v", err, took)
		}
	})
}

// TestStalePlatformAtStart starts a process while the platform returns an older revision than its
// peers hold. The process must not become ready with the stale revision.
func TestStalePlatformAtStart(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		f.startSettled(5)
		f.waitForRevision(f.platform.publish(treeValue(6)), convergenceTarget)
		f.platform.setFault(false, &bramleyv1.GetResponse{Revision: 1, Value: []byte(treeValue(5))})
		f.seeds = []string{address(1, 0), address(2, 0)}
		v := f.start(address(1, 50), "north", true)
		for range 200 {
			f.advance(50 * time.Millisecond)
			if v.Ready() == nil && v.Revision() != 2 {
				t.Fatalf("ready at stale revision %d", v.Revision())
			}
		}
		if v.Ready() != nil {
			t.Fatal(v.Ready())
		}
	})
}

// TestChangeOfLargeTreeSentAsDelta checks that a small change of a large settings tree costs each
// process less than a tenth of the size of the tree.
func TestChangeOfLargeTreeSentAsDelta(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		padding := strings.Repeat("# padding of a large tree\n", 4<<10)
		f.platform.publish(treeValue(5) + padding)
		startPlaces(f, 10)
		f.waitForRevision(1, time.Minute)
		f.advance(30 * time.Second)
		before := f.configurationBytes()
		f.waitForRevision(f.platform.publish(treeValue(6)+padding), convergenceTarget)
		f.advance(convergenceTarget)
		received := (f.configurationBytes() - before) / uint64(len(f.views))
		if received > uint64(len(padding))/10 {
			t.Fatalf("%d bytes per process for a change of one digit", received)
		}
		t.Logf("%d bytes per process", received)
	})
}

func (f *fleet) configurationBytes() uint64 {
	total := uint64(0)
	for _, v := range f.views {
		total += v.config.Meter.Bytes()["configuration"]
	}
	return total
}
