// Package origin remembers by which software streams were begun. What two versions of an
// engine's software write does not fit together, so that a stream may go on only at the
// version that began it, also when its caller takes it up at another entry.
package origin

import (
	"context"
	"hash/fnv"
	"sync"
	"time"
)

// Key identifies a stream.
type Key uint64

// KeyOf returns the key of the stream that a call began.
func KeyOf(requestID string) Key {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID)) // never fails
	return Key(h.Sum64())
}

// Retention is the time for which a stream is remembered at least. It is longer than
// callers wait for the end of a stream.
const Retention = 2 * time.Minute

// Table holds the software of streams. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex // guards the fields below
	// present and former hold the streams that were recorded since rotated, and within
	// Retention before.
	present, former map[Key]string
	rotated         time.Time
	// added is closed when a stream is recorded; nil while nobody waits.
	recorded chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{present: map[Key]string{}, rotated: time.Now()} }

// Put records the software of a stream. It reports whether the stream was not recorded. The
// first record stays: it is made with the first event, and reports may overtake each other.
func (t *Table) Put(k Key, software string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.get(k); ok {
		return false
	}
	t.present[k] = software
	if t.recorded != nil {
		close(t.recorded)
		t.recorded = nil
	}
	return true
}

// Get returns the software of a stream.
func (t *Table) Get(k Key) (software string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(k)
}

func (t *Table) get(k Key) (software string, ok bool) {
	if now := time.Now(); now.Sub(t.rotated) > Retention {
		t.former, t.present, t.rotated = t.present, map[Key]string{}, now
	}
	if software, ok = t.present[k]; !ok {
		software, ok = t.former[k]
	}
	return software, ok
}

// Len returns the number of streams that are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.present) + len(t.former)
}

// Wait returns the software of a stream, once it is known. It reports false if ctx ends
// before.
func (t *Table) Wait(ctx context.Context, k Key) (software string, ok bool) {
	for {
		t.mu.Lock()
		software, ok = t.get(k)
		if ok {
			t.mu.Unlock()
			return software, true
		}
		if t.recorded == nil {
			t.recorded = make(chan struct{})
		}
		recorded := t.recorded
		t.mu.Unlock()
		select {
		case <-recorded:
		case <-ctx.Done():
			return "", false
		}
	}
}
