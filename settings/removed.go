package settings

import "slices"

// maxRemovedPerService limits the removed upstreams kept for a service; the oldest are dropped first.
const maxRemovedPerService = 256

// RetainRemoved returns a copy of next in which each service also keeps, marked as leaving, the
// upstreams of previous that next does not contain. Their established flows can then still be routed.
// It does not modify its arguments. If previous is nil, it returns next itself.
func RetainRemoved(previous, next *Tree) *Tree {
	if previous == nil {
		return next
	}
	result := *next
	result.Services = slices.Clone(next.Services)
	numbers := upstreamNumbers(next)
	for i := range result.Services {
		service := &result.Services[i]
		previousService := previous.Service(service.Number)
		if previousService == nil {
			continue
		}
		candidates := slices.Concat(previousService.Removed, previousService.Upstreams)
		removed := slices.DeleteFunc(candidates, func(u Upstream) bool { return numbers[u.Number] })
		service.Removed = removed[max(0, len(removed)-maxRemovedPerService):]
		for j := range service.Removed {
			service.Removed[j].Leaving = true
		}
	}
	return &result
}

// UpstreamIncludingRemoved returns the upstream with the given number, including recently removed ones, or nil.
func (s *Service) UpstreamIncludingRemoved(number uint32) *Upstream {
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

// upstreamNumbers returns the numbers in use anywhere in a tree. A removed upstream is not kept once
// its number is in use again, so that the number identifies the new upstream.
func upstreamNumbers(tree *Tree) map[uint32]bool {
	numbers := make(map[uint32]bool)
	for _, service := range tree.Services {
		for _, upstream := range service.Upstreams {
			numbers[upstream.Number] = true
		}
	}
	return numbers
}
