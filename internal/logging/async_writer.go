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
	done    chan struct{}
}

// maxQueuedLines is the capacity of the queue in lines, a second of heavy load.
const maxQueuedLines = 2048

// NewAsyncWriter starts an AsyncWriter that writes to w. Close stops it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
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

// Close writes the queued lines and stops the writer. Write must not be called
// afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.done
}

// batchBytes is the size in bytes from which a batch of lines is written.
const batchBytes = 16 << 10

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		batch := line
		for len(batch) < batchBytes && len(a.lines) > 0 {
			batch = append(batch, <-a.lines...)
		}
		if n := a.dropped.Swap(0); n > 0 {
			batch = append(batch, `{"level":"warn","msg":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n"...)
		}
		_, _ = w.Write(batch) // an error of the log output cannot be logged
	}
}
