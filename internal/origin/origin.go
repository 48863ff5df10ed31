// Package origin remembers which service and which software began streams. What two models, or
// two versions of an engine's software, write does not fit together, so that a stream may go on
// only where it began, also when its caller takes it up at another entry.
package origin

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream, by the ID of the call that began it or by what was asked. The lowest
// bit tells these apart.
type Key uint64

// contentBit is set in keys of contents.
const contentBit Key = 1

// Stream are the keys of one stream. Callers that take a stream up need not name the call that
// began it, but ask the same.
type Stream struct{ ID, Content Key }

// NewStream returns the keys of a stream that a call with an ID began by asking for a content.
func NewStream(requestID string, content ...string) Stream {
	var d xxhash.Digest
	d.Reset()
	for _, s := range content {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	return Stream{ID: KeyOf(requestID), Content: Key(d.Sum64()) | contentBit}
}

// Origin is what began a stream.
type Origin struct {
	// Ambiguous is set for a content for which streams were begun in different ways.
	Ambiguous bool
	// Service is the service that serves the stream; "" if it is not known.
	Service string
	// Software is the version of the software of its servers.
	Software string
}

// KeyOf returns the key of the stream that a call began.
func KeyOf(requestID string) Key {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID)) // never fails
	return Key(h.Sum64()) &^ contentBit
}

// Retention is the time for which a stream is remembered at least. It is longer than
// callers wait for the end of a stream.
const Retention = 2 * time.Minute

// Table holds the origins of streams. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex // guards the fields below
	// present and former hold the streams that were recorded since rotated, and within
	// Retention before.
	present, former map[Key]Origin
	rotated         time.Time
	// added is closed when a stream is recorded; nil while nobody waits.
	recorded chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{present: map[Key]Origin{}, rotated: time.Now()} }

// Put records the origin of a stream, and keeps it for another Retention if it is recorded. It
// reports whether it was not. The first record of a call stays: it is made with the first event,
// and reports may overtake each other. Different records of a content make it ambiguous.
func (t *Table) Put(k Key, o Origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.get(k); ok {
		if k&contentBit != 0 && known != o {
			known = Origin{Ambiguous: true}
		}
		t.present[k] = known
		return false
	}
	t.present[k] = o
	if t.recorded != nil {
		close(t.recorded)
		t.recorded = nil
	}
	return true
}

// Get returns the origin of a stream.
func (t *Table) Get(k Key) (o Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(k)
}

func (t *Table) get(k Key) (o Origin, ok bool) {
	if now := time.Now(); now.Sub(t.rotated) > Retention {
		t.former, t.present, t.rotated = t.present, map[Key]Origin{}, now
	}
	if o, ok = t.present[k]; !ok {
		o, ok = t.former[k]
	}
	return o, ok
}

// Len returns the number of streams that are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.present) + len(t.former)
}

// Wait returns the origin of a stream, once it is known. It reports false if ctx ends
// before.
func (t *Table) Wait(ctx context.Context, k Key) (o Origin, ok bool) {
	for {
		t.mu.Lock()
		o, ok = t.get(k)
		if ok {
			t.mu.Unlock()
			return o, true
		}
		if t.recorded == nil {
			t.recorded = make(chan struct{})
		}
		recorded := t.recorded
		t.mu.Unlock()
		select {
		case <-recorded:
		case <-ctx.Done():
			return Origin{}, false
		}
	}
}
