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
	delta := dissemination.Between(base.value, value)
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

// valueOf returns the value that a message carries, whole or as a delta against the one in force,
// or nil if it carries neither or the delta does not fit.
func (v *View) valueOf(value []byte, message *bramleyv1.ValueDelta) []byte {
	base := v.current.Load()
	if len(value) > 0 || message == nil || base == nil || base.revision != message.GetBaseRevision() {
		return value
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

// carried returns what a message to a process that holds the base carries: a delta, or a value that
// is small enough, or nothing, so that the process fetches the value.
func carried(base *inForce, value []byte) ([]byte, *bramleyv1.ValueDelta) {
	if delta := deltaTo(base, value); delta != nil && len(delta.GetInserted()) <= inlineBytes {
		return nil, delta
	}
	if len(value) <= inlineBytes {
		return value, nil
	}
	return nil, nil
}
