package main

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// heapBytes returns the growth of the live heap, in bytes, due to the value that build returns.
func heapBytes[T any](build func() (T, error)) (float64, error) {
	before := liveHeap()
	value, err := build()
	if err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(value)
	return float64(after) - float64(before), nil
}

// liveHeap returns the size of the heap in bytes after two garbage collections.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuTime returns the CPU time that this process has used on all cores.
func cpuTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// cpuMicroseconds returns the mean CPU time of a call in microseconds. It repeats the call for minMeasured, since a
// single call may be too short to be measured.
func cpuMicroseconds(call func() error) (float64, error) {
	const minMeasured = 50 * time.Millisecond
	begin, err := cpuTime()
	if err != nil {
		return 0, err
	}
	for calls := 1; ; calls++ {
		if err := call(); err != nil {
			return 0, err
		}
		now, err := cpuTime()
		if err != nil {
			return 0, err
		}
		if now-begin >= minMeasured {
			return float64((now - begin).Microseconds()) / float64(calls), nil
		}
	}
}
