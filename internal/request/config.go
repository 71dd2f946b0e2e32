// Package request runs the requests of the callers of one upstream: it owns their tickets, gives out the
// slots of the upstream, passes copies to their owners and delegates work to peers.
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
	// ErrNotDelivered is in the chain of an error of Peers.Execute that proves that the peer never
	// received the request, as a failed dial does. Any other error leaves that open.
	ErrNotDelivered = errors.New("request was not delivered")
	// ErrClosed means that the executor has been closed.
	ErrClosed = errors.New("executor is closed")
	// ErrDrainIncomplete means that requests were still running when the time to drain ran out.
	ErrDrainIncomplete = errors.New("requests were still running at the end of the drain")
	// ErrHandOverRejected means that the successor did not take the records.
	ErrHandOverRejected = errors.New("successor did not take the records")
)

// NotDelivered marks err as a proof that a peer never received the request.
func NotDelivered(err error) error {
	return fmt.Errorf("%w: %w", ErrNotDelivered, err)
}

const (
	defaultDeadline    = 10 * time.Second
	defaultServiceTime = 20 * time.Millisecond
	defaultTick        = 100 * time.Millisecond
	commandBuffer      = 1024
)

// PeerLoad is what this process knows about another agent of the service.
type PeerLoad struct {
	Server uint32
	// Busy, Slots and Queued are from the peer's last heartbeat.
	Busy   int
	Slots  int
	Queued int
	// Accepting is false for a peer that must get no new work.
	Accepting bool
	// Silent is true for a peer that has missed its heartbeats.
	Silent bool
}

// Peers reaches the other agents of the service. It is safe for concurrent use.
type Peers interface {
	// Execute sends a request to the agent of a server. Its error has ErrNotDelivered in its chain only
	// when the agent can not have received the request.
	Execute(ctx context.Context, server uint32, req *bramleyv1.ExecuteRequest) (*bramleyv1.ExecuteResponse, error)
	// Offer tells the agent of a server that a slot is free here.
	Offer(ctx context.Context, server uint32, req *bramleyv1.OfferRequest) error
	// Loads returns every other agent of the service.
	Loads() []PeerLoad
}

// Config configures an Executor.
type Config struct {
	Service     uint32
	Server      uint32
	Incarnation uint64
	// Keys seal tickets: the current key, and the previous one or nil.
	Keys [2][]byte
	// Upstream runs the requests. Its HTTP client must not repeat a request on its own.
	Upstream bramleyv1connect.UpstreamServiceClient
	// Peers may be nil for a service with one server.
	Peers Peers
	// Policy returns the policy in force for the upstream.
	Policy func() settings.Policy
	// Now returns the monotonic time.
	Now func() time.Time
	// Rand is used by the executor alone from then on.
	Rand *rand.Rand
	// Deadline is given to requests that carry none. Zero means 10 s.
	Deadline time.Duration
	// Window is how many tickets are remembered, at a quarter byte each. Zero means ticket.DefaultWindow.
	Window int
	// PauseThreshold is the gap between two ticks that counts as a pause of the process: requests that are not
	// idempotent are then refused until Settle(true). Zero turns the check off.
	PauseThreshold time.Duration
	// OnPause is told about a pause, in a goroutine of its own. It may be nil.
	OnPause func()
}
