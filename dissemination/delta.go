package dissemination

import (
	"bytes"
	"crypto/sha256"

	"github.com/juju/errors"
)

// Delta turns one value into another by one replaced stretch. Operators change a few lines at a
// time, so it is far smaller than the value.
type Delta struct {
	// Offset is the first byte that differs.
	Offset int
	// Removed is how many bytes of the old value are replaced.
	Removed int
	// Inserted replaces them.
	Inserted []byte
	// Digest is the SHA-256 of the new value.
	Digest [sha256.Size]byte
}

// ErrDeltaMismatch says that a delta does not fit the value that it was applied to.
var ErrDeltaMismatch = errors.New("delta does not fit the value")

// Diff returns the delta from one value to another.
func Diff(previous, next []byte) Delta {
	prefix := commonPrefix(previous, next)
	suffix := commonSuffix(previous[prefix:], next[prefix:])
	return Delta{
		Offset:   prefix,
		Removed:  len(previous) - prefix - suffix,
		Inserted: next[prefix : len(next)-suffix],
		Digest:   sha256.Sum256(next),
	}
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// Apply returns the new value. It fails unless the result is, byte for byte, the value that the
// delta was made for.
func (d Delta) Apply(previous []byte) ([]byte, error) {
	if d.Offset < 0 || d.Removed < 0 || d.Offset > len(previous) || d.Removed > len(previous)-d.Offset {
		return nil, ErrDeltaMismatch
	}
	next := bytes.Join([][]byte{previous[:d.Offset], d.Inserted, previous[d.Offset+d.Removed:]}, nil)
	if sha256.Sum256(next) != d.Digest {
		return nil, ErrDeltaMismatch
	}
	return next, nil
}
