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
	// ErrCorrupt means that the bytes of an object do not match its length and digest.
	ErrCorrupt = errors.New("object does not match its length and digest")

	errCut = errors.New("download ended before its last chunk")
)

// Download returns a whole object, checked against its length and digest. A cut download resumes until
// ctx ends.
func (c *Client) Download(ctx context.Context, object string) ([]byte, error) {
	waits := newBackOff()
	var data []byte
	for {
		grown, last, err := c.downloadFrom(ctx, object, data)
		if last != nil {
			return whole(grown, last)
		}
		if refused(err) {
			return nil, err
		}
		if len(grown) > len(data) {
			waits.Reset()
		}
		data = grown
		if waitErr := c.sleep(ctx, waits.NextBackOff()); waitErr != nil {
			return nil, errors.Join(waitErr, err)
		}
	}
}

// refused reports whether the service itself has declined the download for good.
func refused(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeNotFound, connect.CodeInvalidArgument, connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return connect.IsWireError(err)
	}
	return false
}

func whole(data []byte, last *bramleyv1.DownloadChunk) ([]byte, error) {
	digest := sha256.Sum256(data)
	if uint64(len(data)) != last.GetLength() || !bytes.Equal(digest[:], last.GetDigest()) {
		return nil, ErrCorrupt
	}
	return data, nil
}

// downloadFrom appends to data what one stream brings, and returns the last chunk if it came.
func (c *Client) downloadFrom(ctx context.Context, object string, data []byte) ([]byte, *bramleyv1.DownloadChunk, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k := newLink(c.config)
	defer func() { _ = k.transport.Close() }()
	watchdog := time.AfterFunc(c.config.IdleTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	request := &bramleyv1.DownloadRequest{RequestId: rand.Text(), Object: object, Offset: uint64(len(data))}
	stream, err := k.service.Download(ctx, connect.NewRequest(request))
	if err != nil {
		return data, nil, err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Reset(c.config.IdleTimeout)
		chunk := stream.Msg()
		if chunk.GetRequestId() != request.GetRequestId() || chunk.GetOffset() != uint64(len(data)) {
			return data, nil, errOtherAnswer
		}
		data = append(data, chunk.GetData()...)
		if chunk.GetLast() {
			return data, chunk, nil
		}
	}
	return data, nil, errors.Join(errCut, stream.Err())
}
