// Package frame puts a protobuf header before a payload: the length of the header as a varint, the header,
// and the payload as it came.
package frame

import (
	"encoding/binary"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// MaxHeader is the largest encoded header that Split accepts, in bytes.
const MaxHeader = 512

// MaxPrefix is what a header adds to a payload at most, in bytes.
const MaxPrefix = MaxHeader + binary.MaxVarintLen16

// Errors that Split returns.
const (
	ErrLength = errors.ConstError("header length is not valid")
	ErrHeader = errors.ConstError("header is not valid")
)

// Message is a protobuf message with generated, allocation-free code.
type Message interface {
	SizeVT() int
	MarshalToSizedBufferVT([]byte) (int, error)
	UnmarshalVT([]byte) error
}

// Append appends the header and the payload to dst.
func Append(dst []byte, h Message, payload []byte) []byte {
	size := h.SizeVT()
	dst = protowire.AppendVarint(dst, uint64(size))
	start := len(dst)
	dst = append(dst, make([]byte, size)...)
	// MarshalToSizedBufferVT fails only on unknown message types; a header has none.
	if _, err := h.MarshalToSizedBufferVT(dst[start:]); err != nil {
		panic(err)
	}
	return append(dst, payload...)
}

// Split decodes the header of b into h, which must be empty, and returns the payload, which aliases b.
func Split(b []byte, h Message) (payload []byte, err error) {
	size, n := protowire.ConsumeVarint(b)
	if n < 0 || size > MaxHeader || uint64(len(b)-n) < size {
		return nil, ErrLength
	}
	b = b[n:]
	if err := h.UnmarshalVT(b[:size]); err != nil {
		return nil, ErrHeader
	}
	return b[size:], nil
}
