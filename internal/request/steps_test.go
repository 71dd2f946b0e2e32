package request_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

const (
	stepInterval = 50 * time.Millisecond
	stepEnd      = 3 * time.Second
	stepWork     = time.Second
)

// stepSchedule is a fixed schedule of two requests that are not idempotent. The first one waits for a slot at its
// owner from 0.1 s to 1 s and runs until 2 s. The second one runs at a peer from 1.1 s to 2.1 s. Copies of both
// arrive at other servers in the meantime.
type stepSchedule struct {
	*faultyFleet
	work    sync.WaitGroup
	clients int
}

func newStepSchedule(t *testing.T) *stepSchedule {
	f := newFaultyFleet(t, 1, faults{longDeadlines: true, drain: time.Hour})
	f.upstream.serviceTime = stepWork
	return &stepSchedule{faultyFleet: f}
}

// scheduleRequests also schedules copies of the two requests, and idempotent requests that occupy all slots at the start.
func (s *stepSchedule) scheduleRequests(t *testing.T) {
	waiting := freshTicket(t, s.server(1))
	delegated := freshTicket(t, s.server(1))
	for server := uint32(1); server <= faultServers; server++ {
		for range testPolicy().Slots {
			s.send(fmt.Sprint("other-", s.clients), nil, server, 0)
		}
	}
	s.send("waiting", waiting, 1, 100*time.Millisecond)
	s.send("delegated", delegated, 1, 1100*time.Millisecond)
	for at := 400 * time.Millisecond; at <= stepEnd+stepWork; at += 700 * time.Millisecond {
		s.send("waiting", waiting, 3, at)
		s.send("delegated", delegated, 4, at+stepWork)
		s.send("waiting", waiting, 1, at+stepInterval)
	}
}

// send sends a copy of a request to a server after a delay. A request without a ticket is idempotent and does not
// enter the history.
func (s *stepSchedule) send(id string, ticket []byte, server uint32, after time.Duration) {
	client := s.clients
	s.clients++
	s.work.Go(func() {
		time.Sleep(after)
		e := s.server(server)
		if e == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*faultDeadline)
		defer cancel()
		req := orderRequest(id, ticket)
		req.Idempotent = ticket == nil
		called := time.Now()
		answer, refusal := e.Call(ctx, req)
		if ticket != nil {
			s.history.add(client, id, called, answer, refusal)
		}
	})
}

func (s *stepSchedule) disturbAt(d disturbance, server uint32, at time.Duration) {
	s.work.Go(func() {
		time.Sleep(at)
		switch d {
		case kill:
			s.kill(server)
		case stop:
			s.stop(server)
		case pause:
			s.pause(server)
		}
	})
}

// TestGuaranteesHoldAtEveryStep guards against violations that need a disturbance at one particular stage of a
// request. It disturbs the owner or the peer at each step of the schedule, every 50 ms until 3 s.
func TestGuaranteesHoldAtEveryStep(t *testing.T) {
	total := make(map[bramleyv1.Outcome]int)
	for name, d := range map[string]disturbance{"kill": kill, "stop": stop, "pause": pause} {
		for _, server := range []uint32{1, 2} {
			for at := time.Duration(0); at <= stepEnd; at += stepInterval {
				synctest.Test(t, func(t *testing.T) {
					s := newStepSchedule(t)
					s.scheduleRequests(t)
					s.disturbAt(d, server, at)
					s.work.Wait()
					time.Sleep(stepWork)
					for _, violation := range s.history.violations(s.upstream) {
						t.Errorf("%s of server %d at %v: %s", name, server, at, violation)
					}
					for outcome, count := range s.history.outcomes {
						total[outcome] += count
					}
					for _, runningServer := range s.running() {
						s.remove(runningServer).Close()
					}
				})
			}
		}
	}
	t.Logf("outcomes: %v", total)
}
