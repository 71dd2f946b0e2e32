package view

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/juju/errors"
)

// maxValueBytes is the maximum size of a value that the platform publishes.
const maxValueBytes = 1 << 20

func compress(value []byte) []byte {
	var buffer bytes.Buffer
	// Writing to a bytes.Buffer cannot fail, and the compression level is valid.
	w, _ := gzip.NewWriterLevel(&buffer, gzip.BestCompression)
	_, _ = w.Write(value)
	_ = w.Close()
	return buffer.Bytes()
}

// decompress fails if the value exceeds maxValueBytes, so that a small message cannot expand without
// bound.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Annotate(err, "decompressing a value")
	}
	value, err := io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "decompressing a value")
	}
	if len(value) > maxValueBytes {
		return nil, errors.Errorf("decompressed value exceeds %d bytes", maxValueBytes)
	}
	return value, nil
}
