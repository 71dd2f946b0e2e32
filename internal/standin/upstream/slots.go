package upstream

import "context"

// slots bounds the requests that run at once; it never queues.
type slots struct {
	free chan struct{}
	size int
}

func newSlots(size int) *slots {
	return &slots{free: make(chan struct{}, size), size: size}
}

func (s *slots) acquire() bool {
	select {
	case s.free <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *slots) release() { <-s.free }

func (s *slots) busy() int { return len(s.free) }

// drain waits until no request runs.
func (s *slots) drain(ctx context.Context) error {
	for range s.size {
		select {
		case s.free <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
