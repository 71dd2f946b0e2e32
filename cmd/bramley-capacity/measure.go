package main

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// heapBytes returns how much the live heap grows by what make returns.
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

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns the time that this process has used on all cores.
func processorTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// processorMicroseconds returns the processor time of one call, over enough calls to be measurable.
func processorMicroseconds(call func() error) (float64, error) {
	const least = 50 * time.Millisecond
	begin, err := processorTime()
	if err != nil {
		return 0, err
	}
	for calls := 1; ; calls++ {
		if err := call(); err != nil {
			return 0, err
		}
		now, err := processorTime()
		if err != nil {
			return 0, err
		}
		if now-begin >= least {
			return float64((now - begin).Microseconds()) / float64(calls), nil
		}
	}
}
