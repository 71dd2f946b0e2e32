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
	// moveWindowDivisor divides the drain timeout into the window over which the agent spreads its
	// requests to callers to move their feeds.
	moveWindowDivisor = 10
	// moveGrace is the time that a caller has to open the feed elsewhere before its stream is closed.
	moveGrace = 5 * time.Second
)

// feedRelay selects the next message to a subscribed caller: an event, a heartbeat, or the request to
// move the feed to another agent.
type feedRelay struct {
	topic     string
	policy    settings.Policy
	events    <-chan *bramleyv1.FeedEvent
	heartbeat *time.Ticker
	// feedsMoving is closed when feeds must move to another agent. next then sets it to nil and starts
	// the random delay of moveDue.
	feedsMoving <-chan struct{}
	// moveDue fires when the caller is to be asked to move, and endDue when the grace period is over.
	moveDue <-chan time.Time
	endDue  <-chan time.Time
}

// relayFeed relays the events of an upstream to a caller until either of them or the agent ends the
// stream. It sends the first heartbeat immediately, so that the caller knows that the feed is open.
func (s *callService) relayFeed(ctx context.Context, topic string, events <-chan *bramleyv1.FeedEvent, out *connect.ServerStream[bramleyv1.FeedEvent]) error {
	policy := s.policy()
	r := &feedRelay{
		topic:       topic,
		policy:      policy,
		events:      events,
		heartbeat:   time.NewTicker(policy.FeedHeartbeat),
		feedsMoving: s.feedsMoving,
	}
	defer r.heartbeat.Stop()
	event := r.newHeartbeat()
	for event != nil {
		event.Upstream = s.server
		event.Moving = r.endDue != nil
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

// next returns the next message to send, or nil when the stream ends.
func (r *feedRelay) next(ctx context.Context) *bramleyv1.FeedEvent {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-r.events:
			return event
		case <-r.heartbeat.C:
			return r.newHeartbeat()
		case <-r.feedsMoving:
			// A random delay spreads the reconnects of the callers.
			r.feedsMoving = nil
			r.moveDue = time.After(rand.N(r.policy.DrainTimeout/moveWindowDivisor + 1))
		case <-r.moveDue:
			r.moveDue = nil
			r.endDue = time.After(moveGrace)
			return r.newHeartbeat()
		case <-r.endDue:
			return nil
		}
	}
}

// newHeartbeat returns a heartbeat, which is an event without a body.
func (r *feedRelay) newHeartbeat() *bramleyv1.FeedEvent {
	return &bramleyv1.FeedEvent{Topic: r.topic, Heartbeat: true}
}
