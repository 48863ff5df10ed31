package logging

import (
	"io"
	"strconv"
	"sync/atomic"
)

// AsyncWriter is a writer that never blocks: it queues lines for a goroutine and
// drops lines while the queue is full. It logs how many were dropped with the next
// line that is written.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64 // lines dropped since their number was last logged
	// stop is closed by Close, and done when the queue has been written after it.
	stop, done chan struct{}
}

// maxQueuedLines is the capacity of the queue in lines, a second of heavy load.
const maxQueuedLines = 2048

// NewAsyncWriter starts an AsyncWriter that writes to w. Close stops it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues one line. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since this number was last
// logged.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// HalfFull reports whether the queue is at least half full.
func (a *AsyncWriter) HalfFull() bool { return len(a.lines) >= maxQueuedLines/2 }

// Close writes the queued lines and stops the writer. Goroutines may still write lines
// meanwhile and afterwards; those that are not queued in time are lost. Close must be
// called once only.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.done
}

// batchBytes is the size in bytes from which a batch of lines is written.
const batchBytes = 16 << 10

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.writeBatch(w, line)
		case <-a.stop:
			// No more than one full queue is written, since lines may still arrive.
			for range maxQueuedLines {
				select {
				case line := <-a.lines:
					a.writeBatch(w, line)
				default:
					return
				}
			}
			return
		}
	}
}

// writeBatch writes a line and those that are queued behind it, up to batchBytes.
func (a *AsyncWriter) writeBatch(w io.Writer, batch []byte) {
	for len(batch) < batchBytes && len(a.lines) > 0 {
		batch = append(batch, <-a.lines...)
	}
	if n := a.dropped.Swap(0); n > 0 {
		batch = append(batch, `{"level":"warn","msg":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n"...)
	}
	_, _ = w.Write(batch) // an error of the log output cannot be logged
}
