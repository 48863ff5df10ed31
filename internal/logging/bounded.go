package logging

import (
	"io"
	"strconv"
	"sync/atomic"
)

// Bounded is a writer that never blocks: it queues lines for a goroutine and drops
// lines while the queue is full. It logs how many were dropped with the next line
// that is written.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64 // not yet logged
	done    chan struct{}
}

// maxQueuedLines is the capacity of the queue in lines, a second of heavy load.
const maxQueuedLines = 2048

// NewBounded starts a bounded writer to w. Close stops it.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write queues one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that were not yet logged.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Crowded reports whether the queue is at least half full.
func (b *Bounded) Crowded() bool { return len(b.lines) >= maxQueuedLines/2 }

// Close writes the queued lines and stops the writer. Write must not be called
// afterwards.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.done
}

// batchBytes is the size in bytes from which a batch of lines is written.
const batchBytes = 16 << 10

func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		batch := line
		for len(batch) < batchBytes && len(b.lines) > 0 {
			batch = append(batch, <-b.lines...)
		}
		if n := b.dropped.Swap(0); n > 0 {
			batch = append(batch, `{"level":"warn","msg":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n"...)
		}
		_, _ = w.Write(batch) // an error of the log output cannot be logged
	}
}
