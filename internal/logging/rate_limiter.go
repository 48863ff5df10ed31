package logging

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Rate limits for each kind of line, in lines per second. An entry of the design
// size serves about 30 requests a second with five lines each.
const (
	// ordinaryRate applies to debug and info lines.
	ordinaryRate = 100
	// urgentRate applies to warnings and errors. It is higher since refusals,
	// failures and retries matter most, and their number rises during a fault.
	urgentRate = 500
)

// burstSeconds is the maximum burst of a kind, in seconds at its rate.
const burstSeconds = 2

// otherKinds is the kind of lines without a message, and of all kinds beyond
// maxKinds.
const otherKinds = "other"

// maxKinds is the maximum number of kinds with a limit of their own; a program has
// some dozens.
const maxKinds = 256

// RateLimiter is a logger that limits the rate of each kind of line, where the kind
// is the value of "msg". It counts the lines that it drops and logs their number
// before the next line of the kind.
type RateLimiter struct {
	next log.Logger
	// overloaded reports whether the output is falling behind. Debug and info lines
	// are dropped meanwhile.
	overloaded func() bool

	mu    sync.Mutex // guards kinds
	kinds map[string]*bucket
}

// bucket is the token bucket of one kind, with one token for each line.
type bucket struct {
	tokens   float64
	filledAt time.Time
	dropped  int // since the last line that was logged
}

// NewRateLimiter returns a logger that passes lines on to next within the rate
// limits, and only warnings and errors while overloaded returns true.
func NewRateLimiter(next log.Logger, overloaded func() bool) *RateLimiter {
	return &RateLimiter{next: next, overloaded: overloaded, kinds: map[string]*bucket{}}
}

// Log implements log.Logger.
func (l *RateLimiter) Log(keyvals ...any) error {
	kind, rate := classify(keyvals)
	ok, dropped := l.allow(kind, rate)
	if !ok {
		return nil
	}
	if dropped > 0 {
		if err := l.next.Log(level.Key(), level.WarnValue(), "msg", "log lines left out", "kind", kind, "count", dropped); err != nil {
			return err
		}
	}
	return l.next.Log(keyvals...)
}

// classify returns the kind of a line and its rate limit.
func classify(keyvals []any) (kind string, rate float64) {
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

// allow reports whether a line of a kind may be logged. dropped is the number of
// lines of the kind that were dropped since the last one that was logged.
func (l *RateLimiter) allow(kind string, rate float64) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	k, known := l.kinds[kind]
	if !known && len(l.kinds) >= maxKinds {
		kind = otherKinds
		k, known = l.kinds[kind]
	}
	if !known {
		k = &bucket{tokens: burstSeconds * rate, filledAt: now}
		l.kinds[kind] = k
	}
	k.tokens = min(burstSeconds*rate, k.tokens+rate*now.Sub(k.filledAt).Seconds())
	k.filledAt = now
	if k.tokens < 1 || rate < urgentRate && l.overloaded() {
		k.dropped++
		return false, 0
	}
	k.tokens--
	dropped, k.dropped = k.dropped, 0
	return true, dropped
}
