package agent

import (
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/statechart"
)

// Events of the state chart of the process.
const (
	eventStarted   statechart.Event = "started"
	eventPaused    statechart.Event = "paused"
	eventConfirmed statechart.Event = "confirmed"
	eventStop      statechart.Event = "stop"
	eventDrained   statechart.Event = "drained"
)

// processStates maps the states of the state chart to those that peers receive.
var processStates = map[statechart.State]bramleyv1.ProcessState{
	"starting":     bramleyv1.ProcessState_PROCESS_STATE_STARTING,
	"serving":      bramleyv1.ProcessState_PROCESS_STATE_SERVING,
	"suspect_self": bramleyv1.ProcessState_PROCESS_STATE_SUSPECT_SELF,
	"leaving":      bramleyv1.ProcessState_PROCESS_STATE_LEAVING,
	"stopped":      bramleyv1.ProcessState_PROCESS_STATE_STOPPED,
}

// lifecycle holds the state of the process, which a state chart determines. It is safe for concurrent
// use.
type lifecycle struct {
	mu       sync.Mutex
	machine  *statechart.Machine
	state    atomic.Int32
	moving   chan struct{}
	moveOnce sync.Once
}

func newLifecycle() (*lifecycle, error) {
	chart, err := statechart.Builtin("process")
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &lifecycle{machine: chart.NewMachine(), moving: make(chan struct{})}
	l.storeState()
	return l, nil
}

// fire applies an event. An event that the state chart rejects is logged and changes nothing.
func (l *lifecycle) fire(event statechart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.machine.Fire(event); err != nil {
		telemetry.Failure("process_event", err, "event", event)
	}
	l.storeState()
}

func (l *lifecycle) storeState() { l.state.Store(int32(processStates[l.machine.State()])) }

func (l *lifecycle) current() bramleyv1.ProcessState { return bramleyv1.ProcessState(l.state.Load()) }

// feedsMoving returns a channel that is closed when feeds must move to another agent.
func (l *lifecycle) feedsMoving() <-chan struct{} { return l.moving }

func (l *lifecycle) moveFeeds() { l.moveOnce.Do(func() { close(l.moving) }) }
