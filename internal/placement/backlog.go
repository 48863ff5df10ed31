package placement

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/predict"
)

// Backlog predicts the wait at a server that processes its work sequentially, from
// the durations of the work that was sent to it.
type Backlog struct {
	busyUntil time.Duration
}

// Add appends work of a duration in milliseconds.
func (b *Backlog) Add(now time.Duration, ms float64) {
	b.busyUntil = max(b.busyUntil, now) + time.Duration(ms*float64(time.Millisecond))
}

// Reset marks the server as idle.
func (b *Backlog) Reset(now time.Duration) { b.busyUntil = now }

// WaitMillis returns the time in milliseconds until the server becomes idle.
func (b *Backlog) WaitMillis(now time.Duration) float64 {
	return max(0, predict.Milliseconds(b.busyUntil-now))
}
