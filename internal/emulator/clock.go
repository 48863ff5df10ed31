package emulator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samphirestream/samphirestream/internal/sleep"
)

// clock makes the waits of emulated servers, and measures how much longer than asked for
// they took because the machine was busy.
type clock struct {
	asked, took atomic.Int64 // nanoseconds
}

// sleepUntil waits until a time or the end of ctx.
func (c *clock) sleepUntil(ctx context.Context, at time.Time) error {
	began := time.Now()
	asked := at.Sub(began)
	if !sleep.WithContext(ctx, asked) {
		return ctx.Err()
	}
	if asked > 0 {
		c.asked.Add(int64(asked))
		c.took.Add(int64(time.Since(began)))
	}
	return nil
}

// slowdown returns the time that the waits took relative to the time asked for, 1 when
// there were none.
func (c *clock) slowdown() float64 {
	asked := c.asked.Load()
	if asked == 0 {
		return 1
	}
	return float64(c.took.Load()) / float64(asked)
}
