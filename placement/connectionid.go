package placement

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"sync"

	"github.com/juju/errors"
)

// ConnectionIDLength is the length in bytes of a connection ID that names an owner.
const ConnectionIDLength = 16

// The largest numbers that fit into a connection ID.
const (
	MaxService = 1<<16 - 1
	MaxServer  = 1<<24 - 1
)

// ConnectionID identifies the owner of a flow in encrypted form.
type ConnectionID [ConnectionIDLength]byte

// Owner identifies the agent that owns a flow, including its incarnation.
type Owner struct {
	// Service is the number of the service, at most MaxService.
	Service uint32
	// Server is the number of the upstream, at most MaxServer.
	Server uint32
	// Incarnation distinguishes successive runs of the agent of one upstream.
	Incarnation uint32
}

// Codec encrypts owners into connection IDs and decrypts them. It is safe for concurrent use.
//
// A connection ID is one encrypted AES block: service (2 bytes), server (3), incarnation (4),
// nonce (4) and zero bytes (3), which a decoder checks.
type Codec struct {
	current  cipher.Block
	previous cipher.Block
	blocks   sync.Pool
}

// NewCodec returns a codec that encodes with the current AES-128 key and decodes with either key.
// previous may be empty.
func NewCodec(current, previous []byte) (*Codec, error) {
	c := &Codec{}
	c.blocks.New = func() any { return new(ConnectionID) }
	var err error
	if c.current, err = newBlock(current); err != nil {
		return nil, errors.Annotate(err, "current connection ID key")
	}
	if len(previous) == 0 {
		return c, nil
	}
	if c.previous, err = newBlock(previous); err != nil {
		return nil, errors.Annotate(err, "previous connection ID key")
	}
	return c, nil
}

const keyLength = 16

func newBlock(key []byte) (cipher.Block, error) {
	if len(key) != keyLength {
		return nil, errors.NotValidf("AES-128 key of %d bytes", len(key))
	}
	return aes.NewCipher(key)
}

// Encode returns the connection ID of owner. It uses only the low 32 bits of nonce. Distinct
// connection IDs need distinct nonces.
func (c *Codec) Encode(owner Owner, nonce uint64) ConnectionID {
	var plain, id ConnectionID
	binary.BigEndian.PutUint16(plain[0:], uint16(owner.Service))
	plain[2] = byte(owner.Server >> 16)
	binary.BigEndian.PutUint16(plain[3:], uint16(owner.Server))
	binary.BigEndian.PutUint32(plain[5:], owner.Incarnation)
	binary.BigEndian.PutUint32(plain[9:], uint32(nonce))
	c.current.Encrypt(id[:], plain[:])
	return id
}

// Decode returns the owner that id names, or false if id was not encoded with one of the keys.
func (c *Codec) Decode(id []byte) (Owner, bool) {
	if len(id) != ConnectionIDLength {
		return Owner{}, false
	}
	plain := c.blocks.Get().(*ConnectionID)
	defer c.blocks.Put(plain)
	c.current.Decrypt(plain[:], id)
	if owner, ok := plain.owner(); ok {
		return owner, true
	}
	if c.previous == nil {
		return Owner{}, false
	}
	c.previous.Decrypt(plain[:], id)
	return plain.owner()
}

func (id *ConnectionID) owner() (Owner, bool) {
	if id[13]|id[14]|id[15] != 0 {
		return Owner{}, false
	}
	return Owner{
		Service:     uint32(binary.BigEndian.Uint16(id[0:])),
		Server:      uint32(id[2])<<16 | uint32(binary.BigEndian.Uint16(id[3:])),
		Incarnation: binary.BigEndian.Uint32(id[5:]),
	}, true
}
