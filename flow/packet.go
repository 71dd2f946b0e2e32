package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// IP is an IPv4 address.
type IP [4]byte

// String returns the address in dotted form.
func (ip IP) String() string {
	return netip.AddrFrom4(ip).String()
}

// Endpoint is an IPv4 address and a port.
type Endpoint struct {
	IP   IP
	Port uint16
}

// EndpointOf returns the endpoint of an IPv4 address and port.
func EndpointOf(address netip.AddrPort) Endpoint {
	return Endpoint{IP: address.Addr().Unmap().As4(), Port: address.Port()}
}

// AddrPort returns the endpoint in the form that sockets take.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns the endpoint as IP:PORT.
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// Key names a flow by its ends.
type Key struct {
	Client, Service Endpoint
}

// String returns both ends, the client first.
func (k Key) String() string {
	return k.Client.String() + ">" + k.Service.String()
}

// Hash returns the hash that the ranks of the upstreams are computed from.
func (k Key) Hash() uint64 {
	var b [12]byte
	copy(b[0:], k.Client.IP[:])
	copy(b[4:], k.Service.IP[:])
	binary.BigEndian.PutUint16(b[8:], k.Client.Port)
	binary.BigEndian.PutUint16(b[10:], k.Service.Port)
	return xxhash.Sum64(b[:])
}

// Kind is what a packet means for its flow.
type Kind uint8

// The kinds of packets.
const (
	// Other belongs to a flow that its sender takes for open.
	Other Kind = iota
	// Opening asks for a new flow.
	Opening
	// Accepting answers an opening packet.
	Accepting
	// Closing is the last of its sender.
	Closing
	// Resetting ends the flow at once.
	Resetting
)

// Packet is what the system reads of a packet.
type Packet struct {
	Key  Key
	Kind Kind
	// Copy counts how often the client has sent this opening packet before.
	Copy uint32
	// Seq and Ack are the numbers of the sender and of the other end.
	Seq, Ack uint32
	// Length is the size of the payload in bytes.
	Length int
	// Returned says that the server hands the packet back, since it does not hold the flow or takes no new one.
	Returned bool
}

// asks reports whether a packet of an open flow asks for an answer: its sender repeats it until it is acknowledged.
func (p *Packet) asks() bool {
	return p.Length > 0 || p.Kind == Closing
}
