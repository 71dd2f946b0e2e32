package agent

import (
	"sync"
	"sync/atomic"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// lifecycle is the state of the process as its peers see it.
type lifecycle struct {
	state atomic.Int32
	stop  chan struct{}
	once  sync.Once
}

func newLifecycle() *lifecycle {
	l := &lifecycle{stop: make(chan struct{})}
	l.set(bramleyv1.ProcessState_PROCESS_STATE_STARTING)
	return l
}

func (l *lifecycle) set(state bramleyv1.ProcessState) { l.state.Store(int32(state)) }

func (l *lifecycle) get() bramleyv1.ProcessState { return bramleyv1.ProcessState(l.state.Load()) }

// stopping is closed when streams must move to another agent.
func (l *lifecycle) stopping() <-chan struct{} { return l.stop }

func (l *lifecycle) endStreams() { l.once.Do(func() { close(l.stop) }) }
