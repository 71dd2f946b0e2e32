package settings_test

import (
	"testing"

	"github.com/bramleyrack/bramleyrack/settings"
)

// A removed upstream is still found, marked as leaving, until its number is used again.
func TestLookupFindsRemovedUpstream(t *testing.T) {
	tree := func(numbers ...uint32) *settings.Tree {
		service := settings.Service{Number: 1}
		for _, n := range numbers {
			service.Upstreams = append(service.Upstreams, settings.Upstream{Number: n})
		}
		return &settings.Tree{Services: []settings.Service{service}}
	}
	next := settings.RetainRemoved(tree(1, 2), tree(1))
	service := next.Service(1)
	if found := service.UpstreamIncludingRemoved(2); found == nil || !found.Leaving || service.Upstream(2) != nil {
		t.Fatalf("LookupUpstream returned %+v", found)
	}
	if found := service.UpstreamIncludingRemoved(1); found == nil || found.Leaving {
		t.Fatalf("LookupUpstream returned %+v", found)
	}
	if service.UpstreamIncludingRemoved(3) != nil {
		t.Fatal("found an upstream that no revision contains")
	}
	again := settings.RetainRemoved(next, tree(1, 2))
	if found := again.Service(1).UpstreamIncludingRemoved(2); found == nil || found.Leaving {
		t.Fatalf("LookupUpstream returned %+v", found)
	}
}
