package statechart

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// RejectedError says that an event can't happen in the state that the machine is in.
type RejectedError struct {
	Chart string
	State State
	Event Event
}

// Error names chart, state and event.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s chart: event %q is rejected in state %q", e.Chart, e.Event, e.State)
}

// Machine is one instance of a chart. It is owned by one goroutine.
type Machine struct {
	chart   *Chart
	machine *stateless.StateMachine
}

// NewMachine returns a machine in the initial state.
func (c *Chart) NewMachine() *Machine {
	m := &Machine{chart: c, machine: stateless.NewStateMachine(c.initial)}
	for state, n := range c.states {
		c.configure(m.machine.Configure(state), state, n)
	}
	m.machine.OnUnhandledTrigger(m.reject)
	return m
}

func (c *Chart) configure(config *stateless.StateConfiguration, state State, n *node) {
	for event, target := range n.On {
		if target == state {
			config.PermitReentry(event)
			continue
		}
		config.Permit(event, target)
	}
	for _, event := range n.Ignore {
		config.Ignore(event)
	}
	if !n.Final {
		return
	}
	for _, event := range c.events {
		config.Ignore(event)
	}
}

// OnTransition calls f after each transition.
func (m *Machine) OnTransition(f func(from State, event Event, to State)) {
	m.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		f(t.Source.(State), t.Trigger.(Event), t.Destination.(State))
	})
}

// Fire lets an event happen. It returns a *RejectedError, and the state stays, when the chart
// rejects the event or doesn't know it.
func (m *Machine) Fire(event Event) error {
	return m.machine.Fire(event)
}

// State returns the state that the machine is in.
func (m *Machine) State() State {
	return m.machine.MustState().(State)
}

func (m *Machine) reject(_ context.Context, state stateless.State, event stateless.Trigger, _ []string) error {
	return &RejectedError{Chart: m.chart.name, State: state.(State), Event: event.(Event)}
}
