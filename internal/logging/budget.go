package logging

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Rates of lines of one kind, in lines per second. An entry at the size that the
// system is designed for serves about 30 requests a second with five lines each.
const (
	// ordinaryRate is that of lines about what went well.
	ordinaryRate = 100
	// urgentRate is that of warnings and errors: refusals, failures and retries
	// are needed longest, and a fault raises their number.
	urgentRate = 500
)

// burstSeconds is the time for which a kind may save up its lines.
const burstSeconds = 2

// otherKinds names the lines without a message, and those of kinds beyond
// maxKinds.
const otherKinds = "other"

// maxKinds bounds the kinds that are counted; a program has some dozens.
const maxKinds = 256

// Budget is a logger that bounds the lines of each kind, which is their "msg".
// What it leaves out is counted, and told by a line of its own once the kind has
// room again.
type Budget struct {
	next log.Logger
	// crowded reports that the output is behind, so that ordinary lines are left
	// out at once.
	crowded func() bool

	mu    sync.Mutex // guards kinds
	kinds map[string]*bucket
}

// bucket holds the lines that one kind may still write.
type bucket struct {
	lines   float64
	filled  time.Time
	leftOut int
}

// NewBudget returns a logger that passes lines on to next within the rates, and
// only urgent ones while crowded returns true.
func NewBudget(next log.Logger, crowded func() bool) *Budget {
	return &Budget{next: next, crowded: crowded, kinds: map[string]*bucket{}}
}

// Log implements log.Logger.
func (b *Budget) Log(keyvals ...any) error {
	kind, rate := describe(keyvals)
	ok, leftOut := b.take(kind, rate)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		if err := b.next.Log(level.Key(), level.WarnValue(), "msg", "log lines left out", "kind", kind, "count", leftOut); err != nil {
			return err
		}
	}
	return b.next.Log(keyvals...)
}

// describe returns the kind of a line and the rate of such lines.
func describe(keyvals []any) (kind string, rate float64) {
	kind, rate = otherKinds, ordinaryRate
	for i := 0; i+1 < len(keyvals); i += 2 {
		switch keyvals[i] {
		case level.Key():
			if keyvals[i+1] == level.WarnValue() || keyvals[i+1] == level.ErrorValue() {
				rate = urgentRate
			}
		case "msg":
			if msg, ok := keyvals[i+1].(string); ok {
				kind = msg
			}
		}
	}
	return kind, rate
}

// take takes one line of a kind. leftOut is the number of lines that were left
// out before it.
func (b *Budget) take(kind string, rate float64) (ok bool, leftOut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	k, known := b.kinds[kind]
	if !known && len(b.kinds) >= maxKinds {
		kind = otherKinds
		k, known = b.kinds[kind]
	}
	if !known {
		k = &bucket{lines: burstSeconds * rate, filled: now}
		b.kinds[kind] = k
	}
	k.lines = min(burstSeconds*rate, k.lines+rate*now.Sub(k.filled).Seconds())
	k.filled = now
	if k.lines < 1 || rate < urgentRate && b.crowded() {
		k.leftOut++
		return false, 0
	}
	k.lines--
	leftOut, k.leftOut = k.leftOut, 0
	return true, leftOut
}
