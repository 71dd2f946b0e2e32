package flow_test

import (
	"flag"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
)

// planned are the changes of a planned kind.
var planned = []func(w *world){
	// A balancer ends and starts again with no memory.
	func(w *world) {
		b := w.balancers[w.rnd.Intn(len(w.balancers))]
		w.startBalancer(b)
	},
	// An agent says that it leaves, and starts again with no memory.
	func(w *world) {
		server := w.servers[w.rnd.Intn(len(w.servers))]
		if server.keeper == nil || !server.running {
			return
		}
		for _, b := range w.balancers {
			w.send(func() {
				if b.director != nil {
					b.director.HandleLeave(w.now, server.ip, server.process)
				}
			})
		}
		w.after(30*time.Millisecond, func() {
			server.keeper = nil
			w.after(300*time.Millisecond, func() {
				server.away = w.now
				w.startAgent(server)
			})
		})
	},
	// A server is replaced: the new one starts first, the old one drains and leaves.
	func(w *world) {
		old := w.servers[w.rnd.Intn(len(w.servers))]
		if !old.registered || old.draining {
			return
		}
		w.addServer(old.service)
		w.publish()
		w.after(500*time.Millisecond, func() {
			old.draining = true
			w.publish()
		})
		w.after(8*time.Second, func() {
			old.running, old.registered = false, false
			w.publish()
		})
	},
	// The configuration changes.
	func(w *world) { w.publish() },
	// A server drains and leaves, and its address goes to another service.
	func(w *world) {
		old := w.servers[w.rnd.Intn(len(w.servers))]
		if !old.registered || old.draining || old.ip != w.byIP[old.ip].ip {
			return
		}
		old.draining = true
		w.publish()
		w.after(5*time.Second, func() {
			old.running, old.registered, old.keeper = false, false, nil
			w.publish()
		})
		w.after(7*time.Second, func() {
			service := "orders"
			if old.service == service {
				service = "photos"
			}
			w.addServerAt(old.ip, service)
			w.publish()
		})
	},
	// A balancer hears nothing of changes for a while.
	func(w *world) {
		b := w.balancers[w.rnd.Intn(len(w.balancers))]
		b.cutOff = w.now + 4*time.Second
		w.after(4*time.Second, func() { w.adoptBalancer(b, w.view()) })
	},
}

// crashServer lets a server crash and come back at once, knowing nothing.
func crashServer(w *world) {
	server := w.servers[w.rnd.Intn(len(w.servers))]
	if !server.running {
		return
	}
	server.flows = map[flow.Key]*simFlow{}
	server.incarnation++
	w.publish()
}

// darkenServer lets a server fall silent for a while and come back knowing nothing. Its agent lives and has just
// started itself, so that it knows no flows either.
func darkenServer(w *world) {
	server := w.servers[w.rnd.Intn(len(w.servers))]
	if !server.running || server.keeper == nil {
		return
	}
	server.running = false
	w.startAgent(server)
	w.after(3*time.Second, func() {
		if !server.registered {
			return
		}
		server.running = true
		server.flows = map[flow.Key]*simFlow{}
		server.incarnation++
		w.publish()
	})
}

// unplanned are failures.
var unplanned = []func(w *world){
	crashServer,
	darkenServer,
	// An agent is killed and comes back later.
	func(w *world) {
		server := w.servers[w.rnd.Intn(len(w.servers))]
		if server.keeper == nil || !server.running {
			return
		}
		server.keeper = nil
		// Until 4 s after its return the agent's VM does not count as in touch.
		server.away = w.now + 4*time.Second
		w.after(2*time.Second, func() { w.startAgent(server) })
	},
}

// play opens flows while changes happen, and returns the world at the end.
func play(t *testing.T, seed int64, changes []func(w *world)) *world {
	w := newWorld(t, seed, 5, 3)
	for range 60 {
		for range 4 {
			w.open(w.rnd.Intn(2))
		}
		if w.rnd.Intn(4) == 0 {
			changes[w.rnd.Intn(len(changes))](w)
		}
		w.run(300 * time.Millisecond)
	}
	w.run(4 * time.Second)
	return w
}

var propertySeeds = flag.Int("property-seeds", 60, "number of seeds of the property tests")

func TestPlannedChangesBreakNoFlow(t *testing.T) {
	opened := 0
	for seed := range int64(*propertySeeds) {
		w := play(t, seed, planned)
		for _, fault := range w.faults {
			t.Errorf("seed %d: %s", seed, fault)
		}
		opened += w.counts["flows opened"]
	}
	if opened < 230*(*propertySeeds) {
		t.Fatalf("%d flows opened, want at least %d of %d", opened, 230*(*propertySeeds), 240*(*propertySeeds))
	}
}

// TestLostFlowsAreReset lets servers crash while every agent answers.
func TestLostFlowsAreReset(t *testing.T) {
	resets := 0
	for seed := range int64(*propertySeeds) {
		w := play(t, seed, []func(w *world){crashServer, darkenServer})
		resets += w.counts["resets"]
		if unheard := w.counts["lost flows that heard nothing"]; unheard > 0 {
			t.Errorf("seed %d: %d lost flows heard nothing", seed, unheard)
		}
	}
	if resets == 0 {
		t.Fatal("no flow was reset")
	}
}

func TestFailuresResetNoLivingFlow(t *testing.T) {
	resets := 0
	for seed := range int64(*propertySeeds) {
		w := play(t, seed, append(unplanned, planned...))
		for _, fault := range w.faults {
			t.Errorf("seed %d: %s", seed, fault)
		}
		resets += w.counts["resets"]
	}
	if resets == 0 {
		t.Fatal("no flow of a crashed server was reset")
	}
}
