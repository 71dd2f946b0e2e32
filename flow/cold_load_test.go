package flow_test

import (
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// The tests in this file put load on servers of which some are cold, and check the limit on their new flows in every
// sliding second.
const (
	coldLoadRate = 20
	// coldSlowness is how many times longer a cold server takes for a request.
	coldSlowness = 1.6
)

// coldSim is a loadSim whose servers are cold after a restart.
type coldSim struct {
	*loadSim
	rate float64
	// openings holds the times of the opening packets that each server got while it was cold.
	openings map[*simServer][]time.Duration
	starts   int
}

func newColdSim(t *testing.T, rate float64) *coldSim {
	sim := &coldSim{loadSim: newLoadSim(t, 1), rate: rate, openings: map[*simServer][]time.Duration{}}
	sim.options.services = map[string]registry.Service{"orders": {ColdStart: coldStartTime, ColdRate: rate}}
	sim.onOpening = func(server *simServer) {
		if sim.now < server.warmAt {
			sim.openings[server] = append(sim.openings[server], sim.now)
		}
	}
	sim.publish()
	sim.run(3 * time.Second)
	return sim
}

// inZone reports whether a server is in the zone that the tests evacuate or stop.
func (sim *coldSim) inZone(server *simServer) bool {
	return simPlace(int(server.ip[3]), sim.options.places) == "place0"
}

// stop stops a server, and start starts it again as a new run that is cold.
func (sim *coldSim) stop(server *simServer) {
	server.running, server.flows = false, map[flow.Key]*simFlow{}
	delete(sim.queues, server)
}

func (sim *coldSim) start(server *simServer) {
	server.running, server.draining = true, false
	sim.starts++
	server.incarnation, server.warmAt = uint64(sim.now), sim.now+coldStartTime
	sim.slowness[server] = coldSlowness
	sim.after(coldStartTime, func() { delete(sim.slowness, server) })
}

// check reports a violation of the limit, and cold servers that get too little of what it allows. It returns the share of
// the requests that were answered in time and the share that were answered at all.
func (sim *coldSim) check() (inTime, answered float64) {
	sim.t.Helper()
	total, turnedAway, used, most := float64(len(sim.requests)), 0.0, 0.0, 0
	for _, server := range sim.servers {
		turnedAway += float64(server.tracker.TurnedAway().Cold) / total
		most = max(most, maxInSecond(sim.openings[server]))
		used += float64(len(sim.openings[server])) / (max(1, sim.rate) * coldStartTime.Seconds() * float64(sim.starts))
	}
	for _, r := range sim.requests {
		if r.answered > 0 {
			answered += 1 / total
		}
	}
	inTime = sim.inTime()
	sim.t.Logf("%.4f of %.0f requests in time, %.4f answered, %d resets; at most %d openings a second at a cold server, %.3f of the limit used, %.3f turned away",
		inTime, total, answered, sim.counts["resets"], most, used, turnedAway)
	// A flow that was turned away costs a hop. Without the weights and classes of balancers it is more than half.
	if sim.rate > 0 && (float64(most) > coldLimit(sim.rate) || used < 0.4 || turnedAway > 0.2) {
		sim.t.Errorf("want at most %v openings in any second, 0.4 of the limit used and 0.2 turned away", coldLimit(sim.rate))
	}
	if sim.rate == 0 && turnedAway > 0 {
		sim.t.Error("flows were turned away at cold servers although there is no limit")
	}
	return inTime, answered
}

// TestZoneReturnsColdInABurst covers the load pattern of a zone that is evacuated, whose VMs then all restart, and that is
// taken back while demand rises from half of the capacity of all servers to what those of the other zones can serve
// alone.
func TestZoneReturnsColdInABurst(t *testing.T) {
	sim := newColdSim(t, coldLoadRate)
	var zone []*simServer
	for _, server := range sim.servers[:loadServers] {
		if sim.inZone(server) {
			zone = append(zone, server)
		}
	}
	for _, server := range zone {
		sim.stop(server)
		server.registered, server.tracker = false, nil
	}
	sim.evacuations = []registry.Evacuation{{Place: "place0", Revision: sim.revision + 1}}
	sim.publish()
	sim.generate(0.5*capacity(), 2*time.Second)
	for _, server := range zone {
		sim.start(server)
		server.registered = true
		sim.startAgent(server)
	}
	sim.evacuations = []registry.Evacuation{{Place: "place0", Revision: sim.revision + 1, Ended: true}}
	sim.publish()
	sim.requests = nil
	sim.generate(0.66*capacity(), coldStartTime)
	sim.run(time.Second)
	if inTime, _ := sim.check(); inTime < 0.98 {
		t.Errorf("%.4f of the requests were answered in time, want 0.98", inTime)
	}
}

// TestReleaseOfHalfOfTheServers covers the load pattern of a release that restarts half of the servers, eight at a
// time, at six tenths of the capacity.
func TestReleaseOfHalfOfTheServers(t *testing.T) {
	sim := newColdSim(t, coldLoadRate)
	const batch = 8
	for first := 0; first < loadServers/2; first += batch {
		servers := sim.servers[first:min(first+batch, loadServers/2)]
		for _, server := range servers {
			server.draining = true
		}
		sim.publish()
		sim.generate(0.6*capacity(), 700*time.Millisecond)
		for _, server := range servers {
			sim.stop(server)
			server.tracker.ServerDown()
		}
		sim.generate(0.6*capacity(), 300*time.Millisecond)
		for _, server := range servers {
			sim.start(server)
		}
		sim.publish()
		sim.generate(0.6*capacity(), time.Second)
	}
	sim.run(time.Second)
	if inTime, _ := sim.check(); inTime < 0.98 {
		t.Errorf("%.4f of the requests were answered in time, want 0.98", inTime)
	}
}

// TestTotalLoss covers the load pattern of a total loss at half of the capacity, after which all servers are cold.
// Without a rate, serving slowly is better than refusing; evacuations that began before stay in force.
func TestTotalLoss(t *testing.T) {
	for name, tc := range map[string]struct {
		evacuations []registry.Evacuation
		load        float64
	}{
		"all zones":          {nil, 0.5},
		"one zone evacuated": {[]registry.Evacuation{{Place: "place0", Revision: 2}}, 0.33},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newColdSim(t, 0)
			sim.evacuations = tc.evacuations
			sim.publish()
			sim.generate(tc.load*capacity(), time.Second)
			for _, server := range sim.servers {
				sim.stop(server)
				server.tracker = nil
			}
			for _, b := range sim.balancers {
				b.director = nil
			}
			sim.run(time.Second)
			for _, server := range sim.servers {
				sim.start(server)
				sim.startAgent(server)
			}
			for _, b := range sim.balancers {
				sim.startBalancer(b)
			}
			sim.publish()
			sim.run(500 * time.Millisecond)
			sim.requests = nil
			sim.generate(tc.load*capacity(), coldStartTime-time.Second)
			sim.run(2 * time.Second)
			if _, answered := sim.check(); answered < 0.98 {
				t.Errorf("%.4f of the requests were answered, want 0.98", answered)
			}
			for _, server := range sim.servers[:loadServers] {
				got, isolated := len(sim.openings[server]), len(tc.evacuations) > 0 && sim.inZone(server)
				if (got == 0) != isolated {
					t.Errorf("server %s got %d opening packets; evacuated: %v", server.id, got, isolated)
				}
			}
		})
	}
}
