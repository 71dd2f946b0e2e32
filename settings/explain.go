package settings

import (
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// EffectiveValue is one effective policy value and the level of the tree that sets it.
type EffectiveValue struct {
	// Field is the key of the value in a policy, such as dead_after.
	Field string
	Value string
	// Level is the path of the level that sets the value, or "default".
	Level string
}

// defaultLevel is the level of a value that nothing overrides.
const defaultLevel = "default"

// Explain returns the effective policy of one upstream, with the level that sets each value. The
// tree must be valid; otherwise the error is a *FindingsError.
func Explain(data []byte, service, upstream string) ([]EffectiveValue, error) {
	tree, err := Parse(data, 0)
	if err != nil {
		return nil, err
	}
	var raw rawTree
	if err := yaml.Unmarshal(data, &raw); err != nil {
		return nil, errors.Annotate(err, "decoding the settings tree")
	}
	s := tree.ServiceByName(service)
	if s == nil {
		return nil, errors.NotFoundf("service %q", service)
	}
	for _, u := range s.Upstreams {
		if u.Name == upstream {
			return explainPolicy(u.Policy, policyLevels(&raw, service, u.Place, upstream)), nil
		}
	}
	return nil, errors.NotFoundf("upstream %q of service %q", upstream, service)
}

type policyLevel struct {
	path   string
	policy rawPolicy
}

// policyLevels returns the levels that apply to an upstream, in order of increasing precedence.
func policyLevels(raw *rawTree, service, place, upstream string) []policyLevel {
	placeService := raw.Places[place].Services[service]
	path := "places." + place + ".services." + service
	return []policyLevel{
		{path: "policy", policy: raw.Policy},
		{path: "services." + service + ".policy", policy: raw.Services[service].Policy},
		{path: "places." + place + ".policy", policy: raw.Places[place].Policy},
		{path: path + ".policy", policy: placeService.Policy},
		{path: path + ".upstreams." + upstream + ".policy", policy: placeService.Upstreams[upstream].Policy},
	}
}

func explainPolicy(policy Policy, levels []policyLevel) []EffectiveValue {
	values := make([]EffectiveValue, 0, len(policyFields))
	for _, f := range policyFields {
		value := EffectiveValue{Field: f.name, Value: f.format(policy), Level: defaultLevel}
		for _, l := range levels {
			if f.isSet(l.policy) {
				value.Level = l.path
			}
		}
		values = append(values, value)
	}
	return values
}
