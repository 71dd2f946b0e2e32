package main

import (
	"time"

	"github.com/juju/errors"
)

const (
	// settleTime is how long a fleet runs before a measurement starts.
	settleTime = 4 * time.Second
	// observeTime is the duration of a measurement.
	observeTime = 6 * time.Second
)

// linkSlopes returns the slopes that are measured on running views with real peer connections.
func linkSlopes() []slope {
	fleetSizes := []int{4, 8, 12, 16, 24}
	treeSizes := []int{125, 250, 500, 1000, 2000}
	return []slope{
		{
			name: "link-bytes", title: "Control traffic of an idle node, both directions", size: "agents of a service", unit: "bytes/s",
			sizes: fleetSizes, target: 10, repeats: 1,
			measure: func(n int) (float64, error) { return idleRate(n, wireBytes) },
		},
		{
			name: "link-processor", title: "CPU time of the view of an idle node", size: "agents of a service", unit: "share of a core in %",
			sizes: fleetSizes, target: 10, repeats: 1,
			measure: func(n int) (float64, error) { return idleRate(n, cpuCentiseconds) },
		},
		{
			name: "view-memory", title: "Memory of a running view with its peer connections", size: "agents of a service", unit: "bytes",
			sizes: fleetSizes, target: 10, repeats: 1, measure: viewBytes,
		},
		{
			name: "change-bytes", title: "Traffic of a node per changed value, both directions", size: "upstreams", unit: "bytes",
			sizes: treeSizes, target: 58000, repeats: 1, measure: changeBytes,
		},
		{
			name: "first-bytes", title: "Traffic of a node until its first revision is in force", size: "upstreams", unit: "bytes",
			sizes: treeSizes, target: 58000, repeats: 1, measure: firstBytes,
		},
		{
			name: "change-time", title: "Time until a change is in force in a place", size: "members", unit: "ms",
			sizes: []int{8, 16, 32, 64, 128}, target: 3374, repeats: 1, measure: changeTime,
		},
	}
}

// idleRate returns the growth of a counter per second and node in an idle fleet.
func idleRate(n int, counter func(*fleet) (float64, error)) (float64, error) {
	f, err := startFleet(n, 0, ownService)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	if _, err := f.publish(5); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	before, err := counter(f)
	if err != nil {
		return 0, err
	}
	time.Sleep(observeTime)
	after, err := counter(f)
	return (after - before) / observeTime.Seconds() / float64(n), err
}

// wireBytes returns the bytes sent and received by all nodes. The counter covers only one end of each
// connection, so it is doubled.
func wireBytes(f *fleet) (float64, error) {
	return 2 * float64(f.linkBytes.bytes.Load()), nil
}

// cpuCentiseconds returns the CPU time of this process in units of 10 ms. Its growth per second is a percentage of a
// core.
func cpuCentiseconds(*fleet) (float64, error) {
	used, err := cpuTime()
	return used.Seconds() * 100, err
}

func viewBytes(n int) (float64, error) {
	before := liveHeap()
	f, err := startFleet(n, 0, ownService)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	if _, err := f.publish(5); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	return (float64(liveHeap()) - float64(before)) / float64(n), nil
}

// relayFleetSize is the number of nodes over which the traffic for a revision is averaged.
const relayFleetSize = 16

func changeBytes(upstreams int) (float64, error) {
	f, err := startFleet(relayFleetSize, upstreams, noService)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	if _, err := f.publish(5); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	before := f.configurationBytes()
	if _, err := f.publish(6); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	return (f.configurationBytes() - before) / relayFleetSize, nil
}

func firstBytes(upstreams int) (float64, error) {
	f, err := startFleet(relayFleetSize, upstreams, noService)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	if _, err := f.publish(5); err != nil {
		return 0, err
	}
	return f.configurationBytes() / relayFleetSize, nil
}

// changeTime returns the median time, in milliseconds, until a change is in force in every node.
func changeTime(n int) (float64, error) {
	const changes = 5
	f, err := startFleet(n, 0, noService)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	if _, err := f.publish(5); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	var times []float64
	for i := range changes {
		took, err := f.publish(6 + i)
		if err != nil {
			return 0, errors.Trace(err)
		}
		times = append(times, float64(took)/float64(time.Millisecond))
		time.Sleep(observeTime / changes)
	}
	return median(times), nil
}
