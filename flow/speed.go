package flow

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyrack/bramleyrack/registry"
)

// RouteTime is the mean time that requests of a route take.
type RouteTime struct {
	// Key identifies the route, see RouteKey. It is zero in an unused entry.
	Key  uint32
	Time time.Duration
}

// RouteTimes holds the times of the most used routes. The used entries come first.
type RouteTimes [4]RouteTime

// of returns the time of a route, or zero if it is unknown.
func (r *RouteTimes) of(key uint32) time.Duration {
	for i := range r {
		if r[i].Key == key {
			return r[i].Time
		}
	}
	return 0
}

// RouteKey returns the key of the route of an address.
func RouteKey(address Endpoint) uint32 {
	var b [6]byte
	copy(b[:], address.IP[:])
	binary.BigEndian.PutUint16(b[4:], address.Port)
	return max(1, uint32(xxhash.Sum64(b[:])))
}

const (
	// maxMeasuredRoutes bounds the routes whose times an agent measures.
	maxMeasuredRoutes = 8
	// minRouteWeight is the lowest weight of one sample in the mean of its route. The mean then varies by about 6 % if
	// the standard deviation of the times is 0.7 times their mean.
	minRouteWeight = 1.0 / 64
	// minRouteSamples is how many requests of a route must have been measured for its mean to be used.
	minRouteSamples = 20
	// maxSampleFactor limits a sample to a multiple of the mean, so that a few long requests do not look like a slow
	// server. A server that becomes slower still raises its mean by up to 3 % with each request.
	maxSampleFactor = 3
	// routeUseDecay is the time constant with which earlier requests lose weight in the use of a route.
	routeUseDecay = 10 * time.Second
	// routeTimesTTL is how long the time of a route is used after it was last measured or received.
	routeTimesTTL = time.Minute
	// minSpeed and maxSpeed limit the speed of a server.
	minSpeed, maxSpeed = 0.1, 4
	// Route times are sent during the first routeTimesWindow of each routeTimesPeriod, since they change slowly. The
	// window exceeds the interval between two heartbeats.
	routeTimesPeriod = 4 * time.Second
	routeTimesWindow = 1200 * time.Millisecond
)

// routeTimesDue reports whether messages sent now include route times.
func routeTimesDue(now time.Duration) bool {
	return now%routeTimesPeriod < routeTimesWindow
}

// measuredRoute is what an agent knows of the requests of a route.
type measuredRoute struct {
	key     uint32
	samples int
	mean    time.Duration
	// use is the decayed number of requests, the last of which was measured at last.
	use  float64
	last time.Duration
}

// speedMeter measures the speed of a server relative to the median of its service.
type speedMeter struct {
	routes  []measuredRoute
	medians RouteTimes
	// latest is the speed as of computed.
	latest   float64
	computed time.Duration
}

// speedTTL is how long a computed speed is used, so that a packet does not cost a computation.
const speedTTL = 200 * time.Millisecond

// record includes the service time of a request of a route.
func (s *speedMeter) record(now time.Duration, key uint32, took time.Duration) {
	r := s.route(now, key)
	if r == nil {
		return
	}
	r.samples++
	r.use, r.last = r.use*decay(now-r.last, routeUseDecay)+1, now
	if r.samples > 1 {
		took = min(took, maxSampleFactor*r.mean)
	}
	r.mean += time.Duration(max(minRouteWeight, 1/float64(r.samples)) * float64(took-r.mean))
}

// route returns the entry of a route, which it adds if necessary in place of one that is not used any more. It returns
// nil if there is no place.
func (s *speedMeter) route(now time.Duration, key uint32) *measuredRoute {
	for i := range s.routes {
		if s.routes[i].key == key {
			return &s.routes[i]
		}
	}
	if len(s.routes) < maxMeasuredRoutes {
		s.routes = append(s.routes, measuredRoute{key: key, last: now})
		return &s.routes[len(s.routes)-1]
	}
	oldest := &s.routes[0]
	for i := range s.routes {
		if s.routes[i].last < oldest.last {
			oldest = &s.routes[i]
		}
	}
	if now-oldest.last < routeUseDecay {
		return nil
	}
	*oldest = measuredRoute{key: key, last: now}
	return oldest
}

// known reports whether the mean of a route may be used.
func (r *measuredRoute) known(now time.Duration) bool {
	return r.samples >= minRouteSamples && now-r.last <= routeTimesTTL
}

