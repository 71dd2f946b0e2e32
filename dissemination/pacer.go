package dissemination

import (
	"math"
	"math/rand"
	"time"
)

// PacerConfig holds the intervals of a Pacer.
type PacerConfig struct {
	// WatchTimeout is how long one watch call of the reader waits for a change in the store. A shorter
	// timeout detects a dead reader or an unresponsive store sooner; a longer one saves calls.
	WatchTimeout time.Duration
	// MinReadInterval is the minimum time between two reads of the reader. Changes in quick succession
	// are read together. A longer interval delays them.
	MinReadInterval time.Duration
	// MinTakeoverAge is the minimum age of its view at which a process other than the reader reads the
	// store. It must exceed WatchTimeout plus the time that a confirmation takes to reach all processes.
	MinTakeoverAge time.Duration
	// TakeoverAgeSpread is the range above MinTakeoverAge from which processes draw their takeover ages.
	// A larger spread makes several concurrent readers less likely; a smaller one replaces a dead reader
	// sooner.
	TakeoverAgeSpread time.Duration
	// OutpacedAfter is how long a reader continues while other processes confirm their views only by another
	// reader. It must exceed the time in which its own confirmations reach its peers and return.
	OutpacedAfter time.Duration
	// Backoff is the mean delay after a failed read. It doubles with each failure up to MaxBackoff,
	// which limits how late a process notices the end of an outage.
	Backoff, MaxBackoff time.Duration
}

// DefaultPacerConfig returns intervals with which a change takes effect within two seconds of the loss
// of a reader.
func DefaultPacerConfig() PacerConfig {
	return PacerConfig{
		WatchTimeout:      600 * time.Millisecond,
		MinReadInterval:   150 * time.Millisecond,
		MinTakeoverAge:    850 * time.Millisecond,
		TakeoverAgeSpread: time.Second,
		OutpacedAfter:     2 * time.Second,
		Backoff:           250 * time.Millisecond,
		MaxBackoff:        time.Second,
	}
}

// Pacer decides when one process reads the store, so that usually one process, the reader, watches it
// for all. There is no election: the process whose view first exceeds its takeover age reads the store
// and becomes the reader. Its confirmations reach the others before their views reach their takeover
// ages. If the confirmations stop, the next process takes over. A Pacer is not safe for concurrent use.
type Pacer struct {
	config   PacerConfig
	self     uint64
	rnd      *rand.Rand
	isReader bool
	// takeoverAge is the age of the view at which this process reads the store.
	takeoverAge  time.Duration
	earliestRead time.Duration
	backoff      time.Duration
	// ownSeen is when a peer last stated that its view was confirmed by this process, or when it became the reader.
	ownSeen time.Duration
}

// NewPacer returns the Pacer of the process with the identity self.
func NewPacer(config PacerConfig, self uint64, rnd *rand.Rand) *Pacer {
	p := &Pacer{config: config, self: self, rnd: rnd}
	p.drawTakeoverAge()
	return p
}

// takeoverAgeExponent skews the random takeover ages towards the maximum. Few processes draw a low one,
// so that not many processes of a large fleet read at once.
const takeoverAgeExponent = 1.0 / 3

func (p *Pacer) drawTakeoverAge() {
	p.takeoverAge = p.config.MinTakeoverAge + time.Duration(math.Pow(p.rnd.Float64(), takeoverAgeExponent)*float64(p.config.TakeoverAgeSpread))
}

// IsReader reports whether this process is the reader.
func (p *Pacer) IsReader() bool {
	return p.isReader
}

// Next returns how long the process must wait before it reads the store, given when its view was last
// confirmed. Zero means that it reads now.
func (p *Pacer) Next(now, confirmed time.Duration) time.Duration {
	due := p.earliestRead
	if !p.isReader {
		due = max(due, confirmed+p.takeoverAge)
	}
	return max(0, due-now)
}

// Succeeded records a successful read. confirmed is when the view was last confirmed before the read.
// The process becomes the reader unless another process has confirmed the view in the meantime.
func (p *Pacer) Succeeded(now, confirmed time.Duration) {
	if !p.isReader && now-confirmed >= p.config.MinTakeoverAge {
		p.isReader, p.ownSeen = true, now
	}
	p.backoff = 0
	p.earliestRead = now + p.config.MinReadInterval
	p.drawTakeoverAge()
}

// Failed records a failed read. The process stops being the reader and backs off, so that another
// process reads next.
func (p *Pacer) Failed(now time.Duration) {
	p.isReader = false
	p.backoff = min(max(2*p.backoff, p.config.Backoff), p.config.MaxBackoff)
	p.earliestRead = now + p.backoff/2 + time.Duration(p.rnd.Int63n(int64(p.backoff)))
	p.drawTakeoverAge()
}

// PeerConfirmed records that, according to a peer, the process with the identity reader confirmed the view at the given
// time. If both are readers, the one with the higher identity stops. So does one whose own confirmations no peer uses,
// because those of another reader are always more recent.
func (p *Pacer) PeerConfirmed(now, confirmed time.Duration, reader uint64) {
	if reader == p.self {
		p.ownSeen = now
		return
	}
	outpaced := now-p.ownSeen > p.config.OutpacedAfter
	if p.isReader && (reader < p.self || outpaced) && now-confirmed < p.config.MinTakeoverAge {
		p.isReader = false
		p.drawTakeoverAge()
	}
}
