package registry

import "fmt"

// Revision is a state of the store. Its upper 16 bits hold the store's era, which increases whenever the store is
// restored from a copy, and the others the number of changes in that era. Revisions are therefore ordered also across a
// restore, after which numbers are given out again. Zero means no revision.
type Revision uint64

// numberBits is the size of the number within a Revision.
const numberBits = 48

// NewRevision returns the revision with a number in an era. A store that reports no era is in era zero.
func NewRevision(era uint16, number uint64) Revision {
	return Revision(uint64(era)<<numberBits | number&(1<<numberBits-1))
}

// Era returns the era of the store.
func (r Revision) Era() uint16 {
	return uint16(r >> numberBits)
}

// Number returns the revision as the store counts it.
func (r Revision) Number() uint64 {
	return uint64(r) & (1<<numberBits - 1)
}

// String returns the number, preceded by the era unless that is zero.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}
