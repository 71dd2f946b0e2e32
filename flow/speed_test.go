package flow_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/registry"
)

// speedFleet is a service with two routes, whose servers exchange their times through one balancer. The first server
// may be slower or faster than the others.
type speedFleet struct {
	now      time.Duration
	director *flow.Director
	trackers []*flow.Tracker
	factor   float64
	served   int
}

const fleetServers = 5

func fleetView(version uint64, incarnation uint64) *registry.View {
	var upstreams []registry.Upstream
	for n := range fleetServers {
		upstreams = append(upstreams, upstreamOf(2*n+1, "orders"))
	}
	upstreams[0].Incarnation = incarnation
	view := viewAt(start, version, upstreams...)
	view.Configuration.Routes = []registry.Route{routeTo(orders, "orders"), routeTo(photos, "orders")}
	return view
}

func newSpeedFleet(factor float64) *speedFleet {
	f := &speedFleet{now: start, director: flow.NewDirector(flow.DefaultDirectorConfig("here"), start), factor: factor}
	f.director.SetView(start, fleetView(5, 1))
	for n := range fleetServers {
		f.trackers = append(f.trackers, flow.NewTracker(flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: agentIP(2*n + 1), Port: simPort}), start))
		f.trackers[n].SetView(fleetView(5, 1))
	}
	return f
}

// serve lets a server answer one request to an address after the given time.
func (f *speedFleet) serve(tracker *flow.Tracker, address flow.Endpoint, took time.Duration) {
	f.served++
	key := flow.Key{Client: clientEndpoint(f.served), Service: address}
	tracker.FromNode(f.now, &flow.Packet{Key: key, Kind: flow.Opening}, nil, request(flow.PurposeOpen))
	tracker.FromServer(f.now, &flow.Packet{Key: key, Kind: flow.Accepting})
	tracker.FromNode(f.now, &flow.Packet{Key: key, Kind: flow.Other, Length: 10}, nil, request(flow.PurposeDeliver))
	for waited := time.Duration(0); waited < took; waited += 20 * time.Millisecond {
		tracker.Check(f.now + waited)
	}
	tracker.FromServer(f.now+took, &flow.Packet{Key: key, Kind: flow.Other, Length: 100})
	tracker.FromServer(f.now+took, &flow.Packet{Key: key, Kind: flow.Closing})
}

// status returns the n-th server's status in the answer to a heartbeat.
func (f *speedFleet) status(n int) flow.AgentStatus {
	status := f.trackers[n].Status(f.now)
	status.From, status.Process, status.RouteTimes = agentIP(2*n+1), 1, f.trackers[n].RouteTimes(f.now)
	status.View.Changed = 5
	return status
}

// run lets each server answer requests. Of each ten, slowRequests of the first server go to the route that takes three
// times as long, and half of those of the others. Every 33rd request takes 7 times as long.
func (f *speedFleet) run(requests, slowRequests int) {
	for i := range requests {
		for n, tracker := range f.trackers {
			slow, factor := 5, 1.0
			if n == 0 {
				slow, factor = slowRequests, f.factor
			}
			address, took := orders, 20*time.Millisecond
			if (i*7)%10 < slow {
				address, took = photos, 60*time.Millisecond
			}
			if (i+n)%33 == 0 {
				factor *= 7
			}
			f.serve(tracker, address, time.Duration(factor*float64(took)))
		}
		f.now += 500 * time.Millisecond
		for n := range f.trackers {
			f.director.UpdateStatus(f.now, f.status(n))
			f.trackers[n].SetPeers(f.now, f.director.PeerStats(f.now, agentIP(2*n+1)))
		}
	}
}

// TestSpeedIsLearned guards against a speed that follows the mix of routes or the few requests that take much longer,
// and against suspicion of a server that is only slow.
func TestSpeedIsLearned(t *testing.T) {
	for _, speed := range []float64{0.125, 0.5, 1, 2} {
		t.Run(fmt.Sprint(speed), func(t *testing.T) {
			f := newSpeedFleet(1 / speed)
			for _, slowRequests := range []int{5, 1, 9, 5} {
				f.run(200, slowRequests)
				if got := f.trackers[0].Status(f.now).Speed; math.Abs(got/speed-1) > 0.15 {
					t.Errorf("speed %.3f with %d of 10 requests to the slow route, want %.3f", got, slowRequests, speed)
				}
				for n, tracker := range f.trackers {
					if tracker.Suspect() {
						t.Errorf("server %d is suspect", n)
					}
					if got := tracker.Status(f.now).Speed; n > 0 && math.Abs(got-1) > 0.15 {
						t.Errorf("speed of server %d is %.3f", n, got)
					}
				}
			}
			for range 4 {
				f.serve(f.trackers[0], photos, time.Duration(7*60/speed)*time.Millisecond)
			}
			f.now += time.Second
			if got := f.trackers[0].Status(f.now).Speed; math.Abs(got/speed-1) > 0.15 {
				t.Errorf("speed %.3f after four long requests in a row, want %.3f", got, speed)
			}
		})
	}
}

// TestSpeedEndsWithTheRunOfTheServer guards against a speed that outlives the server that it was measured at.
func TestSpeedEndsWithTheRunOfTheServer(t *testing.T) {
	for name, end := range map[string]func(*flow.Tracker){
		"later run": func(tracker *flow.Tracker) { tracker.SetView(fleetView(6, 2)) },
		"later run after the entry was removed": func(tracker *flow.Tracker) {
			removed := fleetView(6, 1)
			removed.Upstreams = removed.Upstreams[1:]
			tracker.SetView(removed)
			tracker.SetView(fleetView(7, 2))
		},
		"server down":   func(tracker *flow.Tracker) { tracker.ServerDown() },
		"agent restart": func(tracker *flow.Tracker) { *tracker = *newTracker(fleetView(5, 1)) },
	} {
		f := newSpeedFleet(2)
		f.run(56, 5)
		if got := f.status(0); got.Speed == 0 || got.RouteTimes == (flow.RouteTimes{}) {
			t.Fatalf("%s: speed %v, times %v before the end", name, got.Speed, got.RouteTimes)
		}
		end(f.trackers[0])
		if got := f.status(0); got.Speed != 0 || got.RouteTimes != (flow.RouteTimes{}) {
			t.Errorf("%s: speed %v, times %v", name, got.Speed, got.RouteTimes)
		}
	}
}

// TestManyRoutesAreBounded uses more routes than an agent measures. Those that are used most must be reported.
func TestManyRoutesAreBounded(t *testing.T) {
	tracker := newTracker(orderView(5))
	view := orderView(5)
	view.Configuration.Version = 6
	view.Configuration.Routes = nil
	address := func(n int) flow.Endpoint { return flow.Endpoint{IP: orders.IP, Port: uint16(n + 1)} }
	for n := range 30 {
		view.Configuration.Routes = append(view.Configuration.Routes, routeTo(address(n), "orders"))
	}
	tracker.SetView(view)
	f := &speedFleet{now: start}
	for i := range 1200 {
		f.serve(tracker, address(i%2), 20*time.Millisecond)
		f.serve(tracker, address(i%30), 20*time.Millisecond)
		f.now += 40 * time.Millisecond
	}
	f.now = start.Truncate(4*time.Second) + 48*time.Second
	times := tracker.RouteTimes(f.now)
	used := map[uint32]bool{times[0].Key: true, times[1].Key: true}
	if !used[flow.RouteKey(address(0))] || !used[flow.RouteKey(address(1))] {
		t.Fatalf("got %v, want the two most used routes first", times)
	}
}
