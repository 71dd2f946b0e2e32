package dissemination_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/dissemination"
)

// pacedFleet simulates pacers in steps of one millisecond. Confirmations reach the other processes
// after a delay.
type pacedFleet struct {
	pacers    []*dissemination.Pacer
	config    dissemination.PacerConfig
	confirmed []time.Duration
	// ends holds the time at which the current read of each process ends, or zero if it has none.
	ends  []time.Duration
	reads int
	// dead processes do nothing. The store rejects the reads of rejected processes.
	dead, rejected map[int]bool
	now            time.Duration
	propagation    time.Duration
	undelivered    []confirmation
}

func newPacedFleet(size int) *pacedFleet {
	f := &pacedFleet{
		config:      dissemination.DefaultPacerConfig(),
		confirmed:   make([]time.Duration, size),
		ends:        make([]time.Duration, size),
		dead:        map[int]bool{},
		rejected:    map[int]bool{},
		propagation: 50 * time.Millisecond,
	}
	for i := range size {
		f.pacers = append(f.pacers, dissemination.NewPacer(f.config, uint64(i), rand.New(rand.NewSource(int64(i)))))
	}
	return f
}

func (f *pacedFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += time.Millisecond {
		for i := range f.pacers {
			if !f.dead[i] {
				f.step(i)
			}
		}
		f.gossip()
	}
}

func (f *pacedFleet) step(i int) {
	p := f.pacers[i]
	if f.ends[i] > 0 && f.now >= f.ends[i] {
		f.ends[i] = 0
		if f.rejected[i] {
			p.Failed(f.now)
			return
		}
		p.Succeeded(f.now, f.confirmed[i])
		f.confirmed[i] = f.now
		f.undelivered = append(f.undelivered, confirmation{at: f.now, reader: i})
	}
	if f.ends[i] > 0 || p.Next(f.now, f.confirmed[i]) > 0 {
		return
	}
	f.reads++
	f.ends[i] = f.now + 5*time.Millisecond
	if p.IsReader() {
		f.ends[i] += f.config.WatchTimeout
	}
}

// confirmation is a successful read of the store by a process.
type confirmation struct {
	at     time.Duration
	reader int
}

// gossip delivers each confirmation to all processes after the propagation delay.
func (f *pacedFleet) gossip() {
	for len(f.undelivered) > 0 && f.now >= f.undelivered[0].at+f.propagation {
		c := f.undelivered[0]
		f.undelivered = f.undelivered[1:]
		for i := range f.confirmed {
			if !f.dead[i] && i != c.reader {
				f.confirmed[i] = max(f.confirmed[i], c.at)
				f.pacers[i].PeerConfirmed(f.now, c.at, uint64(c.reader))
			}
		}
	}
}

func (f *pacedFleet) readers() (readers []int) {
	for i, p := range f.pacers {
		if p.IsReader() && !f.dead[i] {
			readers = append(readers, i)
		}
	}
	return readers
}

// oldest returns the age of the oldest view among the live processes.
func (f *pacedFleet) oldest() time.Duration {
	oldest := time.Duration(0)
	for i, at := range f.confirmed {
		if !f.dead[i] {
			oldest = max(oldest, f.now-at)
		}
	}
	return oldest
}

func TestExactlyOneProcessIsReader(t *testing.T) {
	for _, size := range []int{2, 14, 100, 1000} {
		f := newPacedFleet(size)
		f.run(5 * time.Second)
		f.reads = 0
		f.run(20 * time.Second)
		if got := len(f.readers()); got != 1 {
			t.Errorf("%d processes: %d readers, want 1", size, got)
		}
		if limit := int(20*time.Second/f.config.WatchTimeout) + 2; f.reads > limit {
			t.Errorf("%d processes: %d reads in 20 s, want at most %d", size, f.reads, limit)
		}
	}
}

func TestAnotherProcessTakesOverFromADeadReader(t *testing.T) {
	const bound = 2 * time.Second
	for _, size := range []int{2, 14, 100, 1000} {
		f := newPacedFleet(size)
		f.run(5 * time.Second)
		f.dead[f.readers()[0]] = true
		f.reads = 0
		maxAge := time.Duration(0)
		for range 300 {
			f.run(10 * time.Millisecond)
			maxAge = max(maxAge, f.oldest())
		}
		if maxAge > bound {
			t.Errorf("%d processes: a view was %v old, want at most %v", size, maxAge, bound)
		}
		if f.reads > 40 {
			t.Errorf("%d processes: %d reads in the 3 s after the reader died, want at most 40", size, f.reads)
		}
	}
}

func TestProcessesThatTheStoreRejectsDoNotStayReader(t *testing.T) {
	const bound = 2500 * time.Millisecond
	f := newPacedFleet(14)
	f.run(5 * time.Second)
	reader := f.readers()[0]
	for i := range 7 {
		f.rejected[(reader+i)%14] = true
	}
	maxAge := time.Duration(0)
	for range 1000 {
		f.run(10 * time.Millisecond)
		maxAge = max(maxAge, f.oldest())
	}
	if maxAge > bound {
		t.Errorf("a view was %v old, want at most %v", maxAge, bound)
	}
	for _, i := range f.readers() {
		if f.rejected[i] {
			t.Errorf("process %d is a reader, although the store rejects its reads", i)
		}
	}
}

func TestReaderKeepsMinimumTimeBetweenReads(t *testing.T) {
	config := dissemination.DefaultPacerConfig()
	p := dissemination.NewPacer(config, 1, rand.New(rand.NewSource(1)))
	now := time.Hour
	p.Succeeded(now, 0)
	if wait := p.Next(now+time.Millisecond, now); wait != config.MinReadInterval-time.Millisecond {
		t.Fatalf("next read is due after %v, want the minimum interval less the 1 ms that has passed", wait)
	}
}

func TestReadRateIsLimitedDuringAnOutageOfTheStore(t *testing.T) {
	f := newPacedFleet(100)
	f.run(5 * time.Second)
	for i := range f.pacers {
		f.rejected[i] = true
	}
	f.run(5 * time.Second)
	f.reads = 0
	f.run(10 * time.Second)
	// Each process reads about once per maximum backoff, which varies by half.
	if limit := 100 * 10 * 2; f.reads > limit {
		t.Errorf("%d reads in 10 s of an outage, want at most %d", f.reads, limit)
	}
}

// TestReaderWhoseConfirmationsNobodyUsesStops covers two readers whose watches return at the same changes. Peers keep
// the confirmation of the one whose calls start later, so the other one, although it has the lower identity, never
// reaches it.
func TestReaderWhoseConfirmationsNobodyUsesStops(t *testing.T) {
	config := dissemination.DefaultPacerConfig()
	newReader := func(self uint64) *dissemination.Pacer {
		p := dissemination.NewPacer(config, self, rand.New(rand.NewSource(int64(self))))
		p.Succeeded(time.Hour, 0)
		return p
	}
	low, high := newReader(1), newReader(2)
	now := time.Hour
	for range 60 {
		now += 50 * time.Millisecond
		low.PeerConfirmed(now, now-20*time.Millisecond, 2)
		high.PeerConfirmed(now, now-20*time.Millisecond, 2)
		if now-time.Hour < time.Second && !low.IsReader() {
			t.Fatal("a reader stopped before its confirmations could have spread")
		}
	}
	if low.IsReader() {
		t.Error("the reader whose confirmations nobody uses did not stop")
	}
	if !high.IsReader() {
		t.Error("no reader is left")
	}
}
