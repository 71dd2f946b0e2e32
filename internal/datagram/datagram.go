// Package datagram frames the packets that balancers and agents exchange: the length of a header as
// a varint, the header, and the caller's packet as it came.
package datagram

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/frame"
)

// MaxPacket is the largest packet of a caller that is forwarded, in bytes.
const MaxPacket = 2048

// MaxDatagram bounds a whole datagram between a balancer and an agent, in bytes.
const MaxDatagram = MaxPacket + frame.MaxPrefix

// ErrAddress says that an encoded address has no valid length.
const ErrAddress = errors.ConstError("address is not valid")

// Append appends the header and the payload to dst.
func Append(dst []byte, h *bramleyv1.DatagramHeader, payload []byte) []byte {
	return frame.Append(dst, h, payload)
}

// Split decodes the header of b into h and returns the payload, which aliases b. It reuses the
// memory of the fields of h.
func Split(b []byte, h *bramleyv1.DatagramHeader) (payload []byte, err error) {
	reset(h)
	return frame.Split(b, h)
}

// reset clears h and keeps the memory of its fields.
func reset(h *bramleyv1.DatagramHeader) {
	caller, balancer, candidates, silent := h.Caller, h.Balancer, h.Candidates, h.Silent
	h.Reset()
	h.Caller, h.Balancer, h.Candidates, h.Silent = caller[:0], balancer[:0], candidates[:0], silent[:0]
}

// EncodeAddr returns the encoded form of an address: 4 or 16 bytes of IP and 2 bytes of port.
func EncodeAddr(address netip.AddrPort) []byte {
	return AppendAddr(nil, address)
}

// AppendAddr appends the encoded form of an address to dst.
func AppendAddr(dst []byte, address netip.AddrPort) []byte {
	ip := address.Addr().Unmap()
	if ip.Is4() {
		b := ip.As4()
		dst = append(dst, b[:]...)
	} else {
		b := ip.As16()
		dst = append(dst, b[:]...)
	}
	return binary.BigEndian.AppendUint16(dst, address.Port())
}

const portLength = 2

// DecodeAddr decodes an address.
func DecodeAddr(b []byte) (netip.AddrPort, error) {
	if len(b) < portLength {
		return netip.AddrPort{}, ErrAddress
	}
	split := len(b) - portLength
	ip, ok := netip.AddrFromSlice(b[:split])
	if !ok {
		return netip.AddrPort{}, ErrAddress
	}
	return netip.AddrPortFrom(ip.Unmap(), binary.BigEndian.Uint16(b[split:])), nil
}
