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

var errSilent = errors.New("stream made no progress")

// Feed is an open subscription. It opens a new stream, on a new connection, when the old one ends or makes
// no progress, and continues after the last event that it has seen.
type Feed struct {
	client     *Client
	topic      string
	events     chan *bramleyv1.FeedEvent
	cancel     context.CancelFunc
	ended      chan struct{}
	last       uint64
	reconnects atomic.Uint64
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

func (f *Feed) run(ctx context.Context) {
	defer close(f.ended)
	waits := newBackOff()
	for ctx.Err() == nil {
		f.stream(ctx, waits)
		if ctx.Err() != nil || f.client.sleep(ctx, waits.NextBackOff()) != nil {
			return
		}
		f.reconnects.Add(1)
	}
}

// stream reads one stream to its end.
func (f *Feed) stream(ctx context.Context, waits *backoff.ExponentialBackOff) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k := newLink(f.client.config)
	defer func() { _ = k.transport.Close() }()
	watchdog := time.AfterFunc(f.client.config.FeedTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	request := &bramleyv1.SubscribeRequest{Topic: f.topic, After: f.last}
	stream, err := k.service.Subscribe(ctx, connect.NewRequest(request))
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Reset(f.client.config.FeedTimeout)
		waits.Reset()
		if !f.deliver(ctx, stream.Msg()) {
			return
		}
	}
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
