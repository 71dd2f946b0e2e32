package agent

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"

	"github.com/quic-go/quic-go"
)

const (
	// tokenLength is the length of a stateless reset token in bytes.
	tokenLength = 16
	// minReset is the smallest stateless reset that a caller can tell from noise, in bytes.
	minReset = 5 + tokenLength
	// transportAnswers is the size of the smallest packet that the QUIC transport answers itself.
	transportAnswers = 43
	// fixedBit marks a QUIC packet with a short header.
	fixedBit = 0x40
	// shortHeaderMask keeps the bits of a short header that a reset may choose at random.
	shortHeaderMask = 0x3f
)

// resetter answers small packets of flows whose owner is gone. The transport does not answer them,
// so callers that only receive, and send nothing but keep-alives, would wait for their time-out.
type resetter struct {
	mac hash.Hash
}

func newResetter(key quic.StatelessResetKey) *resetter {
	return &resetter{mac: hmac.New(sha256.New, key[:])}
}

// answer returns the stateless reset for a packet of the given size (RFC 9000, section 10.3), or nil
// when the packet is too small to be answered. A reset is smaller than the packet, so that two ends
// can't answer each other for ever.
func (r *resetter) answer(id []byte, size int) []byte {
	if size <= minReset {
		return nil
	}
	packet := make([]byte, size-1)
	random := packet[:len(packet)-tokenLength]
	_, _ = rand.Read(random) // crypto/rand never fails.
	packet[0] = packet[0]&shortHeaderMask | fixedBit
	copy(packet[len(random):], r.token(id))
	return packet
}

// token returns the reset token of a connection ID, as the transport computes it.
func (r *resetter) token(id []byte) []byte {
	r.mac.Reset()
	r.mac.Write(id)
	return r.mac.Sum(nil)[:tokenLength]
}
