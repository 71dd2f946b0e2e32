package view

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/juju/errors"
)

// maxValueBytes is the largest value that the platform publishes.
const maxValueBytes = 1 << 20

// compress returns a value in gzip form.
func compress(value []byte) []byte {
	var buffer bytes.Buffer
	// Neither writing to a buffer nor the level can fail.
	w, _ := gzip.NewWriterLevel(&buffer, gzip.BestCompression)
	_, _ = w.Write(value)
	_ = w.Close()
	return buffer.Bytes()
}

// decompress returns the value, or an error if it is larger than the platform allows.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Annotate(err, "reading a compressed value")
	}
	value, err := io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "reading a compressed value")
	}
	if len(value) > maxValueBytes {
		return nil, errors.Errorf("compressed value is larger than %d bytes", maxValueBytes)
	}
	return value, nil
}
