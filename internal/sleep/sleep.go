// Package sleep waits for a duration or until a context ends.
package sleep

import (
	"context"
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
