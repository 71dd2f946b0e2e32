package main

import (
	"encoding/binary"
	"net/netip"
)

// packet is a packet of the platform.
type packet struct {
	seq, ack       uint32
	src, dst       netip.AddrPort
	flags          byte
	echo, checksum uint32
	payload        []byte
}

// Flags of a packet.
const (
	syn      = 2
	returned = 4
	ack      = 16
	rst      = 32
	fin      = 128
)

const headerSize = 32

// testChecksum is the checksum in the packets of clients and servers. Resets by the system have the checksum zero.
const testChecksum = 0x5eed

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.payload))
	le := binary.LittleEndian
	le.PutUint32(b[0:], p.seq)
	le.PutUint32(b[4:], p.ack)
	putIP(b[8:], p.src.Addr())
	le.PutUint16(b[12:], p.dst.Port())
	putIP(b[14:], p.dst.Addr())
	le.PutUint16(b[18:], p.src.Port())
	b[20] = p.flags
	le.PutUint32(b[22:], p.echo)
	le.PutUint16(b[26:], uint16(len(p.payload)))
	le.PutUint32(b[28:], p.checksum)
	return append(b, p.payload...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerSize {
		return packet{}, false
	}
	le := binary.LittleEndian
	p := packet{
		seq: le.Uint32(b[0:]), ack: le.Uint32(b[4:]), flags: b[20], echo: le.Uint32(b[22:]), checksum: le.Uint32(b[28:]),
		src: netip.AddrPortFrom(getIP(b[8:]), le.Uint16(b[18:])), dst: netip.AddrPortFrom(getIP(b[14:]), le.Uint16(b[12:])),
	}
	p.payload = append([]byte(nil), b[headerSize:]...)
	return p, len(p.payload) == int(le.Uint16(b[26:]))
}

func putIP(b []byte, ip netip.Addr) {
	octets := ip.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(octets[:]))
}

func getIP(b []byte) netip.Addr {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(octets)
}
