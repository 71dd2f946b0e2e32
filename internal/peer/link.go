package peer

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcpool"

	"github.com/bramleyrack/bramleyrack/statechart"
)

// The events of the link chart.
const (
	eventDial     statechart.Event = "dial"
	eventDialed   statechart.Event = "dialed"
	eventFailed   statechart.Event = "failed"
	eventProgress statechart.Event = "progress"
	eventSilent   statechart.Event = "silent"
	eventTimeout  statechart.Event = "timeout"
	eventClose    statechart.Event = "close"
)

// stateClosed is the state of the link chart in which a link is replaced.
const stateClosed statechart.State = "closed"

// link is one connection to a peer. The link chart decides when it is closed.
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

// opened takes the connection or the error of the dial.
func (l *link) opened(conn drpcpool.Conn, err error) error {
	if err != nil {
		l.fire(eventFailed)
		return err
	}
	l.Conn = conn
	l.fire(eventDialed)
	return nil
}

// Invoke makes one call. A call without an answer in time closes the link.
func (l *link) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := l.Conn.Invoke(ctx, rpc, enc, in, out)
	for _, event := range l.outcome(ctx, err) {
		l.fire(event)
	}
	if l.state() == stateClosed {
		_ = l.Conn.Close()
	}
	return err
}

// outcome returns the events of a call that has ended.
func (l *link) outcome(ctx context.Context, err error) []statechart.Event {
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return []statechart.Event{eventSilent, eventTimeout}
	case err != nil && l.broken():
		return []statechart.Event{eventFailed}
	default:
		return []statechart.Event{eventProgress}
	}
}

func (l *link) broken() bool {
	select {
	case <-l.Conn.Closed():
		return true
	default:
		return false
	}
}

// Close closes the link.
func (l *link) Close() error {
	l.fire(eventClose)
	return l.Conn.Close()
}

// fire applies an event; the chart rejects only events that a link never fires in that state.
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
