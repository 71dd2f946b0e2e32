package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two trees. Old is empty for what was added, New for what was
// removed.
type Change struct {
	// Path is the place in the effective tree: service, upstream and field.
	Path string
	Old  string
	New  string
}

// String describes the change on one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff returns the differences between the effective values of two trees, sorted by path. A nil
// tree is empty.
func Diff(previous, next *Tree) []Change {
	before, after := flatten(previous), flatten(next)
	var changes []Change
	for path, value := range before {
		if after[path] != value {
			changes = append(changes, Change{Path: path, Old: value, New: after[path]})
		}
	}
	for path, value := range after {
		if _, ok := before[path]; !ok {
			changes = append(changes, Change{Path: path, New: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return changes
}

// flatten returns the effective values of a tree by path.
func flatten(tree *Tree) map[string]string {
	values := make(map[string]string)
	if tree == nil {
		return values
	}
	values["firm"] = tree.Firm
	for i := range tree.Services {
		flattenService(values, &tree.Services[i])
	}
	return values
}

func flattenService(values map[string]string, service *Service) {
	path := service.Name
	values[path+".number"] = fmt.Sprint(service.Number)
	values[path+".address"] = service.Address.String()
	flattenPolicy(values, path, service.Policy)
	for i := range service.Upstreams {
		flattenUpstream(values, path, &service.Upstreams[i])
	}
}

func flattenUpstream(values map[string]string, service string, upstream *Upstream) {
	path := service + "." + upstream.Place + "." + upstream.Name
	values[path+".number"] = fmt.Sprint(upstream.Number)
	values[path+".agent"] = upstream.AgentAddress.String()
	values[path+".peer"] = upstream.PeerAddress.String()
	values[path+".url"] = upstream.URL
	values[path+".leaving"] = fmt.Sprint(upstream.Leaving)
	flattenPolicy(values, path, upstream.Policy)
}

func flattenPolicy(values map[string]string, path string, policy Policy) {
	for _, f := range fields {
		values[path+"."+f.name] = f.show(policy)
	}
}
