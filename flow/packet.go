package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IP is an IPv4 address.
type IP [4]byte

// String returns the address in dotted decimal form.
func (ip IP) String() string {
	return netip.AddrFrom4(ip).String()
}

// Endpoint is an IPv4 address and a port.
type Endpoint struct {
	IP   IP
	Port uint16
}

// EndpointOf converts an IPv4 netip.AddrPort.
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

// Key identifies a flow by its two endpoints.
type Key struct {
	Client, Service Endpoint
}

// String returns both endpoints, the client first.
func (k Key) String() string {
	return k.Client.String() + ">" + k.Service.String()
}

// Hash returns the hash from which the flow's rank order of upstreams is computed.
func (k Key) Hash() uint64 {
	var b [12]byte
	copy(b[0:], k.Client.IP[:])
	copy(b[4:], k.Service.IP[:])
	binary.BigEndian.PutUint16(b[8:], k.Client.Port)
	binary.BigEndian.PutUint16(b[10:], k.Service.Port)
	return xxhash.Sum64(b[:])
}

// Kind is the role of a packet in its flow.
type Kind uint8

// The kinds of packets.
const (
	// Other is a packet of a flow that its sender considers open.
	Other Kind = iota
	// Opening requests a new flow.
	Opening
	// Accepting answers an opening packet.
	Accepting
	// Closing is the last packet of its sender.
	Closing
	// Resetting terminates the flow immediately.
	Resetting
)

// Packet holds the fields of a packet that forwarding decisions need.
type Packet struct {
	Key  Key
	Kind Kind
	// Copy counts the earlier transmissions of this opening packet by the client.
	Copy uint32
	// Seq is the sequence number of the sender, and Ack the number that it acknowledges.
	Seq, Ack uint32
	// Length is the size of the payload in bytes.
	Length int
	// Age is the longest time for which the packet may have waited in the processes that it has passed, as far as they know.
	// Zero means that it was handled at once.
	Age time.Duration
	// Returned is set if the server has sent the packet back because it does not hold the flow or takes no new one.
	Returned bool
}

// MinAge is the shortest wait that counts. Shorter ones are usual in a busy process, and on VMs whose share of a processor
// is an allowance for each tenth of a second.
const MinAge = 200 * time.Millisecond

// addWait records that the packet has waited in this process.
func (p *Packet) addWait(waited time.Duration) {
	if waited >= MinAge {
		p.Age += waited
	}
}

// requiresAnswer reports whether the sender of a packet of an open flow retransmits it until it is acknowledged.
func (p *Packet) requiresAnswer() bool {
	return p.Length > 0 || p.Kind == Closing
}
