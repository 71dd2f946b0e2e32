package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/bramleyrack/bramleyrack/statechart"
)

// scriptedConn is a connection whose calls return err. If closesOnCall is set, a call closes the connection first.
type scriptedConn struct {
	closed       chan struct{}
	err          error
	closesOnCall bool
}

func (c *scriptedConn) Close() error {
	c.closeOnce()
	return nil
}

func (c *scriptedConn) closeOnce() {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
}

func (c *scriptedConn) Closed() <-chan struct{} { return c.closed }

func (c *scriptedConn) Unblocked() <-chan struct{} { return nil }

func (c *scriptedConn) Invoke(context.Context, string, drpc.Encoding, drpc.Message, drpc.Message) error {
	if c.closesOnCall {
		c.closeOnce()
	}
	return c.err
}

func (c *scriptedConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.ErrUnsupported
}

func TestLinkStateAfterCall(t *testing.T) {
	late, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	refusal := errors.New("refused")
	tests := []struct {
		name         string
		ctx          context.Context
		err          error
		closesOnCall bool
		want         statechart.State
	}{
		{"answer", context.Background(), nil, false, "live"},
		{"error from the peer", context.Background(), refusal, false, "live"},
		{"lost connection", context.Background(), refusal, true, stateClosed},
		{"call timeout", late, context.DeadlineExceeded, false, stateClosed},
	}
	chart, err := statechart.Builtin(statechart.Link)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn := &scriptedConn{closed: make(chan struct{}), err: test.err, closesOnCall: test.closesOnCall}
			l := newLink(chart)
			if err := l.setConn(conn, nil); err != nil {
				t.Fatal(err)
			}
			if err := l.Invoke(test.ctx, "call", nil, nil, nil); !errors.Is(err, test.err) {
				t.Fatalf("got %v", err)
			}
			if l.state() != test.want || l.connClosed() != (test.want == stateClosed) {
				t.Fatalf("state %s, closed %v", l.state(), l.connClosed())
			}
		})
	}
}
