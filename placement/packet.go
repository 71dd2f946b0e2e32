package placement

import (
	"github.com/juju/errors"
	"golang.org/x/crypto/cryptobyte"
)

// ErrShortPacket is returned for a datagram that is too short to contain a connection ID.
const ErrShortPacket = errors.ConstError("packet too short for a connection ID")

const longHeaderBit = 0x80

// DestinationConnectionID returns the destination connection ID of a QUIC packet and whether the
// packet has a long header. It relies only on the version-independent properties of RFC 8999. A short
// header does not carry the length of its connection ID; ConnectionIDLength is assumed.
func DestinationConnectionID(packet []byte) (id []byte, long bool, err error) {
	s := cryptobyte.String(packet)
	var first uint8
	if !s.ReadUint8(&first) {
		return nil, false, ErrShortPacket
	}
	if first&longHeaderBit == 0 {
		if !s.ReadBytes(&id, ConnectionIDLength) {
			return nil, false, ErrShortPacket
		}
		return id, false, nil
	}
	var version uint32
	var field cryptobyte.String
	if !s.ReadUint32(&version) || !s.ReadUint8LengthPrefixed(&field) {
		return nil, true, ErrShortPacket
	}
	return field, true, nil
}
