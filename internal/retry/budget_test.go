package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFurtherAttemptsAreLimitedByRequestsInWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBudget(Options{Window: 10 * time.Second, Ratio: 0.2, Slack: func() float64 { return 3 }})
		acquireAll := func() (n int) {
			for b.Acquire(1) {
				n++
			}
			return n
		}
		is.Equal(acquireAll(), 3)
		for range 100 {
			b.CountRequest()
		}
		is.True(!b.Acquire(21))
		is.Equal(acquireAll(), 20)
		time.Sleep(9 * time.Second)
		is.Equal(acquireAll(), 0)
		time.Sleep(2 * time.Second) // the window has passed, with its requests
		is.Equal(acquireAll(), 3)
	})
}
