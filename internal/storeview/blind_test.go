package storeview_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// restartedFleet starts a fleet whose processes have all been killed, while the store gives no process an answer.
func restartedFleet(t *testing.T, size int, seedsStart bool) *fleet {
	f := newFleet(t, 0)
	f.store.set(func(s *fakeStore) { s.ignore = func(int) bool { return true } })
	for range size {
		f.add()
		time.Sleep(time.Millisecond)
	}
	if !seedsStart {
		for seed := range 3 {
			f.kill(seed)
		}
	}
	return f
}

// TestReturnOfTheStoreIsNoticedAtOnce has the pattern of the loss of all processes during an outage of the store: nobody
// knows the configuration, and nothing is served until somebody has read it. All attempts to read it hang. The store
// returns at different phases of these attempts.
func TestReturnOfTheStoreIsNoticedAtOnce(t *testing.T) {
	tests := []struct {
		name       string
		seedsStart bool
		// limit is the longest time after the return until all processes have the view.
		limit time.Duration
	}{
		{"with seeds", true, 250 * time.Millisecond},
		{"without seeds", false, 1300 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for outage := 900 * time.Millisecond; outage < 2200*time.Millisecond; outage += 170 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					f := restartedFleet(t, 60, test.seedsStart)
					time.Sleep(outage)
					f.store.set(func(s *fakeStore) { s.ignore = func(int) bool { return false } })
					if took := f.await("the first view", func(*registry.View) bool { return true }); took > test.limit {
						t.Errorf("outage of %v: the last process has its view %v after the end, want at most %v", outage, took, test.limit)
					}
				})
			}
		})
	}
}

// TestBlindProcessesSpareTheStore bounds the calls of processes that have no view while the store refuses or does not
// answer. Each call is paid for, and the store limits the calls of all processes together.
func TestBlindProcessesSpareTheStore(t *testing.T) {
	const size, outage = 60, 10 * time.Second
	for name, refuse := range map[string]bool{"silent": false, "refusing": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := restartedFleet(t, size, true)
				f.store.set(func(s *fakeStore) {
					s.refuse = func(int) bool { return refuse }
					s.ignore = func(int) bool { return !refuse }
				})
				time.Sleep(time.Second)
				f.store.set(func(s *fakeStore) { s.calls = 0 })
				time.Sleep(outage)
				// One call a second of each process, and ten of each seed.
				if calls, most := f.store.callCount(), (size+3*10)*int(outage/time.Second); calls > most {
					t.Errorf("%d calls in %v, want at most %d", calls, outage, most)
				}
			})
		})
	}
}

// TestFirstViewFromAnAnswerThatComesLate covers reads that overlap: an earlier answer must not replace what a later read
// has shown.
func TestFirstViewFromAnAnswerThatComesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		f.store.set(func(s *fakeStore) { s.latency = 450 * time.Millisecond })
		for range 3 {
			f.add()
		}
		version := f.store.configure()
		f.awaitVersion(version)
		f.store.set(func(s *fakeStore) { s.latency = storeLatency })
		newest := f.store.configure()
		f.awaitVersion(newest)
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			for i, v := range f.views {
				if v.Current().Version() < newest {
					t.Fatalf("process %d went back to version %d", i, v.Current().Version())
				}
			}
		}
	})
}
