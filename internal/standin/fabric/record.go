package fabric

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"net/netip"
	"sync/atomic"
	"time"
)

// recordQueue bounds the packets that wait to be written.
const recordQueue = 4096

// recordedHeader is how many bytes of each packet are kept: the long or short header with its IDs.
const recordedHeader = 48

// Packet is one line of a recorded trace.
type Packet struct {
	// AtMicroseconds is the time since the start of the record.
	AtMicroseconds int64          `json:"at_us"`
	Service        string         `json:"service"`
	Caller         netip.AddrPort `json:"caller"`
	Balancer       netip.AddrPort `json:"balancer"`
	Bytes          int            `json:"bytes"`
	// Header is the start of the packet, in hexadecimal.
	Header string `json:"header"`
}

// Recorder writes forwarded packets as JSON lines; it drops and counts what the writer can't follow.
type Recorder struct {
	start   time.Time
	packets chan Packet
	dropped atomic.Uint64
}

// NewRecorder returns a recorder; Run writes what it records.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), packets: make(chan Packet, recordQueue)}
}

// Run writes packets until done is closed.
func (r *Recorder) Run(done <-chan struct{}, w io.Writer) error {
	encoder := json.NewEncoder(w)
	for {
		select {
		case p := <-r.packets:
			if err := encoder.Encode(p); err != nil {
				return err
			}
		case <-done:
			return nil
		}
	}
}

func (r *Recorder) packet(service string, caller, balancer netip.AddrPort, data []byte) {
	if r == nil {
		return
	}
	p := Packet{
		AtMicroseconds: time.Since(r.start).Microseconds(),
		Service:        service,
		Caller:         caller,
		Balancer:       balancer,
		Bytes:          len(data),
		Header:         hex.EncodeToString(data[:min(len(data), recordedHeader)]),
	}
	select {
	case r.packets <- p:
	default:
		r.dropped.Add(1)
	}
}
