package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	"github.com/bramleyrack/bramleyrack/admission"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

var errAnswerMismatch = errors.New("answer does not match the request ID, offset or digest")

// Client calls one service. It is safe for concurrent use.
type Client struct {
	config Config
	shared *sharedConnection

	mu      sync.Mutex
	tickets [][]byte
	budget  *admission.RetryBudget
	closed  chan struct{}
	once    sync.Once
}

// New returns a client. The first call opens the connection.
func New(config Config) (*Client, error) {
	if config.Address == "" {
		return nil, errors.New("client: Config.Address is empty")
	}
	config = config.withDefaults()
	return &Client{
		config: config,
		shared: &sharedConnection{config: config},
		budget: admission.NewRetryBudget(config.RetryShare, retryBurst),
		closed: make(chan struct{}),
	}, nil
}

// Close closes the connection that calls share, so that the calls on it fail, and ends all waits for
// a retry. Feeds and downloads end when their current stream ends.
func (c *Client) Close() {
	c.once.Do(func() {
		close(c.closed)
		c.shared.close()
	})
}

// Call sends one request and retries it as far as that is safe. A request that is not idempotent runs
// at most once, whatever the error. The error is an *Error.
func (c *Client) Call(ctx context.Context, method string, idempotent bool, body []byte) (*bramleyv1.CallResponse, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.Deadline)
		defer cancel()
	}
	request := &bramleyv1.CallRequest{RequestId: rand.Text(), Method: method, Idempotent: idempotent, Body: body}
	state := &callState{idempotent: idempotent}
	if !idempotent {
		state.ticket = c.takeTicket()
	}
	return c.callWithRetries(ctx, request, state)
}

func (c *Client) callWithRetries(ctx context.Context, request *bramleyv1.CallRequest, state *callState) (*bramleyv1.CallResponse, error) {
	backOff := newBackOff()
	for {
		request.Ticket = state.ticket
		answer, next, err := c.attempt(ctx, request, state)
		if answer != nil {
			return answer, nil
		}
		if next.err != nil {
			return nil, next.err
		}
		if next.countsAsRetry && !c.takeRetry() {
			callErr := state.endError("retry budget is exhausted", err)
			callErr.RetryAfter = next.after
			return nil, callErr
		}
		if next.backoff {
			next.after = backOff.NextBackOff()
		}
		if deadline, _ := ctx.Deadline(); time.Until(deadline) <= next.after {
			callErr := state.endError("deadline passes before the next attempt is due", err)
			callErr.RetryAfter = next.after
			return nil, callErr
		}
		if waitErr := c.sleep(ctx, next.after); waitErr != nil {
			return nil, state.endError("wait for the next attempt was canceled", waitErr)
		}
	}
}

// attempt sends the request once. The decision is set if the answer is nil.
func (c *Client) attempt(ctx context.Context, request *bramleyv1.CallRequest, state *callState) (*bramleyv1.CallResponse, decision, error) {
	conn, err := c.shared.acquire()
	if err != nil {
		return nil, decision{err: state.endError("client is closed", err)}, err
	}
	defer c.shared.release(conn)
	response, err := conn.service.Call(ctx, connect.NewRequest(request))
	if err == nil {
		err = checkAnswer(request, response.Msg)
	}
	if err == nil {
		c.onSuccess(conn, response.Msg)
		return response.Msg, decision{}, nil
	}
	next := c.onFailure(ctx, state, err)
	if next.reconnect {
		c.reconnect(conn)
	}
	return nil, next, err
}

// onFailure handles a failed attempt. If the deadline passed, the connection may be dead, so the next
// call does not use it.
func (c *Client) onFailure(ctx context.Context, state *callState, err error) decision {
	if refusal := RefusalOf(err); refusal != nil {
		return state.onRefusal(refusal)
	}
	next := state.onNoAnswer(err)
	if ctx.Err() != nil {
		timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
		return decision{err: state.endError("context ended during an attempt", ctx.Err()), reconnect: timedOut}
	}
	return next
}

func checkAnswer(request *bramleyv1.CallRequest, answer *bramleyv1.CallResponse) error {
	digest := sha256.Sum256(answer.GetBody())
	if answer.GetRequestId() != request.GetRequestId() || !bytes.Equal(digest[:], answer.GetDigest()) {
		return errAnswerMismatch
	}
	return nil
}

// onSuccess keeps the next ticket. A server that sends none is leaving, so the next call opens a new
// connection.
func (c *Client) onSuccess(conn *connection, answer *bramleyv1.CallResponse) {
	if len(answer.GetNextTicket()) == 0 {
		c.reconnect(conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Success()
	if len(answer.GetNextTicket()) > 0 && len(c.tickets) < maxUnusedTickets {
		c.tickets = append(c.tickets, answer.GetNextTicket())
	}
}

func (c *Client) takeTicket() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.tickets) - 1
	if last < 0 {
		return nil
	}
	taken := c.tickets[last]
	c.tickets = c.tickets[:last]
	return taken
}

func (c *Client) takeRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Take()
}

// reconnect retires the connection and drops the unused tickets. The server that issued them owns
// them, so another server would have to forward the requests that carry them.
func (c *Client) reconnect(conn *connection) {
	if !c.shared.retire(conn) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = nil
}

func (c *Client) sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.closed:
		return ErrClosed
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = 50 * time.Millisecond
	backOff.MaxInterval = 2 * time.Second
	return backOff
}
