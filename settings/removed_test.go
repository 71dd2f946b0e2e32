package settings_test

import (
	"testing"

	"github.com/bramleyrack/bramleyrack/settings"
)

// A removed upstream is known as a leaving one, until its number is used again.
func TestKnownFindsRemovedUpstream(t *testing.T) {
	tree := func(numbers ...uint32) *settings.Tree {
		service := settings.Service{Number: 1}
		for _, n := range numbers {
			service.Upstreams = append(service.Upstreams, settings.Upstream{Number: n})
		}
		return &settings.Tree{Services: []settings.Service{service}}
	}
	next := settings.RetainRemoved(tree(1, 2), tree(1))
	service := next.Service(1)
	if known := service.LookupUpstream(2); known == nil || !known.Leaving || service.Upstream(2) != nil {
		t.Fatalf("known %+v", known)
	}
	if known := service.LookupUpstream(1); known == nil || known.Leaving {
		t.Fatalf("known %+v", known)
	}
	if service.LookupUpstream(3) != nil {
		t.Fatal("knows an upstream that never was")
	}
	again := settings.RetainRemoved(next, tree(1, 2))
	if known := again.Service(1).LookupUpstream(2); known == nil || known.Leaving {
		t.Fatalf("known %+v", known)
	}
}
