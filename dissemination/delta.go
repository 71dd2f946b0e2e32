package dissemination

import (
	"bytes"
	"crypto/sha256"

	"github.com/juju/errors"
)

// Delta turns one value into another by replacing one contiguous range of bytes. Operators change a few
// lines at a time, so a delta is much smaller than the value.
type Delta struct {
	// Offset is the position of the first byte that differs.
	Offset int
	// Removed is the number of bytes of the old value that are replaced.
	Removed int
	// Inserted holds the bytes that replace them.
	Inserted []byte
	// Digest is the SHA-256 of the new value.
	Digest [sha256.Size]byte
}

// ErrDeltaMismatch means that a delta cannot be applied to the given value.
var ErrDeltaMismatch = errors.New("delta does not apply to this value")

// Diff returns the delta that turns previous into next.
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

// Apply returns the new value. It returns ErrDeltaMismatch unless the result is exactly the value for
// which the delta was made, which the SHA-256 digest proves.
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
