package settings

import (
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// EffectiveValue is one effective value and the level of the tree that it comes from.
type EffectiveValue struct {
	// Field is the name of the value in a tree, such as dead_after.
	Field string
	Value string
	// Level is the path of the level that sets the value, or "default".
	Level string
}

// defaultLevel is the level of a value that no level of the tree sets.
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
		return nil, errors.Annotate(err, "reading the tree again")
	}
	s := tree.ServiceByName(service)
	if s == nil {
		return nil, errors.NotFoundf("service %q", service)
	}
	for _, u := range s.Upstreams {
		if u.Name == upstream {
			return explain(u.Policy, levels(&raw, service, u.Place, upstream)), nil
		}
	}
	return nil, errors.NotFoundf("upstream %q of service %q", upstream, service)
}

// level is one level of the tree above an upstream.
type level struct {
	path   string
	policy rawPolicy
}

// levels returns the levels above an upstream, and its own, from the root down.
func levels(raw *rawTree, service, place, upstream string) []level {
	placeService := raw.Places[place].Services[service]
	path := "places." + place + ".services." + service
	return []level{
		{path: "policy", policy: raw.Policy},
		{path: "services." + service + ".policy", policy: raw.Services[service].Policy},
		{path: "places." + place + ".policy", policy: raw.Places[place].Policy},
		{path: path + ".policy", policy: placeService.Policy},
		{path: path + ".upstreams." + upstream + ".policy", policy: placeService.Upstreams[upstream].Policy},
	}
}

func explain(policy Policy, levels []level) []EffectiveValue {
	values := make([]EffectiveValue, 0, len(fields))
	for _, f := range fields {
		value := EffectiveValue{Field: f.name, Value: f.show(policy), Level: defaultLevel}
		for _, l := range levels {
			if f.set(l.policy) {
				value.Level = l.path
			}
		}
		values = append(values, value)
	}
	return values
}