// mostUsed returns the times of the most used routes.
func (s *speedMeter) mostUsed(now time.Duration) (times RouteTimes) {
	var uses [len(times)]float64
	for i := range s.routes {
		r := &s.routes[i]
		if !r.known(now) {
			continue
		}
		entry, use := RouteTime{Key: r.key, Time: r.mean}, r.use*decay(now-r.last, routeUseDecay)
		for j := range times {
			if use > uses[j] {
				uses[j], use = use, uses[j]
				times[j], entry = entry, times[j]
			}
		}
	}
	return times
}

// speed returns how fast the server is relative to the median of its service, or zero if it is unknown. The times of
// the routes are weighted by the server's own use of them, so the speed does not depend on the mix of routes.
func (s *speedMeter) speed(now time.Duration) float64 {
	if s.computed == 0 || now-s.computed >= speedTTL {
		s.latest, s.computed = s.compute(now), now
	}
	return s.latest
}

func (s *speedMeter) compute(now time.Duration) float64 {
	own, median := 0.0, 0.0
	for i := range s.routes {
		r := &s.routes[i]
		peers := s.medians.of(r.key)
		if peers == 0 || r.mean == 0 || !r.known(now) {
			continue
		}
		use := r.use * decay(now-r.last, routeUseDecay)
		own += use * r.mean.Seconds()
		median += use * peers.Seconds()
	}
	if own == 0 {
		return 0
	}
	return min(max(median/own, minSpeed), maxSpeed)
}

// setMedians stores the medians from a balancer, unless it sent none.
func (s *speedMeter) setMedians(medians RouteTimes) {
	if medians[0].Key != 0 {
		s.medians, s.computed = medians, 0
	}
}

// forget discards what was measured, since a new run of the server may be faster or slower.
func (s *speedMeter) forget() {
	s.routes, s.computed = s.routes[:0], 0
}

// recordSpeed includes the service time of a request in the speed, unless the server is not warm yet.
func (t *Tracker) recordSpeed(now time.Duration, address Endpoint, took time.Duration) {
	if took > 0 && (t.entry == nil || now >= t.entry.WarmAt) {
		t.load.speed.record(now, RouteKey(address), took)
	}
}

// RouteTimes returns the times of the most used routes for an answer to a heartbeat. It is empty if none are due.
func (t *Tracker) RouteTimes(now time.Duration) RouteTimes {
	if !routeTimesDue(now) {
		return RouteTimes{}
	}
	return t.load.speed.mostUsed(now)
}

// updateRun records the route times and speed in a status that was received from the agent. The status of an agent that
// may not know of the present run of its server yet describes the earlier one.
func (a *agent) updateRun(now, maxLag time.Duration, status *AgentStatus) {
	if status.Process != a.status.process {
		a.routeTimes = nil
	}
	if a.runChanged > status.View.Changed && now-a.runSince <= maxLag {
		status.Speed, status.RouteTimes = 0, RouteTimes{}
	}
	if status.RouteTimes[0].Key != 0 {
		times := status.RouteTimes
		a.routeTimes, a.routeTimesAt = &times, now
	}
}

// startRun discards the speed of the earlier run of the agent's server, if there was one.
func (a *agent) startRun(changed registry.Revision) {
	a.runChanged, a.routeTimes, a.status.speed = changed, nil, 0
}

// routeMedians returns the median times of the routes that most servers of a service have reported.
func (d *Director) routeMedians(now time.Duration, s *service) (medians RouteTimes) {
	times := map[uint32][]time.Duration{}
	for i := range s.holders {
		a := d.agents[ipFromNumber(s.holders[i].Number)]
		if a.routeTimes == nil || now-a.routeTimesAt > routeTimesTTL {
			continue
		}
		for _, r := range *a.routeTimes {
			if r.Key != 0 {
				times[r.Key] = append(times[r.Key], r.Time)
			}
		}
	}
	var keys []uint32
	for key, reported := range times {
		if len(reported) >= minPeers {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(len(times[b]), len(times[a])), cmp.Compare(a, b))
	})
	for i, key := range keys[:min(len(keys), len(medians))] {
		slices.Sort(times[key])
		medians[i] = RouteTime{Key: key, Time: times[key][len(times[key])/2]}
	}
	return medians
}

// lateLimit returns the time after which a running request counts as failed at a server of the given speed. Zero means
// that the speed is unknown.
func lateLimit(peers time.Duration, speed float64) time.Duration {
	if speed == 0 {
		speed = 1
	}
	return max(minLate, time.Duration(lateFactor*float64(peers)/math.Min(1, speed)))
}
