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

var errOtherAnswer = errors.New("answer does not belong to the request or is not whole")

// Client calls one service. It is safe for concurrent use.
type Client struct {
	config Config
	links  *links

	mu      sync.Mutex
	tickets [][]byte
	budget  *admission.RetryBudget
	closed  chan struct{}
	once    sync.Once
}

// New returns a client. It connects with the first call.
func New(config Config) (*Client, error) {
	if config.Address == "" {
		return nil, errors.New("client: no address")
	}
	config = config.withDefaults()
	return &Client{
		config: config,
		links:  &links{config: config},
		budget: admission.NewRetryBudget(config.RetryShare, retryBurst),
		closed: make(chan struct{}),
	}, nil
}

// Close ends the connections. Calls that still run end with an error.
func (c *Client) Close() {
	c.once.Do(func() {
		close(c.closed)
		c.links.close()
	})
}

// Call runs one request. A request that is not idempotent runs at most once, whatever the error; the
// error is an *Error.
func (c *Client) Call(ctx context.Context, method string, idempotent bool, body []byte) (*bramleyv1.CallResponse, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.Deadline)
		defer cancel()
	}
	request := &bramleyv1.CallRequest{RequestId: rand.Text(), Method: method, Idempotent: idempotent, Body: body}
	a := &attempts{idempotent: idempotent}
	if !idempotent {
		a.ticket = c.takeTicket()
	}
	return c.attemptUntilDone(ctx, request, a)
}

func (c *Client) attemptUntilDone(ctx context.Context, request *bramleyv1.CallRequest, a *attempts) (*bramleyv1.CallResponse, error) {
	waits := newBackOff()
	for {
		request.Ticket = a.ticket
		answer, next, err := c.attempt(ctx, request, a)
		if answer != nil {
			return answer, nil
		}
		if next.end != nil {
			return nil, next.end
		}
		if next.retry && !c.takeRetry() {
			end := a.ended("retry budget is spent", err)
			end.RetryAfter = next.after
			return nil, end
		}
		if next.backoff {
			next.after = waits.NextBackOff()
		}
		if deadline, _ := ctx.Deadline(); time.Until(deadline) <= next.after {
			end := a.ended("the service asks to come back after the deadline", err)
			end.RetryAfter = next.after
			return nil, end
		}
		if waitErr := c.sleep(ctx, next.after); waitErr != nil {
			return nil, a.ended("caller gave up", waitErr)
		}
	}
}

// attempt sends the request once.
func (c *Client) attempt(ctx context.Context, request *bramleyv1.CallRequest, a *attempts) (*bramleyv1.CallResponse, step, error) {
	k, err := c.links.acquire()
	if err != nil {
		return nil, step{end: a.ended("client is closed", err)}, err
	}
	defer c.links.release(k)
	response, err := k.service.Call(ctx, connect.NewRequest(request))
	if err == nil {
		err = check(request, response.Msg)
	}
	if err == nil {
		c.succeeded(k, response.Msg)
		return response.Msg, step{}, nil
	}
	next := c.afterFailure(ctx, a, err)
	if next.reconnect {
		c.reconnect(k)
	}
	return nil, next, err
}

// afterFailure decides after an attempt without an answer. A connection that let a deadline pass may be
// silent for good, so the next call does not use it.
func (c *Client) afterFailure(ctx context.Context, a *attempts, err error) step {
	if refusal := RefusalOf(err); refusal != nil {
		return a.refused(refusal)
	}
	next := a.lost(err)
	if ctx.Err() != nil {
		silent := errors.Is(ctx.Err(), context.DeadlineExceeded)
		return step{end: a.ended("caller gave up", ctx.Err()), reconnect: silent}
	}
	return next
}

func check(request *bramleyv1.CallRequest, answer *bramleyv1.CallResponse) error {
	digest := sha256.Sum256(answer.GetBody())
	if answer.GetRequestId() != request.GetRequestId() || !bytes.Equal(digest[:], answer.GetDigest()) {
		return errOtherAnswer
	}
	return nil
}

// succeeded keeps the next ticket. A server that gives none is leaving, and the next call connects anew.
func (c *Client) succeeded(k *link, answer *bramleyv1.CallResponse) {
	if len(answer.GetNextTicket()) == 0 {
		c.reconnect(k)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Success()
	if len(answer.GetNextTicket()) > 0 && len(c.tickets) < maxTickets {
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

// reconnect replaces the link and forgets the tickets of the server behind it, which would need a detour.
func (c *Client) reconnect(k *link) {
	if !c.links.retire(k) {
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
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = 50 * time.Millisecond
	waits.MaxInterval = 2 * time.Second
	return waits
}
