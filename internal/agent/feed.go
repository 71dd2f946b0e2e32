package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/settings"
)

const (
	// moveShare is the part of the drain timeout over which feeds are asked to move: one in moveShare.
	moveShare = 10
	// moveGrace is how long a caller may take to leave a stream that is moving.
	moveGrace = 5 * time.Second
)

// feedRelay decides what a caller gets next: an event, a heartbeat, or the request to move.
type feedRelay struct {
	topic     string
	policy    settings.Policy
	events    <-chan *bramleyv1.FeedEvent
	heartbeat *time.Ticker
	stopping  <-chan struct{}
	move      <-chan time.Time
	end       <-chan time.Time
}

// relayFeed sends the events of an upstream to a caller. The first heartbeat goes out at once, so
// that the caller knows that the feed is open.
func (s *callService) relayFeed(ctx context.Context, topic string, events <-chan *bramleyv1.FeedEvent, out *connect.ServerStream[bramleyv1.FeedEvent]) error {
	policy := s.policy()
	r := &feedRelay{
		topic:     topic,
		policy:    policy,
		events:    events,
		heartbeat: time.NewTicker(policy.FeedHeartbeat),
		stopping:  s.stopping,
	}
	defer r.heartbeat.Stop()
	event := r.silence()
	for event != nil {
		event.Upstream = s.number
		event.Moving = r.end != nil
		if err := out.Send(event); err != nil {
			return err
		}
		event = r.next(ctx)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return s.unavailable("feed ended here; open it again")
}

// next waits for what to send, and returns nil when the stream ends.
func (r *feedRelay) next(ctx context.Context) *bramleyv1.FeedEvent {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-r.events:
			return event
		case <-r.heartbeat.C:
			return r.silence()
		case <-r.stopping:
			// Feeds move one by one, so that their callers don't all connect at once.
			r.stopping = nil
			r.move = time.After(rand.N(r.policy.DrainTimeout/moveShare + 1))
		case <-r.move:
			r.move = nil
			r.end = time.After(moveGrace)
			return r.silence()
		case <-r.end:
			return nil
		}
	}
}

// silence returns an event without a body.
func (r *feedRelay) silence() *bramleyv1.FeedEvent {
	return &bramleyv1.FeedEvent{Topic: r.topic, Heartbeat: true}
}
