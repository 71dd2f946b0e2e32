package view

import (
	"github.com/bramleyrack/bramleyrack/dissemination"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// deltaTo returns the message that turns the value of one accepted revision into a newer value, or
// nil if there is no base or the message would not save half of the bytes.
func deltaTo(base *inForce, value []byte) *bramleyv1.ValueDelta {
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

// carrier is a message that carries a value whole, compressed, or as a delta.
type carrier interface {
	GetValue() []byte
	GetCompressed() []byte
	GetDelta() *bramleyv1.ValueDelta
}

// valueOf returns the value that a message carries, or nil if it carries none or does not fit the
// value in force.
func (v *View) valueOf(message carrier) []byte {
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
	return v.patched(message.GetDelta())
}

// patched returns the value in force with a delta applied, or nil if the delta is for another one.
func (v *View) patched(message *bramleyv1.ValueDelta) []byte {
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
