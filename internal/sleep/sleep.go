// Package sleep waits for a duration or until a context ends, and varies durations.
package sleep

import (
	"context"
	"math/rand/v2"
	"time"
)

// WithContext waits for d. It returns early, with false, if ctx ends first.
func WithContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jitterShare is the fraction by which Jitter varies a duration either way.
const jitterShare = 0.25

// Jitter varies a delay, so that those who failed together do not return together.
func Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}
