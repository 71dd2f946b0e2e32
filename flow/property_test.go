package flow_test

import (
	"flag"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
)

// plannedChanges are the changes of normal operation.
var plannedChanges = []func(sim *simulation){
	// A balancer restarts and loses its state.
	func(sim *simulation) {
		b := sim.balancers[sim.rnd.Intn(len(sim.balancers))]
		sim.startBalancer(b)
	},
	// An agent announces that it leaves, and restarts without its state.
	func(sim *simulation) {
		server := sim.servers[sim.rnd.Intn(len(sim.servers))]
		if server.tracker == nil || !server.running {
			return
		}
		for _, b := range sim.balancers {
			sim.send(func() {
				if b.director != nil {
					b.director.HandleLeave(sim.now, server.ip, server.process)
				}
			})
		}
		sim.after(30*time.Millisecond, func() {
			server.tracker = nil
			sim.after(300*time.Millisecond, func() {
				server.agentDownUntil = sim.now
				sim.startAgent(server)
			})
		})
	},
	// A server is replaced: the new one starts first, then the old one drains and leaves.
	func(sim *simulation) {
		old := sim.servers[sim.rnd.Intn(len(sim.servers))]
		if !old.registered || old.draining {
			return
		}
		sim.addServer(old.service)
		sim.publish()
		sim.after(500*time.Millisecond, func() {
			old.draining = true
			sim.publish()
		})
		sim.after(8*time.Second, func() {
			old.running, old.registered = false, false
			sim.publish()
		})
	},
	// The configuration changes.
	func(sim *simulation) { sim.publish() },
	// A server drains and leaves, and its address is reused for another service.
	func(sim *simulation) {
		old := sim.servers[sim.rnd.Intn(len(sim.servers))]
		if !old.registered || old.draining || old.ip != sim.byIP[old.ip].ip {
			return
		}
		old.draining = true
		sim.publish()
		sim.after(5*time.Second, func() {
			old.running, old.registered, old.tracker = false, false, nil
			sim.publish()
		})
		sim.after(7*time.Second, func() {
			service := "orders"
			if old.service == service {
				service = "photos"
			}
			sim.addServerAt(old.ip, service)
			sim.publish()
		})
	},
	// A balancer receives no changes of the view for a while.
	func(sim *simulation) {
		b := sim.balancers[sim.rnd.Intn(len(sim.balancers))]
		b.cutOffUntil = sim.now + 4*time.Second
		sim.after(4*time.Second, func() { sim.setBalancerView(b, sim.snapshot()) })
	},
}

// crashServer restarts a server, which loses its flows.
func crashServer(sim *simulation) {
	server := sim.servers[sim.rnd.Intn(len(sim.servers))]
	if !server.running {
		return
	}
	server.flows = map[flow.Key]*simFlow{}
	server.incarnation++
	sim.publish()
}

// silenceServer stops a server for a while and restarts it without its flows. Its agent keeps running but was
// itself restarted just before, so that it knows no flows either.
func silenceServer(sim *simulation) {
	server := sim.servers[sim.rnd.Intn(len(sim.servers))]
	if !server.running || server.tracker == nil {
		return
	}
	server.running = false
	sim.startAgent(server)
	sim.after(3*time.Second, func() {
		if !server.registered {
			return
		}
		server.running = true
		server.flows = map[flow.Key]*simFlow{}
		server.incarnation++
		sim.publish()
	})
}

// failures are unplanned changes.
var failures = []func(sim *simulation){
	crashServer,
	silenceServer,
	// An agent is killed and restarted later.
	func(sim *simulation) {
		server := sim.servers[sim.rnd.Intn(len(sim.servers))]
		if server.tracker == nil || !server.running {
			return
		}
		server.tracker = nil
		// With deliveryTimeout, the agent's VM counts as unreachable until 4 s after the restart.
		server.agentDownUntil = sim.now + 4*time.Second
		sim.after(2*time.Second, func() { sim.startAgent(server) })
	},
}

// simulate opens flows while changes happen, and returns the simulation at its end.
func simulate(t *testing.T, seed int64, changes []func(sim *simulation)) *simulation {
	sim := newSimulation(t, seed, 5, 3)
	for range 60 {
		for range 4 {
			sim.open(sim.rnd.Intn(2))
		}
		if sim.rnd.Intn(4) == 0 {
			changes[sim.rnd.Intn(len(changes))](sim)
		}
		sim.run(300 * time.Millisecond)
	}
	sim.run(4 * time.Second)
	return sim
}

var propertySeeds = flag.Int("property-seeds", 60, "number of seeds of the property tests")

func TestPlannedChangesBreakNoFlow(t *testing.T) {
	opened := 0
	for seed := range int64(*propertySeeds) {
		sim := simulate(t, seed, plannedChanges)
		for _, violation := range sim.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		opened += sim.counts["flows opened"]
	}
	if opened < 230*(*propertySeeds) {
		t.Fatalf("%d flows opened, want at least %d of %d", opened, 230*(*propertySeeds), 240*(*propertySeeds))
	}
}

// TestLostFlowsAreReset covers server crashes while every agent is responsive.
func TestLostFlowsAreReset(t *testing.T) {
	resets := 0
	for seed := range int64(*propertySeeds) {
		sim := simulate(t, seed, []func(sim *simulation){crashServer, silenceServer})
		resets += sim.counts["resets"]
		if unnotified := sim.counts["lost flows not reset"]; unnotified > 0 {
			t.Errorf("seed %d: %d lost flows were not reset", seed, unnotified)
		}
	}
	if resets == 0 {
		t.Fatal("no flow was reset")
	}
}

func TestFailuresResetNoLiveFlow(t *testing.T) {
	resets := 0
	for seed := range int64(*propertySeeds) {
		sim := simulate(t, seed, append(failures, plannedChanges...))
		for _, violation := range sim.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		resets += sim.counts["resets"]
	}
	if resets == 0 {
		t.Fatal("no flow of a crashed server was reset")
	}
}
