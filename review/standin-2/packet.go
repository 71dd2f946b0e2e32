package main

import (
	"encoding/binary"
	"net/netip"
)

// Flags of a packet.
const (
	flagSyn     = 2
	flagBounced = 4
	flagAck     = 16
	flagRst     = 32
	flagFin     = 128
)

// headSize is the size of a packet's head, and maxData that of the data which one packet can carry.
const (
	headSize = 32
	maxData  = 1200
)

// senderSum is the sum in all packets of clients and servers. Resets of the system carry the sum zero.
const senderSum = 0x51a7c0de

// packet is one datagram of a flow.
type packet struct {
	seq, ack uint32
	src, dst netip.AddrPort
	flags    byte
	pad      byte
	echo     uint32
	sum      uint32
	data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	le := binary.LittleEndian
	le.PutUint32(b[0:], p.seq)
	le.PutUint32(b[4:], p.ack)
	le.PutUint32(b[8:], ipNumber(p.src.Addr()))
	le.PutUint16(b[12:], p.dst.Port())
	le.PutUint32(b[14:], ipNumber(p.dst.Addr()))
	le.PutUint16(b[18:], p.src.Port())
	b[20], b[21] = p.flags, p.pad
	le.PutUint32(b[22:], p.echo)
	le.PutUint16(b[26:], uint16(len(p.data)))
	le.PutUint32(b[28:], p.sum)
	return append(b, p.data...)
}

func decodePacket(b []byte) (packet, bool) {
	le := binary.LittleEndian
	if len(b) < headSize || len(b) != headSize+int(le.Uint16(b[26:])) {
		return packet{}, false
	}
	return packet{
		seq: le.Uint32(b[0:]), ack: le.Uint32(b[4:]), flags: b[20], pad: b[21], echo: le.Uint32(b[22:]), sum: le.Uint32(b[28:]),
		src: netip.AddrPortFrom(ipOf(le.Uint32(b[8:])), le.Uint16(b[18:])),
		dst: netip.AddrPortFrom(ipOf(le.Uint32(b[14:])), le.Uint16(b[12:])), data: append([]byte(nil), b[headSize:]...),
	}, true
}

func ipNumber(a netip.Addr) uint32 {
	octets := a.As4()
	return binary.BigEndian.Uint32(octets[:])
}

func ipOf(n uint32) netip.Addr {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], n)
	return netip.AddrFrom4(octets)
}
