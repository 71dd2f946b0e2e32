package fabric

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"net/netip"
	"sync/atomic"
	"time"
)

// recordQueueLength is the number of packets that may wait to be written.
const recordQueueLength = 4096

// recordedHeaderBytes is the number of bytes that are recorded of each packet. It covers the long or short QUIC
// header with its connection IDs.
const recordedHeaderBytes = 48

// Packet is one line of a packet record.
type Packet struct {
	// AtMicroseconds is the time since the recorder was created.
	AtMicroseconds int64          `json:"at_us"`
	Service        string         `json:"service"`
	Caller         netip.AddrPort `json:"caller"`
	Balancer       netip.AddrPort `json:"balancer"`
	Bytes          int            `json:"bytes"`
	// Header holds the first bytes of the packet, in hexadecimal.
	Header string `json:"header"`
}

// Recorder writes the forwarded packets as JSON lines. It drops and counts packets that arrive faster than they
// can be written.
type Recorder struct {
	start   time.Time
	packets chan Packet
	dropped atomic.Uint64
}

// NewRecorder returns a recorder. Run must be running for it to write packets.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), packets: make(chan Packet, recordQueueLength)}
}

// Run writes recorded packets until done is closed.
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

// record queues a packet to be written. A nil recorder records nothing.
func (r *Recorder) record(service string, caller, balancer netip.AddrPort, data []byte) {
	if r == nil {
		return
	}
	p := Packet{
		AtMicroseconds: time.Since(r.start).Microseconds(),
		Service:        service,
		Caller:         caller,
		Balancer:       balancer,
		Bytes:          len(data),
		Header:         hex.EncodeToString(data[:min(len(data), recordedHeaderBytes)]),
	}
	select {
	case r.packets <- p:
	default:
		r.dropped.Add(1)
	}
}
