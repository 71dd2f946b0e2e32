package settings

import "slices"

// maxRemoved bounds the removed upstreams that a service remembers.
const maxRemoved = 256

// RetainRemoved returns the next tree with the upstreams that the previous tree named and the next
// one does not, marked as leaving, so that their established flows can still be looked up. Neither argument changes.
func RetainRemoved(previous, next *Tree) *Tree {
	if previous == nil {
		return next
	}
	carried := *next
	carried.Services = slices.Clone(next.Services)
	numbers := upstreamNumbers(next)
	for i := range carried.Services {
		service := &carried.Services[i]
		old := previous.Service(service.Number)
		if old == nil {
			continue
		}
		candidates := slices.Concat(old.Removed, old.Upstreams)
		removed := slices.DeleteFunc(candidates, func(u Upstream) bool { return numbers[u.Number] })
		service.Removed = removed[max(0, len(removed)-maxRemoved):]
		for j := range service.Removed {
			service.Removed[j].Leaving = true
		}
	}
	return &carried
}

// LookupUpstream returns the upstream with the given number, also if it was removed lately, or nil.
func (s *Service) LookupUpstream(number uint32) *Upstream {
	if upstream := s.Upstream(number); upstream != nil {
		return upstream
	}
	for i := range s.Removed {
		if s.Removed[i].Number == number {
			return &s.Removed[i]
		}
	}
	return nil
}

// upstreamNumbers returns the numbers in use; a number that is used again names its new upstream.
func upstreamNumbers(tree *Tree) map[uint32]bool {
	numbers := make(map[uint32]bool)
	for _, service := range tree.Services {
		for _, upstream := range service.Upstreams {
			numbers[upstream.Number] = true
		}
	}
	return numbers
}
