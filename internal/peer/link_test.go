package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/bramleyrack/bramleyrack/statechart"
)

// scriptedConn is a connection whose calls end as a test says.
type scriptedConn struct {
	closed chan struct{}
	err    error
	breaks bool
}

func (c *scriptedConn) Close() error {
	c.breakOff()
	return nil
}

func (c *scriptedConn) breakOff() {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
}

func (c *scriptedConn) Closed() <-chan struct{} { return c.closed }

func (c *scriptedConn) Unblocked() <-chan struct{} { return nil }

func (c *scriptedConn) Invoke(context.Context, string, drpc.Encoding, drpc.Message, drpc.Message) error {
	if c.breaks {
		c.breakOff()
	}
	return c.err
}

func (c *scriptedConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.ErrUnsupported
}

func TestLinkFollowsTheChart(t *testing.T) {
	late, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	refusal := errors.New("refused")
	tests := []struct {
		name   string
		ctx    context.Context
		err    error
		breaks bool
		want   statechart.State
	}{
		{"answer", context.Background(), nil, false, "live"},
		{"error of the peer", context.Background(), refusal, false, "live"},
		{"lost connection", context.Background(), refusal, true, stateClosed},
		{"no answer in time", late, context.DeadlineExceeded, false, stateClosed},
	}
	chart, err := statechart.Builtin(statechart.Link)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn := &scriptedConn{closed: make(chan struct{}), err: test.err, breaks: test.breaks}
			l := newLink(chart)
			if err := l.opened(conn, nil); err != nil {
				t.Fatal(err)
			}
			if err := l.Invoke(test.ctx, "call", nil, nil, nil); !errors.Is(err, test.err) {
				t.Fatalf("got %v", err)
			}
			if l.state() != test.want || l.broken() != (test.want == stateClosed) {
				t.Fatalf("state %s, closed %v", l.state(), l.broken())
			}
		})
	}
}
