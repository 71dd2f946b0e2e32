// Package request executes the requests that callers send to one upstream. It owns the tickets that it issues,
// schedules requests onto the slots of the upstream, forwards copies of a request to the owner of its ticket and
// delegates requests to peers when no local slot is free.
package request

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/settings"
)

var (
	// ErrNotDelivered is wrapped by an error of Peers.Execute if the peer certainly never received the request, for
	// example after a failed dial. After any other error the peer may have received it.
	ErrNotDelivered = errors.New("request was not delivered")
	// ErrClosed means that an operation did not take place because the executor is closed.
	ErrClosed = errors.New("executor is closed")
	// ErrDrainIncomplete means that requests were still running when the context of Drain ended.
	ErrDrainIncomplete = errors.New("drain ended while requests were still running")
	// ErrHandOverRejected means that the successor rejected a batch of records, because it is draining, serves another
	// service or already holds the records of too many owners.
	ErrHandOverRejected = errors.New("successor rejected the ticket records")
)

// NotDelivered wraps err to state that the peer never received the request.
func NotDelivered(err error) error {
	return fmt.Errorf("%w: %w", ErrNotDelivered, err)
}

const (
	defaultDeadline = 10 * time.Second
	// initialServiceTime is the estimated service time until the first request has finished.
	initialServiceTime = 20 * time.Millisecond
	// tickInterval is the interval at which the loop calls core.tick.
	tickInterval = 100 * time.Millisecond
	// commandBuffer is the number of commands that can wait for the loop before their senders block.
	commandBuffer = 1024
)

// PeerLoad is the last known load of another agent of the service.
type PeerLoad struct {
	Server uint32
	// Busy, Slots and Queued come from the peer's last heartbeat.
	Busy   int
	Slots  int
	Queued int
	// Accepting is set for a peer that may receive new requests.
	Accepting bool
	// Silent is set for a peer whose heartbeats are overdue.
	Silent bool
}

// Peers sends messages to the other agents of the service. Implementations are safe for concurrent use.
type Peers interface {
	// Execute sends a request to the agent of a server. The error wraps ErrNotDelivered only if the agent cannot have
	// received the request.
	Execute(ctx context.Context, server uint32, req *bramleyv1.ExecuteRequest) (*bramleyv1.ExecuteResponse, error)
	// Offer informs the agent of a server that the sender has a free slot.
	Offer(ctx context.Context, server uint32, req *bramleyv1.OfferRequest) error
	// Loads returns the load of every other agent of the service.
	Loads() []PeerLoad
}

// Config configures an Executor.
type Config struct {
	Service     uint32
	Server      uint32
	Incarnation uint64
	// Keys are the ticket keys: the current key, and the previous key or nil.
	Keys [2][]byte
	// Upstream runs the requests. Its HTTP client must not retry, because a request that is not idempotent must run
	// at most once.
	Upstream bramleyv1connect.UpstreamServiceClient
	// Peers may be nil if the service has only one server.
	Peers Peers
	// Policy returns the current policy of the upstream.
	Policy func() settings.Policy
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
	// Rand must not be used by anything else once it is passed to New.
	Rand *rand.Rand
	// Deadline is the time limit of requests that carry no deadline. Zero means 10 s.
	Deadline time.Duration
	// Window is the number of most recent tickets whose state is kept, at a quarter byte each. Zero means
	// ticket.DefaultWindow.
	Window int
	// PauseThreshold is the gap between two iterations of the loop, or between the grant of a slot and the start of the
	// request, above which the process counts as paused. After a pause, requests that are not idempotent are refused
	// until SetViewConfirmed(true). Zero disables the check.
	PauseThreshold time.Duration
	// OnPause is called in a separate goroutine after a pause is detected. It may be nil.
	OnPause func()
}
