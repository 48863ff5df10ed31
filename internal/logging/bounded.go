package logging

import (
	"io"
	"strconv"
	"sync/atomic"
)

// Bounded is a writer that never blocks: it hands lines to a goroutine and drops
// those for which there is no room. It writes how many were dropped once there
// is room again.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// boundedLines is the number of lines that wait, a second of heavy load.
const boundedLines = 2048

// NewBounded starts a bounded writer to w. Close ends it.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedLines), done: make(chan struct{})}
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

// Dropped returns the number of lines that were dropped and not yet told.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Crowded reports whether half of the room for lines is taken.
func (b *Bounded) Crowded() bool { return len(b.lines) >= boundedLines/2 }

// Close writes what waits. Lines written afterwards are an error of the caller.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.done
}

// batchBytes bounds the lines that are written together.
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
		_, _ = w.Write(batch) // there is nowhere else to report it
	}
}
