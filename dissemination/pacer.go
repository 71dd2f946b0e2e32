package dissemination

import (
	"math"
	"math/rand"
	"time"
)

// PacerConfig holds the times of a Pacer.
type PacerConfig struct {
	// WatchTimeout is how long the reader lets one watch of the store wait for news. A short one finds a dead reader
	// and a silent store sooner; a long one saves calls.
	WatchTimeout time.Duration
	// MinReadInterval is the least time between two reads of the reader. Changes that come in quick succession are read
	// together; a long one delays them.
	MinReadInterval time.Duration
	// MinTakeoverAge is the least age of the view at which another process reads the store. It must exceed Wait and
	// the time that a confirmation needs to spread.
	MinTakeoverAge time.Duration
	// TakeoverAgeSpread is the time over which the processes of a fleet begin to read after that. A long one makes
	// several readers at once less likely; a short one finds the next reader sooner.
	TakeoverAgeSpread time.Duration
	// Backoff is the mean time until a process tries again after a read that failed. It doubles with each
	// failure up to MaxBackoff, which bounds how late a process sees the end of an outage.
	Backoff, MaxBackoff time.Duration
}

// DefaultPacerConfig returns times that put a change in force within two seconds of the loss of a reader.
func DefaultPacerConfig() PacerConfig {
	return PacerConfig{
		WatchTimeout:      600 * time.Millisecond,
		MinReadInterval:   150 * time.Millisecond,
		MinTakeoverAge:    850 * time.Millisecond,
		TakeoverAgeSpread: time.Second,
		Backoff:           250 * time.Millisecond,
		MaxBackoff:        time.Second,
	}
}

// Pacer decides when one process reads the store. There is no election: the process whose view is too old
// first reads, its confirmation spreads to the others before they come to it, and from then on it watches
// the store for all. When it falls silent, the next one takes over. A Pacer is not safe for concurrent use.
type Pacer struct {
	config PacerConfig
	self   uint64
	rnd    *rand.Rand
	// reading says that this process watches the store for the others.
	reading bool
	// patience is the age of the view at which this process reads.
	patience time.Duration
	notUntil time.Duration
	backoff  time.Duration
}

// NewPacer returns the pacer of the process that is identified by self.
func NewPacer(config PacerConfig, self uint64, rnd *rand.Rand) *Pacer {
	p := &Pacer{config: config, self: self, rnd: rnd}
	p.draw()
	return p
}

// patienceBias makes few of many processes draw a short patience, so that a large fleet does not read at once.
const patienceBias = 1.0 / 3

func (p *Pacer) draw() {
	p.patience = p.config.MinTakeoverAge + time.Duration(math.Pow(p.rnd.Float64(), patienceBias)*float64(p.config.TakeoverAgeSpread))
}

// Reading reports whether this process watches the store for the others.
func (p *Pacer) Reading() bool {
	return p.reading
}

// Next returns how long the process may wait until it reads the store, given when its view was confirmed.
// Zero means now.
func (p *Pacer) Next(now, confirmed time.Duration) time.Duration {
	due := p.notUntil
	if !p.reading {
		due = max(due, confirmed+p.patience)
	}
	return max(0, due-now)
}

// Succeeded notes that the store answered this process, and when its view was confirmed before. The process
// watches for the others from then on, unless another one has confirmed the view meanwhile.
func (p *Pacer) Succeeded(now, confirmed time.Duration) {
	p.reading = p.reading || now-confirmed >= p.config.MinTakeoverAge
	p.backoff = 0
	p.notUntil = now + p.config.MinReadInterval
	p.draw()
}

// Failed notes that the store did not answer. The process leaves the next read to others for a while.
func (p *Pacer) Failed(now time.Duration) {
	p.reading = false
	p.backoff = min(max(2*p.backoff, p.config.Backoff), p.config.MaxBackoff)
	p.notUntil = now + p.backoff/2 + time.Duration(p.rnd.Int63n(int64(p.backoff)))
	p.draw()
}

// PeerConfirmed notes that another process has confirmed the view at a time. Of two readers the one with the higher
// identity leaves the watch to the other.
func (p *Pacer) PeerConfirmed(now, confirmed time.Duration, reader uint64) {
	if p.reading && reader < p.self && now-confirmed < p.config.MinTakeoverAge {
		p.reading = false
		p.draw()
	}
}
