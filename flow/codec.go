package flow

// Codec reads and writes the packets of a transport.
type Codec interface {
	// Parse reads a raw packet. The packet of a server that was returned has the ends of the client's packet.
	Parse(raw []byte) (Packet, error)
	// ClearReturned makes a returned raw packet the packet that its client wrote.
	ClearReturned(raw []byte)
	// AppendReset appends a raw packet that ends a flow for its client.
	AppendReset(dst []byte, key Key, seq uint32) []byte
}
