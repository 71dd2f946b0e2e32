package admission

import (
	"math/rand"
	"slices"
	"testing"
	"time"
)

// TestBacklogOrder guards against late or less urgent work that makes others late in a shortage.
func TestBacklogOrder(t *testing.T) {
	var b Backlog[string]
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	b.Add(at(0), Waiter[string]{Key: "late beat, later limit", Priority: 2, InTime: at(-1), Limit: at(900)})
	b.Add(at(0), Waiter[string]{Key: "late beat", Priority: 2, InTime: at(-1), Limit: at(800)})
	b.Add(at(0), Waiter[string]{Key: "second beat", Priority: 2, InTime: at(120), Limit: at(1000)})
	b.Add(at(0), Waiter[string]{Key: "first beat", Priority: 2, InTime: at(100), Limit: at(1000)})
	b.Add(at(0), Waiter[string]{Key: "equal beat", Priority: 2, InTime: at(120), Limit: at(1000)})
	b.Add(at(0), Waiter[string]{Key: "push", Priority: 1, InTime: at(200), Limit: at(1200)})
	b.Add(at(0), Waiter[string]{Key: "late push", Priority: 1, InTime: at(-1), Limit: at(1200)})
	if got := b.Ahead(at(0), 2); got != 5 {
		t.Errorf("Ahead of a beat = %d, want 5: both pushes and the beats in time", got)
	}
	if got := b.Ahead(at(0), 1); got != 1 {
		t.Errorf("Ahead of a push = %d, want 1", got)
	}
	want := []string{"push", "late push", "first beat", "second beat", "equal beat", "late beat", "late beat, later limit"}
	for i, key := range want {
		w, ok := b.Next(at(0))
		if !ok || w.Key != key {
			t.Fatalf("Next %d = %q, %v, want %q", i, w.Key, ok, key)
		}
		b.Remove(w.Key)
	}
	if _, ok := b.Next(at(0)); ok || b.Len() != 0 {
		t.Errorf("the backlog is not empty in the end: %d", b.Len())
	}
}

// TestBacklogAges guards against work that keeps its place before others after it has become late.
func TestBacklogAges(t *testing.T) {
	var b Backlog[int]
	b.Add(0, Waiter[int]{Key: 1, Priority: 2, InTime: 10, Limit: 100})
	b.Add(5, Waiter[int]{Key: 2, Priority: 2, InTime: 15, Limit: 105})
	if w, _ := b.Next(11); w.Key != 2 {
		t.Errorf("Next = %d, want 2: 1 is late", w.Key)
	}
	if w, ok := b.Overdue(99); ok {
		t.Errorf("Overdue = %d before its limit", w.Key)
	}
	if w, ok := b.Overdue(100); !ok || w.Key != 1 {
		t.Errorf("Overdue = %d, %v, want 1", w.Key, ok)
	}
}

// TestBacklogModel compares random operations with a list that is searched in full: no work may be lost, returned twice or
// kept beyond its limit.
func TestBacklogModel(t *testing.T) {
	for seed := int64(1); seed <= 50; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		var b Backlog[int]
		var model []Waiter[int]
		now := time.Duration(0)
		first := func() Waiter[int] {
			return slices.MinFunc(model, func(x, y Waiter[int]) int { return compareWaiters(now, x, y) })
		}
		for step := range 2000 {
			now += time.Duration(rnd.Intn(3))
			switch rnd.Intn(4) {
			case 0, 1:
				w := Waiter[int]{Key: step, Priority: rnd.Intn(3), InTime: now + time.Duration(rnd.Intn(40)-10), Limit: now + time.Duration(40+rnd.Intn(40))}
				b.Add(now, w)
				model = append(model, w)
			case 2:
				w, ok := b.Next(now)
				if ok != (len(model) > 0) || ok && compareWaiters(now, w, first()) != 0 {
					t.Fatalf("seed %d, step %d: Next = %+v, %v, model has %d", seed, step, w, ok, len(model))
				}
				if ok {
					b.Remove(w.Key)
					model = slices.DeleteFunc(model, func(m Waiter[int]) bool { return m.Key == w.Key })
				}
			case 3:
				w, ok := b.Overdue(now)
				overdue := slices.ContainsFunc(model, func(m Waiter[int]) bool { return m.Limit <= now })
				if ok != overdue || ok && w.Limit > now {
					t.Fatalf("seed %d, step %d: Overdue = %+v, %v, want any: %v", seed, step, w, ok, overdue)
				}
				if ok && !b.Remove(w.Key) {
					t.Fatalf("seed %d, step %d: overdue work can't be removed", seed, step)
				}
				model = slices.DeleteFunc(model, func(m Waiter[int]) bool { return ok && m.Key == w.Key })
			}
			if b.Len() != len(model) {
				t.Fatalf("seed %d, step %d: Len = %d, want %d", seed, step, b.Len(), len(model))
			}
		}
	}
}

// compareWaiters is the specified order: priority, then work in time by InTime, then late work by limit.
func compareWaiters(now time.Duration, x, y Waiter[int]) int {
	lateX, lateY := x.InTime < now, y.InTime < now
	switch {
	case x.Priority != y.Priority:
		return x.Priority - y.Priority
	case lateX != lateY && lateX:
		return 1
	case lateX != lateY:
		return -1
	case lateX:
		return int(x.Limit - y.Limit)
	}
	return int(x.InTime - y.InTime)
}
