package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines is how many lines may wait to be written; further ones are dropped and counted.
	asyncLines = 4096
	// asyncDelay is how long lines are collected before they are written together.
	asyncDelay = 50 * time.Millisecond
	// asyncBytes bounds one write.
	asyncBytes = 32 << 10
)

// asyncWriter writes lines without ever blocking who logs.
type asyncWriter struct {
	out     io.Writer
	lines   chan *[]byte
	flush   chan chan struct{}
	pool    sync.Pool
	dropped atomic.Int64
}

// LogAsync sends all events to w like LogTo, from a goroutine that collects lines. Lines that come faster
// than w takes them are dropped and counted. The returned function writes what is left.
func LogAsync(w io.Writer) (flush func()) {
	a := &asyncWriter{
		out:   w,
		lines: make(chan *[]byte, asyncLines),
		flush: make(chan chan struct{}),
		pool:  sync.Pool{New: func() any { return &[]byte{} }},
	}
	go a.run()
	LogTo(a)
	Gauge("log_lines_dropped", func() any { return a.dropped.Load() })
	return func() {
		done := make(chan struct{})
		a.flush <- done
		<-done
	}
}

// Write queues a copy of a line. It never fails.
func (a *asyncWriter) Write(line []byte) (int, error) {
	buffer := a.pool.Get().(*[]byte)
	*buffer = append((*buffer)[:0], line...)
	select {
	case a.lines <- buffer:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *asyncWriter) run() {
	timer := time.NewTimer(asyncDelay)
	timer.Stop()
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = a.collect(batch[:0], line)
			timer.Reset(asyncDelay)
			select {
			case <-timer.C:
				a.write(a.drain(batch))
			case done := <-a.flush:
				a.writeAll(batch)
				close(done)
			}
		case done := <-a.flush:
			a.writeAll(batch[:0])
			close(done)
		}
	}
}

func (a *asyncWriter) collect(batch []byte, line *[]byte) []byte {
	batch = append(batch, *line...)
	a.pool.Put(line)
	return batch
}

// drain appends the lines that wait, up to the size of one write.
func (a *asyncWriter) drain(batch []byte) []byte {
	for len(batch) < asyncBytes {
		select {
		case line := <-a.lines:
			batch = a.collect(batch, line)
		default:
			return batch
		}
	}
	return batch
}

// writeAll writes a batch and everything that waits.
func (a *asyncWriter) writeAll(batch []byte) {
	for batch = a.drain(batch); len(batch) > 0; batch = a.drain(batch[:0]) {
		a.write(batch)
	}
}

func (a *asyncWriter) write(batch []byte) {
	if len(batch) == 0 {
		return
	}
	// There is nowhere to report that standard output is gone.
	_, _ = a.out.Write(batch)
}
