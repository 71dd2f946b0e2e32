package ticket

// mark is the two-bit state of one ticket.
type mark uint8

const (
	markUnused mark = iota
	markNotRun
	markRan
	markUndecided

	markBits     = 2
	marksPerByte = 8 / markBits
	markMask     = 1<<markBits - 1
)

// marks is a ring buffer with the mark of each sequence in [floor, next).
type marks struct {
	floor uint64
	next  uint64
	size  uint64
	ring  []byte
}

func newMarks(window int) marks {
	size := (window + marksPerByte - 1) / marksPerByte * marksPerByte
	return marks{size: uint64(size), ring: make([]byte, size/marksPerByte)}
}

// extend adds and returns the next sequence, marked unused. A full ring drops the oldest one.
func (m *marks) extend() uint64 {
	sequence := m.next
	if m.next-m.floor == m.size {
		m.floor++
	}
	m.next++
	m.set(sequence, markUnused)
	return sequence
}

func (m *marks) get(sequence uint64) (mark, bool) {
	if sequence < m.floor || sequence >= m.next {
		return markUnused, false
	}
	index, shift := m.position(sequence)
	return mark(m.ring[index]>>shift) & markMask, true
}

func (m *marks) set(sequence uint64, value mark) {
	if sequence < m.floor || sequence >= m.next {
		return
	}
	index, shift := m.position(sequence)
	m.ring[index] = m.ring[index]&^(markMask<<shift) | byte(value)<<shift
}

func (m *marks) position(sequence uint64) (index uint64, shift uint) {
	offset := sequence % m.size
	return offset / marksPerByte, uint(offset%marksPerByte) * markBits
}
