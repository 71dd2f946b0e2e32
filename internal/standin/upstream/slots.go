package upstream

import "context"

// slots limits the number of requests that run at once. It has no queue: acquire fails if no slot is free.
type slots struct {
	// busySlots holds one element for each busy slot.
	busySlots chan struct{}
	size      int
}

func newSlots(size int) *slots {
	return &slots{busySlots: make(chan struct{}, size), size: size}
}

func (s *slots) acquire() bool {
	select {
	case s.busySlots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *slots) release() { <-s.busySlots }

func (s *slots) busy() int { return len(s.busySlots) }

// drain waits until no request is running. It keeps the slots, so that no request can start after it returned.
func (s *slots) drain(ctx context.Context) error {
	for range s.size {
		select {
		case s.busySlots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
