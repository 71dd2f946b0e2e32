package settings

import (
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// ExplainPlace returns the policy that upstreams of a service inherit at a place, or the policy of
// the service itself if place is empty, with the level that sets each value. The tree must be valid;
// otherwise the error is a *FindingsError.
func ExplainPlace(data []byte, service, place string) ([]EffectiveValue, error) {
	tree, err := Parse(data, 0)
	if err != nil {
		return nil, err
	}
	var raw rawTree
	if err := yaml.Unmarshal(data, &raw); err != nil {
		return nil, errors.Annotate(err, "decoding the settings tree")
	}
	if tree.ServiceByName(service) == nil {
		return nil, errors.NotFoundf("service %q", service)
	}
	if _, ok := raw.Places[place]; !ok && place != "" {
		return nil, errors.NotFoundf("place %q", place)
	}
	levels := policyLevels(&raw, service, place, "")
	policy := DefaultPolicy()
	for _, l := range levels {
		policy = applyOverrides(policy, l.policy)
	}
	return explainPolicy(policy, levels), nil
}
