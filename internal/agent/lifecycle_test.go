package agent

import (
	"testing"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/statechart"
)

func TestLifecycleFollowsStatechart(t *testing.T) {
	l, err := newLifecycle()
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		event statechart.Event
		want  bramleyv1.ProcessState
	}{
		{eventPaused, bramleyv1.ProcessState_PROCESS_STATE_STARTING},
		{eventStarted, bramleyv1.ProcessState_PROCESS_STATE_SERVING},
		{eventPaused, bramleyv1.ProcessState_PROCESS_STATE_SUSPECT_SELF},
		{eventStarted, bramleyv1.ProcessState_PROCESS_STATE_SUSPECT_SELF},
		{eventConfirmed, bramleyv1.ProcessState_PROCESS_STATE_SERVING},
		{eventDrained, bramleyv1.ProcessState_PROCESS_STATE_SERVING},
		{eventPaused, bramleyv1.ProcessState_PROCESS_STATE_SUSPECT_SELF},
		{eventStop, bramleyv1.ProcessState_PROCESS_STATE_LEAVING},
		{eventStarted, bramleyv1.ProcessState_PROCESS_STATE_LEAVING},
		{eventConfirmed, bramleyv1.ProcessState_PROCESS_STATE_LEAVING},
		{eventDrained, bramleyv1.ProcessState_PROCESS_STATE_STOPPED},
		{eventStarted, bramleyv1.ProcessState_PROCESS_STATE_STOPPED},
	} {
		l.fire(step.event)
		if l.current() != step.want {
			t.Fatalf("after %s: got %v, want %v", step.event, l.current(), step.want)
		}
	}
}
