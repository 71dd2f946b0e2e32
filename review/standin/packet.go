package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// headerSize is the size of a packet's header in bytes.
const headerSize = 32

// Flags of a packet.
const (
	flagSyn     = 2
	flagBounced = 4
	flagAck     = 16
	flagRst     = 32
	flagFin     = 128
)

// sumKey is the secret of the keyed sum, which only clients and servers know.
const sumKey = "review stand-in"

// packet is one packet between a client and a server. Only the fields that the ends use are kept.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	payload  []byte
	// sum is the sum as received. It is zero in a reset of the system.
	sum uint32
}

// encode returns the packet as it is sent, with its sum.
func (p *packet) encode() []byte {
	raw := make([]byte, headerSize+len(p.payload))
	binary.LittleEndian.PutUint32(raw[0:], p.seq)
	binary.LittleEndian.PutUint32(raw[4:], p.ack)
	putIP(raw[8:], p.src.Addr())
	binary.LittleEndian.PutUint16(raw[12:], p.dst.Port())
	putIP(raw[14:], p.dst.Addr())
	binary.LittleEndian.PutUint16(raw[18:], p.src.Port())
	raw[20] = p.flags
	binary.LittleEndian.PutUint16(raw[26:], uint16(len(p.payload)))
	copy(raw[headerSize:], p.payload)
	binary.LittleEndian.PutUint32(raw[28:], keyedSum(raw))
	return raw
}

// decode parses a packet. valid reports whether its sum is that of a client or a server.
func decode(raw []byte) (p packet, valid bool) {
	if len(raw) < headerSize {
		return packet{}, false
	}
	p = packet{
		seq:     binary.LittleEndian.Uint32(raw[0:]),
		ack:     binary.LittleEndian.Uint32(raw[4:]),
		src:     netip.AddrPortFrom(getIP(raw[8:]), binary.LittleEndian.Uint16(raw[18:])),
		dst:     netip.AddrPortFrom(getIP(raw[14:]), binary.LittleEndian.Uint16(raw[12:])),
		flags:   raw[20],
		payload: append([]byte(nil), raw[headerSize:]...),
		sum:     binary.LittleEndian.Uint32(raw[28:]),
	}
	return p, p.sum == keyedSum(raw)
}

// keyedSum computes the sum over all fields except echo, pad and the bounced flag. It is never zero.
func keyedSum(raw []byte) uint32 {
	covered := append([]byte(sumKey), raw...)
	head := covered[len(sumKey):]
	head[20] &^= flagBounced
	copy(head[21:26], make([]byte, 5))
	copy(head[28:32], make([]byte, 4))
	h := fnv.New32a()
	_, _ = h.Write(covered)
	return max(1, h.Sum32())
}

func putIP(b []byte, ip netip.Addr) {
	a := ip.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(a[:]))
}

func getIP(b []byte) netip.Addr {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(a)
}
