package peer

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcpool"

	"github.com/bramleyrack/bramleyrack/statechart"
)

// Events of the link state chart.
const (
	eventDial     statechart.Event = "dial"
	eventDialed   statechart.Event = "dialed"
	eventFailed   statechart.Event = "failed"
	eventProgress statechart.Event = "progress"
	eventSilent   statechart.Event = "silent"
	eventTimeout  statechart.Event = "timeout"
	eventClose    statechart.Event = "close"
)

// stateClosed is the state of a link without a usable connection. The pool replaces such a link.
const stateClosed statechart.State = "closed"

// link is a connection to a peer. Its state machine, driven by the outcome of each call, decides when to close it.
type link struct {
	drpcpool.Conn

	mu      sync.Mutex
	machine *statechart.Machine
}

func newLink(chart *statechart.Chart) *link {
	l := &link{machine: chart.NewMachine()}
	l.fire(eventDial)
	return l
}

// setConn records the result of the dial: the connection, or the error, which it returns.
func (l *link) setConn(conn drpcpool.Conn, err error) error {
	if err != nil {
		l.fire(eventFailed)
		return err
	}
	l.Conn = conn
	l.fire(eventDialed)
	return nil
}

// Invoke closes the link if the call times out, because a peer can stop answering while the connection stays open.
func (l *link) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := l.Conn.Invoke(ctx, rpc, enc, in, out)
	for _, event := range l.callEvents(ctx, err) {
		l.fire(event)
	}
	if l.state() == stateClosed {
		_ = l.Conn.Close()
	}
	return err
}

// callEvents maps the result of a call to events of the state chart. A timeout is two events, because the chart
// marks a silent link as suspect before it closes it. An error that the peer returned counts as progress.
func (l *link) callEvents(ctx context.Context, err error) []statechart.Event {
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return []statechart.Event{eventSilent, eventTimeout}
	case err != nil && l.connClosed():
		return []statechart.Event{eventFailed}
	default:
		return []statechart.Event{eventProgress}
	}
}

func (l *link) connClosed() bool {
	select {
	case <-l.Conn.Closed():
		return true
	default:
		return false
	}
}

func (l *link) Close() error {
	l.fire(eventClose)
	return l.Conn.Close()
}

// fire applies an event. The error is ignored: the chart rejects only events that a link never fires in that state.
func (l *link) fire(event statechart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.machine.Fire(event)
}

func (l *link) state() statechart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}
