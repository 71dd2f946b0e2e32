// Package content computes the answers of the stand-in upstreams. An answer depends only on its request, so a
// caller can check it without help of another process.
package content

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// Methods of the stand-in upstreams.
const (
	// MethodOrder places an order. It is not idempotent.
	MethodOrder = "order"
	// MethodSheet reads a dosing sheet.
	MethodSheet = "sheet"
	// MethodPhoto stores a delivery-proof photo under its own name.
	MethodPhoto = "photo"
)

// FeedInterval is the time between two events of a feed.
const FeedInterval = 200 * time.Millisecond

// Body is the request body that the stand-in caller sends. It identifies the request uniquely.
type Body struct {
	// Service is the service that the request is for.
	Service string `json:"service"`
	// Item is the name of the order, sheet or photo.
	Item string `json:"item"`
	// Attempt is the number of the attempt to place an order, from 0.
	Attempt int `json:"attempt"`
	// Padding brings a request to a realistic size.
	Padding string `json:"padding,omitempty"`
}

// Encode returns the body as JSON.
func (b Body) Encode() []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(err) // Encoding a struct of strings and integers cannot fail.
	}
	return data
}

// DecodeBody decodes what Encode returns.
func DecodeBody(data []byte) (Body, error) {
	var b Body
	err := json.Unmarshal(data, &b)
	return b, err
}

// Answer returns the answer to a request. It depends on every byte of the request body.
func Answer(method string, body []byte) []byte {
	digest := sha256.Sum256(body)
	return fmt.Appendf(nil, "%s %x", method, digest)
}

// Object returns the content of an object, which depends only on its name and size.
func Object(name string, size int) []byte {
	source := rand.NewChaCha8(sha256.Sum256([]byte(name)))
	data := make([]byte, size)
	_, _ = source.Read(data) // Reading from a ChaCha8 source cannot fail.
	return data
}

// Event returns the body of an event of a feed.
func Event(topic string, sequence uint64) []byte {
	return fmt.Appendf(nil, "%s#%d", topic, sequence)
}

// NewestSequence returns the sequence number of the newest event at the given time, which is the same for all feeds.
func NewestSequence(now time.Time) uint64 {
	return uint64(now.UnixNano() / int64(FeedInterval))
}
