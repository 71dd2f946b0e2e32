// Package frame prefixes a payload with a protobuf header: the length of the header as a varint, the header, and the
// payload unchanged.
package frame

import (
	"encoding/binary"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// MaxHeader is the largest encoded header that Split accepts, in bytes.
const MaxHeader = 512

// MaxPrefix is the largest size of a header with its length prefix, in bytes.
const MaxPrefix = MaxHeader + binary.MaxVarintLen16

// Errors that Split returns.
const (
	ErrLength = errors.ConstError("header length is malformed, too large or longer than the datagram")
	ErrHeader = errors.ConstError("header is not a valid protobuf message")
)

// Message is a protobuf message with the methods that vtprotobuf generates for encoding without allocation.
type Message interface {
	SizeVT() int
	MarshalToSizedBufferVT([]byte) (int, error)
	UnmarshalVT([]byte) error
}

// Append appends the length of the header, the header and the payload to dst.
func Append(dst []byte, h Message, payload []byte) []byte {
	size := h.SizeVT()
	dst = protowire.AppendVarint(dst, uint64(size))
	start := len(dst)
	dst = append(dst, make([]byte, size)...)
	// MarshalToSizedBufferVT fails only for unknown message types, which a header does not contain.
	if _, err := h.MarshalToSizedBufferVT(dst[start:]); err != nil {
		panic(err)
	}
	return append(dst, payload...)
}

// Split decodes the header at the start of b into h, which must be empty, and returns the payload, which aliases b.
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
