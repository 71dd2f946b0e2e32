package admission_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyrack/bramleyrack/admission"
)

const serviceTime = 100 * time.Millisecond

// TestGateNeverExceedsItsSlots applies random operations to a gate and checks that slots and queue stay
// within their limits, that every queued request is started or shed exactly once, and that no request
// starts that cannot finish before its deadline.
func TestGateNeverExceedsItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 7).Draw(t, "slots")
		length := rapid.IntRange(0, 10).Draw(t, "queue")
		g := admission.NewGate(admission.Config{Slots: slots, QueueLength: length, InitialServiceTime: serviceTime})
		deadlines := make(map[uint64]time.Duration)
		waiting := make(map[uint64]bool)
		running := 0
		var now time.Duration
		start := func(id uint64) {
			running++
			if now+serviceTime > deadlines[id] {
				t.Fatalf("request %d starts too late to meet its deadline", id)
			}
		}
		apply := func(change admission.Change) {
			for _, id := range append(change.Start, change.Shed...) {
				if !waiting[id] {
					t.Fatalf("request %d was not queued", id)
				}
				delete(waiting, id)
			}
			for _, id := range change.Start {
				start(id)
			}
		}
		for id := range uint64(100) {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				deadlines[id] = now + time.Duration(rapid.IntRange(0, 1000).Draw(t, "deadline"))*time.Millisecond
				switch g.Admit(now, id, deadlines[id]) {
				case admission.Run:
					start(id)
				case admission.Wait:
					waiting[id] = true
				}
			case 2:
				if running > 0 {
					running--
					apply(g.Done(now, serviceTime))
				}
			case 3:
				if ids := slices.Sorted(maps.Keys(waiting)); len(ids) > 0 {
					g.Cancel(ids[0])
					delete(waiting, ids[0])
				}
			}
			if running > slots || g.Busy() != running || g.Waiting() != len(waiting) || len(waiting) > length {
				t.Fatalf("running %d, busy %d, waiting %d of %d", running, g.Busy(), g.Waiting(), len(waiting))
			}
		}
	})
}

func TestEarliestDeadlineGoesFirst(t *testing.T) {
	g := admission.NewGate(admission.Config{Slots: 1, QueueLength: 4, InitialServiceTime: serviceTime})
	g.Admit(0, 1, time.Second)
	g.Admit(0, 2, 900*time.Millisecond)
	g.Admit(0, 3, 500*time.Millisecond)
	if change := g.Done(serviceTime, serviceTime); len(change.Start) != 1 || change.Start[0] != 3 {
		t.Fatalf("change %+v, want request 3 to start", change)
	}
}

func TestRetriesStayWithinTheirShare(t *testing.T) {
	b := admission.NewRetryBudget(0.1, 10)
	taken := 0
	for range 1000 {
		b.Success()
		for b.Take() {
			taken++
		}
	}
	if taken > 110 {
		t.Fatalf("%d retries for 1000 successes", taken)
	}
}

func TestRetryAfterIsSpread(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	seen := make(map[time.Duration]bool)
	for range 100 {
		delay := admission.RetryAfter(0, 200*time.Millisecond, rnd)
		if delay < 100*time.Millisecond || delay > 300*time.Millisecond {
			t.Fatalf("delay %v, want 100 ms to 300 ms", delay)
		}
		seen[delay] = true
	}
	if len(seen) < 90 {
		t.Fatalf("only %d different delays", len(seen))
	}
}

func TestSlowStartGrows(t *testing.T) {
	for up, want := range map[time.Duration]int{0: 1, 15 * time.Second: 2, 30 * time.Second: 5} {
		if got := admission.SlowStart(5, up, 30*time.Second); got != want {
			t.Errorf("got %d slots after %v, want %d", got, up, want)
		}
	}
}

func TestChoosePrefersFewerInFlight(t *testing.T) {
	peers := []admission.Peer{
		{Server: 1, InFlight: 3, Slots: 5},
		{Server: 2, InFlight: 0, Busy: 4, Slots: 5},
		{Server: 3, InFlight: 0, Busy: 5, Slots: 5},
	}
	rnd := rand.New(rand.NewSource(1))
	chosen := make(map[uint32]int)
	for range 1000 {
		server, ok := admission.ChoosePeer(peers, rnd)
		if !ok {
			t.Fatal("no peer was chosen")
		}
		chosen[server]++
	}
	if chosen[3] != 0 || chosen[2] < chosen[1] {
		t.Fatalf("chosen %v, want peer 3 never and peer 2 at least as often as peer 1", chosen)
	}
}

func Example() {
	gate := admission.NewGate(admission.Config{Slots: 1, QueueLength: 8, InitialServiceTime: 100 * time.Millisecond})
	fmt.Println(gate.Admit(0, 1, time.Second) == admission.Run)
	fmt.Println(gate.Admit(0, 2, time.Second) == admission.Wait)
	fmt.Println(gate.Admit(0, 3, 150*time.Millisecond) == admission.Shed)
	fmt.Println(gate.Done(100*time.Millisecond, 100*time.Millisecond).Start)
	// Output:
	// true
	// true
	// true
	// [2]
}

func BenchmarkAdmitAndDone(b *testing.B) {
	g := admission.NewGate(admission.Config{Slots: 5, QueueLength: 64, InitialServiceTime: serviceTime})
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		g.Admit(0, id, time.Hour)
		g.Done(0, serviceTime)
	}
}
