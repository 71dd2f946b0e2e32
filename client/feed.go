package client

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// feedBuffer is how many events wait for Next before the feed stops reading.
const feedBuffer = 64

// moveInterval is the least time between two tries to move a feed.
const moveInterval = 250 * time.Millisecond

var errSilent = errors.New("stream made no progress")

// Feed is an open subscription. It opens a new stream, on a new connection, when the old one ends or makes
// no progress, and continues after the last event that it has seen. When its server announces a stop, it
// opens the new stream before it leaves the old one.
type Feed struct {
	client     *Client
	topic      string
	events     chan *bramleyv1.FeedEvent
	cancel     context.CancelFunc
	ended      chan struct{}
	last       uint64
	reconnects atomic.Uint64
	moves      atomic.Uint64
}

// Subscribe opens a feed that lives until ctx ends or Close.
func (c *Client) Subscribe(ctx context.Context, topic string) (*Feed, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Feed{
		client: c,
		topic:  topic,
		events: make(chan *bramleyv1.FeedEvent, feedBuffer),
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	go f.run(ctx)
	return f, nil
}

// Next returns the next event that is no heartbeat.
func (f *Feed) Next(ctx context.Context) (*bramleyv1.FeedEvent, error) {
	select {
	case event := <-f.events:
		return event, nil
	case <-f.ended:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Reconnects returns how often the feed had to open a new stream.
func (f *Feed) Reconnects() uint64 {
	return f.reconnects.Load()
}

// Close ends the feed.
func (f *Feed) Close() {
	f.cancel()
	<-f.ended
}

// Moves returns how often the feed moved to another server before its old stream ended.
func (f *Feed) Moves() uint64 {
	return f.moves.Load()
}

func (f *Feed) run(ctx context.Context) {
	defer close(f.ended)
	waits := newBackOff()
	for ctx.Err() == nil {
		s := f.open(ctx)
		for s != nil {
			s = f.follow(ctx, s, waits)
		}
		if ctx.Err() != nil || f.client.sleep(ctx, waits.NextBackOff()) != nil {
			return
		}
		f.reconnects.Add(1)
	}
}

// feedStream is one stream of a feed, on a connection of its own.
type feedStream struct {
	link     *link
	stream   *connect.ServerStreamForClient[bramleyv1.FeedEvent]
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
}

// open returns a stream that has received its first event, or nil.
func (f *Feed) open(ctx context.Context) *feedStream {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &feedStream{link: newLink(f.client.config), cancel: cancel}
	s.watchdog = time.AfterFunc(f.client.config.FeedTimeout, func() { cancel(errSilent) })
	request := &bramleyv1.SubscribeRequest{Topic: f.topic, After: f.last}
	stream, err := s.link.service.Subscribe(ctx, connect.NewRequest(request))
	if err != nil {
		s.close()
		return nil
	}
	s.stream = stream
	if !stream.Receive() {
		s.close()
		return nil
	}
	return s
}

func (s *feedStream) close() {
	s.watchdog.Stop()
	s.cancel(nil)
	if s.stream != nil {
		_ = s.stream.Close()
	}
	_ = s.link.transport.Close()
}

// follow reads one stream to its end. It returns the stream that the feed has moved to, or nil.
func (f *Feed) follow(ctx context.Context, s *feedStream, waits *backoff.ExponentialBackOff) *feedStream {
	defer s.close()
	var tried time.Time
	for more := true; more; more = s.stream.Receive() {
		s.watchdog.Reset(f.client.config.FeedTimeout)
		waits.Reset()
		event := s.stream.Msg()
		if !f.deliver(ctx, event) {
			return nil
		}
		if !event.GetMoving() || time.Since(tried) < moveInterval {
			continue
		}
		tried = time.Now()
		if next := f.open(ctx); next != nil {
			f.moves.Add(1)
			return next
		}
	}
	return nil
}

// deliver hands an event to Next, unless it is a heartbeat, of another topic, or a repeat.
func (f *Feed) deliver(ctx context.Context, event *bramleyv1.FeedEvent) bool {
	if event.GetHeartbeat() || event.GetTopic() != f.topic || event.GetSequence() <= f.last {
		return true
	}
	select {
	case f.events <- event:
		f.last = event.GetSequence()
		return true
	case <-ctx.Done():
		return false
	}
}
