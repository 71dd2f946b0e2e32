package agent

import (
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/statechart"
)

// The events of the process chart.
const (
	eventStarted   statechart.Event = "started"
	eventPaused    statechart.Event = "paused"
	eventConfirmed statechart.Event = "confirmed"
	eventStop      statechart.Event = "stop"
	eventDrained   statechart.Event = "drained"
)

// processStates maps the states of the process chart to those that peers see.
var processStates = map[statechart.State]bramleyv1.ProcessState{
	"starting":     bramleyv1.ProcessState_PROCESS_STATE_STARTING,
	"serving":      bramleyv1.ProcessState_PROCESS_STATE_SERVING,
	"suspect_self": bramleyv1.ProcessState_PROCESS_STATE_SUSPECT_SELF,
	"leaving":      bramleyv1.ProcessState_PROCESS_STATE_LEAVING,
	"stopped":      bramleyv1.ProcessState_PROCESS_STATE_STOPPED,
}

// lifecycle is the state of the process as its peers see it. The process chart decides it.
type lifecycle struct {
	mu      sync.Mutex
	machine *statechart.Machine
	state   atomic.Int32
	stop    chan struct{}
	once    sync.Once
}

func newLifecycle() (*lifecycle, error) {
	chart, err := statechart.Builtin("process")
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &lifecycle{machine: chart.NewMachine(), stop: make(chan struct{})}
	l.publish()
	return l, nil
}

// fire applies an event; one that the chart rejects is logged and changes nothing.
func (l *lifecycle) fire(event statechart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.machine.Fire(event); err != nil {
		telemetry.Failure("process_event", err, "event", event)
	}
	l.publish()
}

func (l *lifecycle) publish() { l.state.Store(int32(processStates[l.machine.State()])) }

func (l *lifecycle) get() bramleyv1.ProcessState { return bramleyv1.ProcessState(l.state.Load()) }

// stopping is closed when streams must move to another agent.
func (l *lifecycle) stopping() <-chan struct{} { return l.stop }

func (l *lifecycle) endStreams() { l.once.Do(func() { close(l.stop) }) }
