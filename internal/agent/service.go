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
	// maxRetryAfter limits the time that a refused caller is told to wait.
	maxRetryAfter = 30 * time.Second
	// feedBuffer is the number of events from the upstream that may wait for a slow caller.
	feedBuffer = 64
)

// callService implements CallService for callers. It runs requests through the executor and relays
// streams from the upstream.
type callService struct {
	executor *request.Executor
	upstream bramleyv1connect.UpstreamServiceClient
	policy   func() settings.Policy
	// accepting reports whether new streams may start.
	accepting func() bool
	// feedsMoving is closed when feeds must move to another agent.
	feedsMoving <-chan struct{}
	server      uint32
	metrics     *metrics
}

// Call runs a request and returns its answer, or its refusal as an error.
func (s *callService) Call(ctx context.Context, req *connect.Request[bramleyv1.CallRequest]) (*connect.Response[bramleyv1.CallResponse], error) {
	answer, refusal := s.executor.Call(ctx, req.Msg)
	if refusal != nil {
		s.metrics.refusals.Add(1)
		return nil, request.RefusalError(refusal)
	}
	s.metrics.calls.Add(1)
	return connect.NewResponse(answer), nil
}

// Subscribe relays a feed from the upstream and sends heartbeats while the feed has no events.
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

// readEvents queues the events of an upstream's stream until the stream or ctx ends. It then closes
// the stream and events.
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

// Download relays an object from the upstream and verifies it against the length and digest in its
// last chunk.
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
	verifier := newDownloadVerifier(req.Msg)
	for stream.Receive() {
		chunk := stream.Msg()
		if reason := verifier.add(chunk); reason != "" {
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

// unavailable returns the refusal of a stream. Its outcome is NOT_RUN, since a stream can always be
// opened again.
func (s *callService) unavailable(reason string) error {
	wait := min(s.policy().RetryAfter, maxRetryAfter)
	return request.RefusalError(&bramleyv1.Refusal{
		Outcome:      bramleyv1.Outcome_OUTCOME_NOT_RUN,
		RetryAfterMs: uint32(wait.Milliseconds()),
		Reason:       reason,
	})
}

// downloadVerifier verifies that the chunks of a download belong to the request, leave no gap and
// match the length and digest of the object.
type downloadVerifier struct {
	requestID string
	// next is the expected offset of the next chunk.
	next uint64
	// fromStart is set if the download is not resumed. Otherwise, the digest can not be verified, since
	// it covers the whole object.
	fromStart bool
	digest    hash.Hash
}

func newDownloadVerifier(req *bramleyv1.DownloadRequest) *downloadVerifier {
	return &downloadVerifier{
		requestID: req.GetRequestId(),
		next:      req.GetOffset(),
		fromStart: req.GetOffset() == 0,
		digest:    sha256.New(),
	}
}

// add verifies the next chunk and returns the reason why it is invalid, or "".
func (c *downloadVerifier) add(chunk *bramleyv1.DownloadChunk) string {
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
	if c.fromStart && string(c.digest.Sum(nil)) != string(chunk.GetDigest()) {
		return "digest of the download does not match"
	}
	return ""
}
