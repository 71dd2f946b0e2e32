// Package datagram encodes the datagrams between balancers and agents: the length of a protobuf header as a varint,
// the header, and the caller's packet unchanged.
package datagram

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/frame"
)

// MaxPacket is the largest packet from a caller that is forwarded, in bytes.
const MaxPacket = 2048

// MaxDatagram is the largest datagram between a balancer and an agent, in bytes.
const MaxDatagram = MaxPacket + frame.MaxPrefix

// ErrAddress is returned for an encoded address that has neither the length of IPv4 nor that of IPv6.
const ErrAddress = errors.ConstError("encoded address has an invalid length")

// Append appends a datagram to dst.
func Append(dst []byte, h *bramleyv1.DatagramHeader, payload []byte) []byte {
	return frame.Append(dst, h, payload)
}

// Split decodes the header of the datagram b into h and returns the payload, which aliases b. It reuses the memory of
// the fields of h.
func Split(b []byte, h *bramleyv1.DatagramHeader) (payload []byte, err error) {
	reset(h)
	return frame.Split(b, h)
}

// reset clears h but keeps the memory of its fields for the next header.
func reset(h *bramleyv1.DatagramHeader) {
	caller, balancer, candidates, silent := h.Caller, h.Balancer, h.Candidates, h.Silent
	h.Reset()
	h.Caller, h.Balancer, h.Candidates, h.Silent = caller[:0], balancer[:0], candidates[:0], silent[:0]
}

// EncodeAddr encodes an address: 4 or 16 bytes of IP and 2 bytes of port, in network byte order.
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

const portBytes = 2

// DecodeAddr decodes an address, or returns ErrAddress.
func DecodeAddr(b []byte) (netip.AddrPort, error) {
	if len(b) < portBytes {
		return netip.AddrPort{}, ErrAddress
	}
	ipBytes := len(b) - portBytes
	ip, ok := netip.AddrFromSlice(b[:ipBytes])
	if !ok {
		return netip.AddrPort{}, ErrAddress
	}
	return netip.AddrPortFrom(ip.Unmap(), binary.BigEndian.Uint16(b[ipBytes:])), nil
}
