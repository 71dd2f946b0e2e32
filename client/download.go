package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

var (
	// ErrCorrupt means that the downloaded bytes do not match the length and digest of the object.
	ErrCorrupt = errors.New("object does not match its length and digest")

	errTruncated = errors.New("download stream ended before the last chunk")
)

// Download returns an object, verified against its length and digest. It resumes an interrupted
// download until ctx ends.
func (c *Client) Download(ctx context.Context, object string) ([]byte, error) {
	backOff := newBackOff()
	var data []byte
	for {
		received, lastChunk, err := c.downloadFrom(ctx, object, data)
		if lastChunk != nil {
			return verifyObject(received, lastChunk)
		}
		if isPermanentRefusal(err) {
			return nil, err
		}
		if len(received) > len(data) {
			backOff.Reset()
		}
		data = received
		if waitErr := c.sleep(ctx, backOff.NextBackOff()); waitErr != nil {
			return nil, errors.Join(waitErr, err)
		}
	}
}

// isPermanentRefusal reports whether the service has sent an error that retrying can't resolve.
func isPermanentRefusal(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeNotFound, connect.CodeInvalidArgument, connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return connect.IsWireError(err)
	}
	return false
}

func verifyObject(data []byte, lastChunk *bramleyv1.DownloadChunk) ([]byte, error) {
	digest := sha256.Sum256(data)
	if uint64(len(data)) != lastChunk.GetLength() || !bytes.Equal(digest[:], lastChunk.GetDigest()) {
		return nil, ErrCorrupt
	}
	return data, nil
}

// downloadFrom opens a stream at the end of data and appends what it receives. It returns the last
// chunk, or nil and an error if the stream ends early.
func (c *Client) downloadFrom(ctx context.Context, object string, data []byte) ([]byte, *bramleyv1.DownloadChunk, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn := newConnection(c.config)
	defer func() { _ = conn.transport.Close() }()
	watchdog := time.AfterFunc(c.config.IdleTimeout, func() { cancel(errStalled) })
	defer watchdog.Stop()
	request := &bramleyv1.DownloadRequest{RequestId: rand.Text(), Object: object, Offset: uint64(len(data))}
	stream, err := conn.service.Download(ctx, connect.NewRequest(request))
	if err != nil {
		return data, nil, err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Reset(c.config.IdleTimeout)
		chunk := stream.Msg()
		if chunk.GetRequestId() != request.GetRequestId() || chunk.GetOffset() != uint64(len(data)) {
			return data, nil, errAnswerMismatch
		}
		data = append(data, chunk.GetData()...)
		if chunk.GetLast() {
			return data, chunk, nil
		}
	}
	return data, nil, errors.Join(errTruncated, stream.Err())
}
