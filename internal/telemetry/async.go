package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines is the capacity of the queue, in lines. Lines beyond it are dropped and counted.
	asyncQueueLines = 4096
	// asyncBatchDelay is the least time between two system calls. Lines are collected meanwhile. The first line after a longer
	// time without any is written at once, so that the last decisions of a process that is killed are not lost.
	asyncBatchDelay = 50 * time.Millisecond
	// asyncBatchBytes is the size at which a batch is full. The last line may exceed it.
	asyncBatchBytes = 32 << 10
)

// asyncWriter queues lines and writes them from another goroutine, so that logging never blocks.
type asyncWriter struct {
	out     io.Writer
	lines   chan *[]byte
	flush   chan chan struct{}
	pool    sync.Pool
	dropped atomic.Int64
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	return &asyncWriter{
		out:   w,
		lines: make(chan *[]byte, asyncQueueLines),
		flush: make(chan chan struct{}),
		pool:  sync.Pool{New: func() any { return &[]byte{} }},
	}
}

// LogAsync sends all events to w like LogTo, but in batches and from another goroutine. Lines that arrive while the
// queue is full are dropped and counted in the gauge log_lines_dropped. The returned function writes the queued lines.
func LogAsync(w io.Writer) (flush func()) {
	a := newAsyncWriter(w)
	go a.run()
	LogTo(a)
	Gauge("log_lines_dropped", func() any { return a.dropped.Load() })
	return func() {
		done := make(chan struct{})
		a.flush <- done
		<-done
	}
}

// Write queues a copy of line, or drops it if the queue is full. It never returns an error.
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
	timer := time.NewTimer(asyncBatchDelay)
	timer.Stop()
	var batch []byte
	var written time.Time
	for {
		select {
		case line := <-a.lines:
			batch = a.appendLine(batch[:0], line)
			timer.Reset(asyncBatchDelay - time.Since(written))
			select {
			case <-timer.C:
				a.write(a.drain(batch))
				written = time.Now()
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

func (a *asyncWriter) appendLine(batch []byte, line *[]byte) []byte {
	batch = append(batch, *line...)
	a.pool.Put(line)
	return batch
}

// drain appends queued lines to batch until the queue is empty or the batch reaches asyncBatchBytes.
func (a *asyncWriter) drain(batch []byte) []byte {
	for len(batch) < asyncBatchBytes {
		select {
		case line := <-a.lines:
			batch = a.appendLine(batch, line)
		default:
			return batch
		}
	}
	return batch
}

// writeAll writes batch and all queued lines.
func (a *asyncWriter) writeAll(batch []byte) {
	for batch = a.drain(batch); len(batch) > 0; batch = a.drain(batch[:0]) {
		a.write(batch)
	}
}

func (a *asyncWriter) write(batch []byte) {
	if len(batch) == 0 {
		return
	}
	// The error is ignored: if the log output is gone, there is nowhere to report it.
	_, _ = a.out.Write(batch)
}
