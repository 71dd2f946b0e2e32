package view

import (
	"github.com/bramleyrack/bramleyrack/dissemination"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// newDelta returns the delta from an accepted revision to a newer value. It returns nil without a
// base, or if the delta would insert more than half the size of the value.
func newDelta(base *appliedRevision, value []byte) *bramleyv1.ValueDelta {
	if base == nil {
		return nil
	}
	delta := dissemination.Diff(base.value, value)
	if len(delta.Inserted) > len(value)/2 {
		return nil
	}
	return &bramleyv1.ValueDelta{
		BaseRevision: base.revision,
		Offset:       uint64(delta.Offset),
		Removed:      uint64(delta.Removed),
		Inserted:     delta.Inserted,
		Digest:       delta.Digest[:],
	}
}

// valueMessage is a message that carries a value in plain form, gzip-compressed, or as a delta.
type valueMessage interface {
	GetValue() []byte
	GetCompressed() []byte
	GetDelta() *bramleyv1.ValueDelta
}

// valueFrom returns the value that a message carries. It returns nil if the message carries none,
// cannot be decompressed, or carries a delta that does not apply to the current value.
func (v *View) valueFrom(message valueMessage) []byte {
	if len(message.GetValue()) > 0 {
		return message.GetValue()
	}
	if len(message.GetCompressed()) > 0 {
		value, err := decompress(message.GetCompressed())
		if err != nil {
			v.config.Event("value_unreadable", "error", err)
		}
		return value
	}
	return v.applyDelta(message.GetDelta())
}

// applyDelta returns nil if the delta has another base revision or does not fit the current value.
func (v *View) applyDelta(message *bramleyv1.ValueDelta) []byte {
	base := v.current.Load()
	if message == nil || base == nil || base.revision != message.GetBaseRevision() {
		return nil
	}
	if message.GetOffset() > uint64(len(base.value)) || message.GetRemoved() > uint64(len(base.value)) {
		return nil
	}
	delta := dissemination.Delta{
		Offset:   int(message.GetOffset()),
		Removed:  int(message.GetRemoved()),
		Inserted: message.GetInserted(),
	}
	copy(delta.Digest[:], message.GetDigest())
	next, err := delta.Apply(base.value)
	if err != nil {
		return nil
	}
	return next
}
