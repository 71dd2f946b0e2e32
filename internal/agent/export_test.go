package agent

import "github.com/quic-go/quic-go"

// MinReset is the smallest reset, for tests.
const MinReset = minReset

// Resetter gives tests the answers to small packets.
type Resetter struct{ r *resetter }

// NewResetter returns a Resetter.
func NewResetter(key quic.StatelessResetKey) Resetter { return Resetter{newResetter(key)} }

// Answer returns the answer to a packet.
func (r Resetter) Answer(id []byte, size int) []byte { return r.r.answer(id, size) }
