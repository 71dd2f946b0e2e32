package upstream

import (
	"context"
	"crypto/sha256"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/standin/content"
)

// Subscribe sends the events of a topic that follow the last one that the caller received.
func (u *Upstream) Subscribe(ctx context.Context, req *connect.Request[bramleyv1.SubscribeRequest], stream *connect.ServerStream[bramleyv1.FeedEvent]) error {
	if u.draining.Load() {
		return connect.NewError(connect.CodeUnavailable, errDraining)
	}
	now := time.Now()
	u.recordStream("feed", req.Msg.GetTopic(), now)
	next := req.Msg.GetAfter() + 1
	if req.Msg.GetAfter() == 0 {
		next = content.NewestSequence(now)
	}
	ticker := time.NewTicker(content.FeedInterval)
	defer ticker.Stop()
	for {
		for newest := content.NewestSequence(time.Now()); next <= newest; next++ {
			if err := stream.Send(u.newEvent(req.Msg.GetTopic(), next)); err != nil {
				return err
			}
		}
		select {
		case <-ticker.C:
		case <-u.drainStarted:
			return connect.NewError(connect.CodeUnavailable, errDraining)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (u *Upstream) newEvent(topic string, sequence uint64) *bramleyv1.FeedEvent {
	return &bramleyv1.FeedEvent{
		Topic:    topic,
		Sequence: sequence,
		Body:     content.Event(topic, sequence),
		Upstream: u.config.Number,
	}
}

// Download sends an object in chunks. The last chunk carries the length and digest of the whole object.
func (u *Upstream) Download(ctx context.Context, req *connect.Request[bramleyv1.DownloadRequest], stream *connect.ServerStream[bramleyv1.DownloadChunk]) error {
	if u.draining.Load() {
		return connect.NewError(connect.CodeUnavailable, errDraining)
	}
	u.recordStream("download", req.Msg.GetObject(), time.Now())
	if req.Msg.GetOffset() > 0 {
		u.runs.update(func(r *Report) { r.ResumedDownloads++ })
	}
	data := content.Object(req.Msg.GetObject(), u.config.ObjectBytes)
	offset := min(req.Msg.GetOffset(), uint64(len(data)))
	for {
		chunk := u.newChunk(req.Msg.GetRequestId(), data, offset)
		if err := stream.Send(chunk); err != nil {
			return err
		}
		if chunk.GetLast() {
			return nil
		}
		offset += uint64(len(chunk.GetData()))
		select {
		case <-time.After(u.config.ChunkInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (u *Upstream) newChunk(requestID string, data []byte, offset uint64) *bramleyv1.DownloadChunk {
	end := min(offset+chunkBytes, uint64(len(data)))
	chunk := &bramleyv1.DownloadChunk{
		RequestId: requestID,
		Offset:    offset,
		Data:      data[offset:end],
		Last:      end == uint64(len(data)),
	}
	if chunk.GetLast() {
		digest := sha256.Sum256(data)
		chunk.Length = uint64(len(data))
		chunk.Digest = digest[:]
	}
	return chunk
}

// recordStream records the start of a feed or download.
func (u *Upstream) recordStream(method, item string, now time.Time) {
	u.runs.record(Run{Method: method, Item: item, Idempotent: true, StartedMilliseconds: now.UnixMilli()})
}
