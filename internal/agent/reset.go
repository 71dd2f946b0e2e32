package agent

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"

	"github.com/quic-go/quic-go"
)

const (
	// resetTokenLength is the length of a stateless reset token, in bytes.
	resetTokenLength = 16
	// minReset is the size of the smallest stateless reset that a caller can distinguish from an invalid
	// packet, in bytes.
	minReset = 5 + resetTokenLength
	// minTransportAnswered is the size of the smallest packet that the QUIC transport itself answers with
	// a stateless reset, in bytes.
	minTransportAnswered = 43
	// fixedBit is set in the first byte of every QUIC packet. If the bit above it is clear, the header is short.
	fixedBit = 0x40
	// shortHeaderMask selects the bits of the first byte that are random in a stateless reset.
	shortHeaderMask = 0x3f
)

// resetter builds stateless resets for small packets of flows whose owner is gone. The QUIC transport
// does not answer such packets, so a caller that only receives, and sends nothing but keep-alives,
// would not notice the loss until its idle timeout.
type resetter struct {
	mac hash.Hash
}

func newResetter(key quic.StatelessResetKey) *resetter {
	return &resetter{mac: hmac.New(sha256.New, key[:])}
}

// answer returns the stateless reset for a packet of the given size (RFC 9000, section 10.3), or nil
// if the packet is too small to be answered. A reset is smaller than the packet that it answers, so
// that two endpoints can not answer each other's resets forever.
func (r *resetter) answer(id []byte, size int) []byte {
	if size <= minReset {
		return nil
	}
	packet := make([]byte, size-1)
	random := packet[:len(packet)-resetTokenLength]
	_, _ = rand.Read(random) // Read of crypto/rand never returns an error.
	packet[0] = packet[0]&shortHeaderMask | fixedBit
	copy(packet[len(random):], r.token(id))
	return packet
}

// token returns the stateless reset token of a connection ID. It must equal the one that the QUIC
// transport computes from the same key.
func (r *resetter) token(id []byte) []byte {
	r.mac.Reset()
	r.mac.Write(id)
	return r.mac.Sum(nil)[:resetTokenLength]
}
