package agent

import "github.com/quic-go/quic-go"

// MinReset exports minReset.
const MinReset = minReset

// Resetter exports resetter.
type Resetter struct{ r *resetter }

// NewResetter exports newResetter.
func NewResetter(key quic.StatelessResetKey) Resetter { return Resetter{newResetter(key)} }

// Answer returns the stateless reset for a packet of the given size, or nil.
func (r Resetter) Answer(id []byte, size int) []byte { return r.r.answer(id, size) }
