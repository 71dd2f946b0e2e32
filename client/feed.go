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

// feedBuffer is the number of events that are buffered for Next before the feed stops reading.
const feedBuffer = 64

// moveInterval is the minimum time between two attempts to move a feed to another server.
const moveInterval = 250 * time.Millisecond

var errStalled = errors.New("nothing received on the stream within its timeout")

// Feed is an open subscription. When its stream ends or stalls, it opens a new one on a new connection
// and continues after the last event received. When its server announces a stop, it opens the new
// stream before it closes the old one.
type Feed struct {
	client       *Client
	topic        string
	events       chan *bramleyv1.FeedEvent
	cancel       context.CancelFunc
	done         chan struct{}
	lastSequence uint64
	reconnects   atomic.Uint64
	moves        atomic.Uint64
}

// Subscribe opens a feed, which stays open until ctx ends or Close is called.
func (c *Client) Subscribe(ctx context.Context, topic string) (*Feed, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Feed{
		client: c,
		topic:  topic,
		events: make(chan *bramleyv1.FeedEvent, feedBuffer),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go f.run(ctx)
	return f, nil
}

// Next waits for the next event other than a heartbeat.
func (f *Feed) Next(ctx context.Context) (*bramleyv1.FeedEvent, error) {
	select {
	case event := <-f.events:
		return event, nil
	case <-f.done:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Reconnects returns the number of attempts to reopen the stream after it ended or stalled.
func (f *Feed) Reconnects() uint64 {
	return f.reconnects.Load()
}

// Close closes the feed and waits until its stream is closed.
func (f *Feed) Close() {
	f.cancel()
	<-f.done
}

// Moves returns how often the feed has moved to another server before its old stream ended.
func (f *Feed) Moves() uint64 {
	return f.moves.Load()
}

func (f *Feed) run(ctx context.Context) {
	defer close(f.done)
	backOff := newBackOff()
	for ctx.Err() == nil {
		s := f.open(ctx)
		for s != nil {
			s = f.readStream(ctx, s, backOff)
		}
		if ctx.Err() != nil || f.client.sleep(ctx, backOff.NextBackOff()) != nil {
			return
		}
		f.reconnects.Add(1)
	}
}

// feedStream is one stream of a feed, with its own connection.
type feedStream struct {
	conn     *connection
	stream   *connect.ServerStreamForClient[bramleyv1.FeedEvent]
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
}

// open opens a stream and waits for its first message. It returns nil on failure.
func (f *Feed) open(ctx context.Context) *feedStream {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &feedStream{conn: newConnection(f.client.config), cancel: cancel}
	s.watchdog = time.AfterFunc(f.client.config.FeedTimeout, func() { cancel(errStalled) })
	request := &bramleyv1.SubscribeRequest{Topic: f.topic, After: f.lastSequence}
	stream, err := s.conn.service.Subscribe(ctx, connect.NewRequest(request))
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
	_ = s.conn.transport.Close()
}

// readStream delivers the events of one stream until it ends. It returns the stream that the feed has
// moved to, or nil.
func (f *Feed) readStream(ctx context.Context, s *feedStream, backOff *backoff.ExponentialBackOff) *feedStream {
	defer s.close()
	var lastMoveAttempt time.Time
	for more := true; more; more = s.stream.Receive() {
		s.watchdog.Reset(f.client.config.FeedTimeout)
		backOff.Reset()
		event := s.stream.Msg()
		if !f.deliver(ctx, event) {
			return nil
		}
		if !event.GetMoving() || time.Since(lastMoveAttempt) < moveInterval {
			continue
		}
		lastMoveAttempt = time.Now()
		if next := f.open(ctx); next != nil {
			f.moves.Add(1)
			return next
		}
	}
	return nil
}

// deliver passes an event on to Next, unless it is a heartbeat, a duplicate or of another topic. It
// returns false if ctx ends first.
func (f *Feed) deliver(ctx context.Context, event *bramleyv1.FeedEvent) bool {
	if event.GetHeartbeat() || event.GetTopic() != f.topic || event.GetSequence() <= f.lastSequence {
		return true
	}
	select {
	case f.events <- event:
		f.lastSequence = event.GetSequence()
		return true
	case <-ctx.Done():
		return false
	}
}
