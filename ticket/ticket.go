// Package ticket ensures that a request that is not idempotent runs at most once.
//
// A ticket is minted by one incarnation of one server, its owner, and only the owner may start the
// request that carries it. The owner's Ledger records the state of each ticket, so servers need no
// consensus. The package reads no clock: age, the time since the calling process started, by a monotonic
// clock, is passed in.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

const (
	// Size is the length of a sealed ticket in bytes.
	Size = bodySize + macSize
	// KeySize is the length of a sealing key in bytes.
	KeySize = 32

	bodySize = 32
	macSize  = 16
)

// ErrInvalid means that a ticket is malformed or was not sealed with a current or previous key.
var ErrInvalid = errors.New("invalid ticket")

// Ticket permits one run of one request.
type Ticket struct {
	Service     uint32
	Server      uint32
	Incarnation uint64
	Sequence    uint64
	// Issued is the age of the owner when it minted the ticket, in whole milliseconds.
	Issued time.Duration
}

// Sealer seals tickets with the current key and opens tickets sealed with the current or the previous
// key. Sealing authenticates a ticket with a truncated HMAC-SHA256; it does not encrypt it.
type Sealer struct {
	keys [][]byte
}

// NewSealer returns a Sealer. previous may be nil.
func NewSealer(current, previous []byte) (*Sealer, error) {
	s := &Sealer{keys: [][]byte{current}}
	if previous != nil {
		s.keys = append(s.keys, previous)
	}
	for _, key := range s.keys {
		if len(key) != KeySize {
			return nil, fmt.Errorf("ticket key has %d bytes, want %d", len(key), KeySize)
		}
	}
	return s, nil
}

// Seal encodes t and appends its authentication code.
func (s *Sealer) Seal(t Ticket) []byte {
	b := make([]byte, 0, Size)
	b = binary.BigEndian.AppendUint32(b, t.Service)
	b = binary.BigEndian.AppendUint32(b, t.Server)
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Issued.Milliseconds()))
	return append(b, authenticate(s.keys[0], b)...)
}

// Open verifies and decodes a sealed ticket. It returns ErrInvalid if the verification fails.
func (s *Sealer) Open(b []byte) (Ticket, error) {
	if len(b) != Size {
		return Ticket{}, ErrInvalid
	}
	body, mac := b[:bodySize], b[bodySize:]
	for _, key := range s.keys {
		if hmac.Equal(mac, authenticate(key, body)) {
			return decode(body), nil
		}
	}
	return Ticket{}, ErrInvalid
}

func decode(body []byte) Ticket {
	return Ticket{
		Service:     binary.BigEndian.Uint32(body[0:]),
		Server:      binary.BigEndian.Uint32(body[4:]),
		Incarnation: binary.BigEndian.Uint64(body[8:]),
		Sequence:    binary.BigEndian.Uint64(body[16:]),
		Issued:      time.Duration(binary.BigEndian.Uint64(body[24:])) * time.Millisecond,
	}
}

func authenticate(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(make([]byte, 0, sha256.Size))[:macSize]
}
