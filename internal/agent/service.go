package agent

import (
	"context"
	"crypto/sha256"
	"hash"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/internal/request"
	"github.com/bramleyrack/bramleyrack/settings"
)

const (
	// maxRetryAfter bounds the time that a refused caller is told to wait.
	maxRetryAfter = 30 * time.Second
	// feedBuffer is how many events of an upstream may wait for a slow caller.
	feedBuffer = 64
)

// callService serves callers: it runs requests through the executor and relays streams.
type callService struct {
	executor *request.Executor
	upstream bramleyv1connect.UpstreamServiceClient
	policy   func() settings.Policy
	// accepting reports whether new work may start.
	accepting func() bool
	// stopping is closed when feeds must move to another agent.
	stopping <-chan struct{}
	number   uint32
	metrics  *metrics
}

// Call runs one request.
func (s *callService) Call(ctx context.Context, req *connect.Request[bramleyv1.CallRequest]) (*connect.Response[bramleyv1.CallResponse], error) {
	answer, refusal := s.executor.Call(ctx, req.Msg)
	if refusal != nil {
		s.metrics.refusals.Add(1)
		return nil, request.RefusalError(refusal)
	}
	s.metrics.calls.Add(1)
	return connect.NewResponse(answer), nil
}

// Subscribe relays a feed and fills its silences with heartbeats.
func (s *callService) Subscribe(ctx context.Context, req *connect.Request[bramleyv1.SubscribeRequest], out *connect.ServerStream[bramleyv1.FeedEvent]) error {
	if !s.accepting() {
		return s.unavailable("agent is leaving")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.upstream.Subscribe(ctx, connect.NewRequest(req.Msg))
	if err != nil {
		return s.unavailable("upstream refused the feed")
	}
	s.metrics.feeds.Add(1)
	defer s.metrics.feeds.Add(-1)
	events := make(chan *bramleyv1.FeedEvent, feedBuffer)
	go readEvents(ctx, stream, events)
	return s.relayFeed(ctx, req.Msg.GetTopic(), events, out)
}

// readEvents owns the upstream's stream until it ends.
func readEvents(ctx context.Context, stream *connect.ServerStreamForClient[bramleyv1.FeedEvent], events chan<- *bramleyv1.FeedEvent) {
	defer close(events)
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		select {
		case events <- stream.Msg():
		case <-ctx.Done():
			return
		}
	}
}

// Download relays one object and checks it against the length and digest of its last chunk.
func (s *callService) Download(ctx context.Context, req *connect.Request[bramleyv1.DownloadRequest], out *connect.ServerStream[bramleyv1.DownloadChunk]) error {
	if !s.accepting() {
		return s.unavailable("agent is leaving")
	}
	stream, err := s.upstream.Download(ctx, connect.NewRequest(req.Msg))
	if err != nil {
		return s.unavailable("upstream refused the download")
	}
	defer func() { _ = stream.Close() }()
	s.metrics.downloads.Add(1)
	check := newDownloadCheck(req.Msg)
	for stream.Receive() {
		chunk := stream.Msg()
		if reason := check.add(chunk); reason != "" {
			s.metrics.badAnswers.Add(1)
			return s.unavailable(reason)
		}
		if err := out.Send(chunk); err != nil {
			return err
		}
		if chunk.GetLast() {
			return nil
		}
	}
	return s.unavailable("upstream ended the download early")
}

// unavailable is the refusal of a stream, which can always be opened again.
func (s *callService) unavailable(reason string) error {
	wait := min(s.policy().RetryAfter, maxRetryAfter)
	return request.RefusalError(&bramleyv1.Refusal{
		Outcome:      bramleyv1.Outcome_OUTCOME_NOT_RUN,
		RetryAfterMs: uint32(wait.Milliseconds()),
		Reason:       reason,
	})
}

// downloadCheck verifies that the chunks of a download belong to it and are whole.
type downloadCheck struct {
	requestID string
	next      uint64
	whole     bool
	digest    hash.Hash
}

func newDownloadCheck(req *bramleyv1.DownloadRequest) *downloadCheck {
	return &downloadCheck{
		requestID: req.GetRequestId(),
		next:      req.GetOffset(),
		whole:     req.GetOffset() == 0,
		digest:    sha256.New(),
	}
}

// add takes the next chunk and returns the reason why it is wrong, or "".
func (c *downloadCheck) add(chunk *bramleyv1.DownloadChunk) string {
	if chunk.GetRequestId() != c.requestID {
		return "upstream answered another request"
	}
	if chunk.GetOffset() != c.next {
		return "upstream left a gap in the download"
	}
	c.next += uint64(len(chunk.GetData()))
	c.digest.Write(chunk.GetData())
	if !chunk.GetLast() {
		return ""
	}
	if chunk.GetLength() != c.next {
		return "upstream cut the download short"
	}
	if c.whole && string(c.digest.Sum(nil)) != string(chunk.GetDigest()) {
		return "digest of the download does not match"
	}
	return ""
}
