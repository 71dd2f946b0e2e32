package agent

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/quic-go/quic-go"

	"github.com/bramleyrack/bramleyrack/placement"
)

// connectionIDs generates connection IDs that identify this agent as the owner of a flow.
type connectionIDs struct {
	codec *placement.Codec
	owner placement.Owner
}

// GenerateConnectionID returns a connection ID with a random nonce.
func (g *connectionIDs) GenerateConnectionID() (quic.ConnectionID, error) {
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return quic.ConnectionID{}, err
	}
	id := g.codec.Encode(g.owner, binary.BigEndian.Uint64(nonce[:]))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of the connection IDs in bytes.
func (g *connectionIDs) ConnectionIDLen() int { return placement.ConnectionIDLength }
