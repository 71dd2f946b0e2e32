package flow

// Codec reads and writes the packets of a transport.
type Codec interface {
	// Parse reads a raw packet. The key of a packet that the server returned is that of the client's packet.
	Parse(raw []byte) (Packet, error)
	// ClearReturned restores a returned raw packet to the form in which its client sent it.
	ClearReturned(raw []byte)
	// AppendReset appends to dst a raw packet that resets a flow at its client.
	AppendReset(dst []byte, key Key, seq uint32) []byte
}
