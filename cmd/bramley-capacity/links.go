package main

import (
	"time"

	"github.com/juju/errors"
)

const (
	// settleTime is how long a fleet runs before it is measured.
	settleTime = 4 * time.Second
	// observeTime is how long a fleet is measured.
	observeTime = 6 * time.Second
)

// linkSlopes measure running views with real links.
func linkSlopes() []slope {
	fleets := []int{4, 8, 12, 16, 24}
	trees := []int{125, 250, 500, 1000, 2000}
	return []slope{
		{
			name: "link-bytes", title: "Control traffic of a node at rest, both directions", size: "agents of a service", unit: "bytes/s",
			sizes: fleets, target: 10, repeats: 1,
			measure: func(n int) (float64, error) { return atRest(n, wireBytes) },
		},
		{
			name: "link-processor", title: "Processor time of a node's view at rest", size: "agents of a service", unit: "share of a core in %",
			sizes: fleets, target: 10, repeats: 1,
			measure: func(n int) (float64, error) { return atRest(n, processorShare) },
		},
		{
			name: "view-memory", title: "Memory of a running view with its links", size: "agents of a service", unit: "bytes",
			sizes: fleets, target: 10, repeats: 1, measure: viewBytes,
		},
		{
			name: "change-bytes", title: "Traffic of a node for one changed value, both directions", size: "upstreams", unit: "bytes",
			sizes: trees, target: 58000, repeats: 1, measure: changeBytes,
		},
		{
			name: "first-bytes", title: "Traffic of a node until its first revision is in force", size: "upstreams", unit: "bytes",
			sizes: trees, target: 58000, repeats: 1, measure: firstBytes,
		},
		{
			name: "change-time", title: "Time until a change is in force in a place", size: "members", unit: "ms",
			sizes: []int{8, 16, 32, 64, 128}, target: 3374, repeats: 1, measure: changeTime,
		},
	}
}

// atRest returns what a gauge gains in a second for each node of a fleet to which nothing happens.
func atRest(n int, gauge func(*fleet) (float64, error)) (float64, error) {
	f, err := startFleet(n, 0, ownService)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	if _, err := f.publish(5); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	before, err := gauge(f)
	if err != nil {
		return 0, err
	}
	time.Sleep(observeTime)
	after, err := gauge(f)
	return (after - before) / observeTime.Seconds() / float64(n), err
}

// wireBytes counts a link once; each of its bytes is sent by one node and received by another.
func wireBytes(f *fleet) (float64, error) {
	return 2 * float64(f.wire.bytes.Load()), nil
}

func processorShare(*fleet) (float64, error) {
	used, err := processorTime()
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

// relayFleet is the number of nodes over which the traffic of a change is averaged.
const relayFleet = 16

func changeBytes(upstreams int) (float64, error) {
	f, err := startFleet(relayFleet, upstreams, noService)
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
	return (f.configurationBytes() - before) / relayFleet, nil
}

func firstBytes(upstreams int) (float64, error) {
	f, err := startFleet(relayFleet, upstreams, noService)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	if _, err := f.publish(5); err != nil {
		return 0, err
	}
	return f.configurationBytes() / relayFleet, nil
}

// changeTime returns the median of a few changes in one fleet.
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
	return middle(times), nil
}
