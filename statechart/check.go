package statechart

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// checker collects the findings of one chart.
type checker struct {
	raw      *rawChart
	findings []Finding
}

func check(name string, raw *rawChart) []Finding {
	c := &checker{raw: raw}
	if raw.Name != name {
		c.add("name", "%q is not the name of the file", raw.Name)
	}
	c.checkEvents()
	for _, state := range sortedKeys(raw.States) {
		c.checkState(state)
	}
	if c.knows(raw.Initial) {
		c.checkReachable()
	} else {
		c.add("initial", "no state %q", raw.Initial)
	}
	return c.findings
}

func (c *checker) add(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) knows(state State) bool {
	return c.raw.States[state] != nil
}

func (c *checker) checkEvents() {
	seen := make(map[Event]bool)
	for i, event := range c.raw.Events {
		if seen[event] {
			c.add(fmt.Sprintf("events[%d]", i), "%q is listed twice", event)
		}
		seen[event] = true
	}
}

func (c *checker) checkState(state State) {
	path := "states." + string(state)
	n := c.raw.States[state]
	if n == nil {
		c.add(path, "is empty")
		return
	}
	uses := c.uses(path, n)
	if n.Final {
		c.checkFinal(path, uses)
		return
	}
	for _, event := range c.raw.Events {
		switch uses[event] {
		case 0:
			c.add(path, "event %q is neither a transition nor ignored nor rejected", event)
		case 1:
		default:
			c.add(path, "event %q is named %d times", event, uses[event])
		}
	}
}

// uses counts how often a state names each event, and reports unknown events and targets.
func (c *checker) uses(path string, n *node) map[Event]int {
	uses := make(map[Event]int)
	for _, event := range sortedKeys(n.On) {
		c.checkEvent(path+".on", event)
		uses[event]++
		if target := n.On[event]; !c.knows(target) {
			c.add(path+".on."+string(event), "no state %q", target)
		}
	}
	for _, event := range n.Ignore {
		c.checkEvent(path+".ignore", event)
		uses[event]++
	}
	for _, event := range n.Reject {
		c.checkEvent(path+".reject", event)
		uses[event]++
	}
	return uses
}

func (c *checker) checkEvent(path string, event Event) {
	if !slices.Contains(c.raw.Events, event) {
		c.add(path, "no event %q", event)
	}
}

func (c *checker) checkFinal(path string, uses map[Event]int) {
	if len(uses) > 0 {
		c.add(path, "a final state ignores every event and names none")
	}
}

func (c *checker) checkReachable() {
	reached := map[State]bool{c.raw.Initial: true}
	queue := []State{c.raw.Initial}
	for len(queue) > 0 {
		n := c.raw.States[queue[0]]
		queue = queue[1:]
		for _, target := range n.On {
			if c.knows(target) && !reached[target] {
				reached[target] = true
				queue = append(queue, target)
			}
		}
	}
	for _, state := range sortedKeys(c.raw.States) {
		if !reached[state] {
			c.add("states."+string(state), "can't be reached from %q", c.raw.Initial)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
