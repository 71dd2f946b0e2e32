// Package content computes what stand-in upstreams answer, so that a caller can check each answer
// against its own request without asking anyone.
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
	// MethodOrder places an order; running it twice does harm.
	MethodOrder = "order"
	// MethodSheet reads a dosing sheet.
	MethodSheet = "sheet"
	// MethodPhoto stores a delivery-proof photo under its own name.
	MethodPhoto = "photo"
)

// FeedInterval is the time between two events of every feed.
const FeedInterval = 200 * time.Millisecond

// Body is what the stand-in caller sends; it names the request beyond doubt.
type Body struct {
	// Service is the service that the request is meant for.
	Service string `json:"service"`
	// Item is the order, plant or photo.
	Item string `json:"item"`
	// Attempt counts the tries to place one order.
	Attempt int `json:"attempt"`
	// Padding makes a request as long as a real one.
	Padding string `json:"padding,omitempty"`
}

// Encode returns the body in its form on the wire.
func (b Body) Encode() []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(err) // A struct of strings and integers always encodes.
	}
	return data
}

// DecodeBody reads a body.
func DecodeBody(data []byte) (Body, error) {
	var b Body
	err := json.Unmarshal(data, &b)
	return b, err
}

// Answer returns the answer to a request: it depends on every byte of the request.
func Answer(method string, body []byte) []byte {
	digest := sha256.Sum256(body)
	return fmt.Appendf(nil, "%s %x", method, digest)
}

// Object returns the bytes of an object, which follow from its name.
func Object(name string, size int) []byte {
	source := rand.NewChaCha8(sha256.Sum256([]byte(name)))
	data := make([]byte, size)
	_, _ = source.Read(data) // A ChaCha8 source never fails.
	return data
}

// Event returns the body of one event of a feed.
func Event(topic string, sequence uint64) []byte {
	return fmt.Appendf(nil, "%s#%d", topic, sequence)
}

// Sequence returns the newest sequence number of every feed at a time.
func Sequence(now time.Time) uint64 {
	return uint64(now.UnixNano() / int64(FeedInterval))
}
