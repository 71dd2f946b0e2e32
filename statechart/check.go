package statechart

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

type checker struct {
	raw      *rawChart
	findings []Finding
}

func check(name string, raw *rawChart) []Finding {
	c := &checker{raw: raw}
	if raw.Name != name {
		c.report("name", "%q differs from the file name", raw.Name)
	}
	c.checkEvents()
	for _, state := range sortedKeys(raw.States) {
		c.checkState(state)
	}
	if c.hasState(raw.Initial) {
		c.checkReachable()
	} else {
		c.report("initial", "no state %q", raw.Initial)
	}
	return c.findings
}

func (c *checker) report(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) hasState(state State) bool {
	return c.raw.States[state] != nil
}

func (c *checker) checkEvents() {
	seen := make(map[Event]bool)
	for i, event := range c.raw.Events {
		if seen[event] {
			c.report(fmt.Sprintf("events[%d]", i), "%q is listed twice", event)
		}
		seen[event] = true
	}
}

func (c *checker) checkState(state State) {
	path := "states." + string(state)
	n := c.raw.States[state]
	if n == nil {
		c.report(path, "state is empty")
		return
	}
	uses := c.countUses(path, n)
	if n.Final {
		c.checkFinal(path, uses)
		return
	}
	for _, event := range c.raw.Events {
		switch uses[event] {
		case 0:
			c.report(path, "event %q is neither a transition nor ignored nor rejected", event)
		case 1:
		default:
			c.report(path, "event %q is named %d times", event, uses[event])
		}
	}
}

// countUses counts how often a state names each event. It reports unknown events and unknown targets.
func (c *checker) countUses(path string, n *node) map[Event]int {
	uses := make(map[Event]int)
	for _, event := range sortedKeys(n.On) {
		c.checkEvent(path+".on", event)
		uses[event]++
		if target := n.On[event]; !c.hasState(target) {
			c.report(path+".on."+string(event), "no state %q", target)
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
		c.report(path, "no event %q", event)
	}
}

func (c *checker) checkFinal(path string, uses map[Event]int) {
	if len(uses) > 0 {
		c.report(path, "a final state must not name events: it ignores all of them")
	}
}

func (c *checker) checkReachable() {
	reached := map[State]bool{c.raw.Initial: true}
	queue := []State{c.raw.Initial}
	for len(queue) > 0 {
		n := c.raw.States[queue[0]]
		queue = queue[1:]
		for _, target := range n.On {
			if c.hasState(target) && !reached[target] {
				reached[target] = true
				queue = append(queue, target)
			}
		}
	}
	for _, state := range sortedKeys(c.raw.States) {
		if !reached[state] {
			c.report("states."+string(state), "can't be reached from %q", c.raw.Initial)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
